package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is a line of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// run is how the tests of one package went.
type packageRun struct {
	lastAction string            // the package's last action
	tests      map[string]string // by test: its last action
	output     map[string]string // by test, "" for the package's own
}

// judge reads the events of go test -json, prints the output of what is not passed over, and returns what is
// wrong: it is nil if exactly the listed tests have failed, less intermittent ones that passed. The output of
// a listed test that failed is printed, so that its trace is kept. It fails if the events cannot be read.
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

// readRuns reads the events, and prints the packages' own output and what is no event.
func readRuns(events io.Reader, out io.Writer) (runs map[string]*packageRun, wrong []string, err error) {
	runs = map[string]*packageRun{}
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Fprintln(out, lines.Text()) // of the tool itself
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

// judge returns what is wrong in one package, and sets the last action of each listed test that it has.
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
			wrong = append(wrong, fmt.Sprintf("%s %s did not come to its end", pkg, test))
			fmt.Fprint(out, r.output[test])
		}
	}
	if r.lastAction == "fail" && !listedFailed && len(wrong) == 0 {
		wrong = append(wrong, pkg+" failed outside its tests")
	}
	return wrong
}

// isCovered reports whether a test that failed is a part of a listed one, or failed by listed parts of its
// own only.
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
