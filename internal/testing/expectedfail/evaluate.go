package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is one line of the output of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// packageRun is the test run of one package.
type packageRun struct {
	lastAction string            // last action of the package itself
	tests      map[string]string // last action by test
	output     map[string]string // output by test; "" holds the package's own output
}

// evaluate reads the events of go test -json and returns the problems: none if exactly the listed tests
// failed, apart from intermittent ones that passed. It prints the output of every test that failed, including
// listed ones, so that their traces are kept. It fails if the events cannot be read.
func evaluate(events io.Reader, list []listedTest, out io.Writer) (wrong []string, err error) {
	runs, wrong, err := readRuns(events, out)
	if err != nil {
		return nil, err
	}
	actions := make([]string, len(list))
	for pkg, r := range runs {
		wrong = append(wrong, r.check(pkg, list, actions, out)...)
	}
	for i, e := range list {
		switch action := actions[i]; {
		case action == "fail":
			fmt.Fprintf(out, "KNOWN RED, passed over: %s %s: %s (%s)\n", e.pkg, e.test, e.cause, e.issue)
		case action == "":
			wrong = append(wrong, fmt.Sprintf("%s %s is listed and does not exist", e.pkg, e.test))
		case action == "pass" && e.intermittent:
			fmt.Fprintf(out, "KNOWN RED, passed in this run: %s %s: %s (%s)\n",
				e.pkg, e.test, e.cause, e.issue)
		default:
			wrong = append(wrong, fmt.Sprintf("%s %s is listed and ended in %s: take it off the list",
				e.pkg, e.test, action))
		}
	}
	slices.Sort(wrong)
	return wrong, nil
}

// readRuns groups the events by package. It prints the packages' own output and every line that is not an
// event.
func readRuns(events io.Reader, out io.Writer) (runs map[string]*packageRun, wrong []string, err error) {
	runs = map[string]*packageRun{}
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Fprintln(out, lines.Text()) // output of the go command itself
			continue
		}
		r := runs[e.Package]
		if r == nil {
			r = &packageRun{tests: map[string]string{}, output: map[string]string{}}
			runs[e.Package] = r
		}
		switch {
		case strings.HasSuffix(e.Action, "output"):
			r.output[e.Test] += e.Output
			if e.Test == "" {
				fmt.Fprint(out, e.Output)
			}
		case e.Action == "build-fail":
			wrong = append(wrong, "a package does not build")
		case e.Test == "":
			r.lastAction = e.Action
		default:
			r.tests[e.Test] = e.Action
		}
	}
	return runs, wrong, lines.Err()
}

// check returns the problems of one package, and records the last action of each listed test found in it.
func (r *packageRun) check(pkg string, list []listedTest, actions []string, out io.Writer) (wrong []string) {
	listedFailed := false
	for test, action := range r.tests {
		i := slices.IndexFunc(list, func(e listedTest) bool { return e.isInPackage(pkg) && e.test == test })
		switch {
		case i >= 0:
			actions[i] = action
			if action == "fail" {
				listedFailed = true
				fmt.Fprint(out, r.output[test])
			}
		case action == "fail" && !r.isCovered(list, pkg, test):
			wrong = append(wrong, fmt.Sprintf("%s %s failed", pkg, test))
			fmt.Fprint(out, r.output[test])
		case action == "run" || action == "pause" || action == "cont":
			wrong = append(wrong, fmt.Sprintf("%s %s did not finish", pkg, test))
			fmt.Fprint(out, r.output[test])
		}
	}
	if r.lastAction == "fail" && !listedFailed && len(wrong) == 0 {
		wrong = append(wrong, pkg+" failed outside its tests")
	}
	return wrong
}

// isCovered reports whether a failed test is a listed test or a subtest of one, or has failed only because of
// listed subtests.
func (r *packageRun) isCovered(list []listedTest, pkg, test string) bool {
	isListed := func(name string) bool {
		return slices.ContainsFunc(list, func(e listedTest) bool { return e.isInPackage(pkg) && e.includes(name) })
	}
	if isListed(test) {
		return true
	}
	failedParts := 0
	for name, action := range r.tests {
		if action != "fail" || !strings.HasPrefix(name, test+"/") {
			continue
		}
		hasListedPart := slices.ContainsFunc(list, func(e listedTest) bool {
			return strings.HasPrefix(e.test, name+"/")
		})
		if !isListed(name) && !hasListedPart {
			return false
		}
		failedParts++
	}
	return failedParts > 0
}
