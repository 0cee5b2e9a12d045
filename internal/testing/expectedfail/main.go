// Command knownred passes over the tests that KNOWN-RED.txt lists, and over nothing else. It reads what `go test -json` writes,
// prints it as go test would, and ends with 0 if every test that failed is listed and every one listed has failed.
//
//	go test -json ./... | go run ./internal/testing/expectedfail KNOWN-RED.txt
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// most is how many tests may be listed: a longer list is a habit, not an exception.
const most = 3

// red is one line of the list: a test that fails for a real fault.
type red struct {
	pkg, test    string
	cause, issue string
}

// parse reads the list: `PACKAGE TEST | cause | issue` on each line, the package as a path from the project's root. Empty lines
// are passed over.
func parse(text string) (list []red, err error) {
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		parts := strings.Split(line, "|")
		var name []string
		if len(parts) == 3 {
			name = strings.Fields(parts[0])
		}
		if len(name) != 2 || strings.TrimSpace(parts[1]) == "" || strings.TrimSpace(parts[2]) == "" {
			return nil, fmt.Errorf("line %d: `PACKAGE TEST | cause | issue` is wanted: %s", i+1, line)
		}
		list = append(list, red{name[0], name[1], strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])})
	}
	if len(list) > most {
		return nil, fmt.Errorf("%d tests are listed, %d at most may be", len(list), most)
	}
	return list, nil
}

// event is a line of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// run is how the tests of one package went.
type run struct {
	ended  string            // the package's last action
	tests  map[string]string // the last action of each
	output map[string]string
}

// judge reads the events, prints the output of what is not passed over, and returns what is wrong.
func judge(events io.Reader, list []red, out io.Writer) (wrong []string, err error) {
	runs := map[string]*run{}
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
			r = &run{tests: map[string]string{}, output: map[string]string{}}
			runs[e.Package] = r
		}
		switch {
		case strings.HasSuffix(e.Action, "output"):
			if r.output[e.Test] += e.Output; e.Test == "" {
				fmt.Fprint(out, e.Output)
			}
		case e.Action == "build-fail":
			wrong = append(wrong, "a package does not build")
		case e.Test == "":
			r.ended = e.Action
		default:
			r.tests[e.Test] = e.Action
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	seen := make([]string, len(list))
	for pkg, r := range runs {
		listed, unlisted := false, false
		for test, action := range r.tests {
			i := slices.IndexFunc(list, func(l red) bool {
				return (pkg == l.pkg || strings.HasSuffix(pkg, "/"+l.pkg)) && l.test == test
			})
			switch {
			case i >= 0:
				seen[i] = action
				listed = listed || action == "fail"
			case action == "fail" && !covered(list, pkg, test, r.tests):
				unlisted = true
				wrong = append(wrong, fmt.Sprintf("%s %s failed", pkg, test))
				fmt.Fprint(out, r.output[test])
			case action == "run" || action == "pause" || action == "cont":
				unlisted = true
				wrong = append(wrong, fmt.Sprintf("%s %s did not come to its end", pkg, test))
				fmt.Fprint(out, r.output[test])
			}
		}
		if r.ended == "fail" && !listed && !unlisted {
			wrong = append(wrong, pkg+" failed outside its tests")
		}
	}
	for i, l := range list {
		switch seen[i] {
		case "fail":
			fmt.Fprintf(out, "KNOWN RED, passed over: %s %s: %s (%s)\n", l.pkg, l.test, l.cause, l.issue)
		case "":
			wrong = append(wrong, fmt.Sprintf("%s %s is listed and does not exist", l.pkg, l.test))
		default:
			wrong = append(wrong, fmt.Sprintf("%s %s is listed and ended in %s: take it off the list", l.pkg, l.test, seen[i]))
		}
	}
	slices.Sort(wrong)
	return wrong, nil
}

// covered tells whether a test that failed is a part of a listed one, or failed by listed parts of its own only.
func covered(list []red, pkg, test string, tests map[string]string) bool {
	own := func(name string) bool {
		return slices.ContainsFunc(list, func(l red) bool {
			return (pkg == l.pkg || strings.HasSuffix(pkg, "/"+l.pkg)) && (l.test == name || strings.HasPrefix(name, l.test+"/"))
		})
	}
	if own(test) {
		return true
	}
	parts := 0
	for name, action := range tests {
		if action == "fail" && strings.HasPrefix(name, test+"/") {
			if !own(name) && !slices.ContainsFunc(list, func(l red) bool { return strings.HasPrefix(l.test, name+"/") }) {
				return false
			}
			parts++
		}
	}
	return parts > 0
}

func main() {
	fail := func(err error) {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	if len(os.Args) != 2 {
		fail(fmt.Errorf("usage: go test -json ./... | knownred KNOWN-RED.txt"))
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil {
		fail(err)
	}
	list, err := parse(string(text))
	if err != nil {
		fail(fmt.Errorf("%s: %w", os.Args[1], err))
	}
	wrong, err := judge(os.Stdin, list, os.Stdout)
	if err != nil {
		fail(err)
	}
	for _, w := range wrong {
		fmt.Fprintln(os.Stderr, "knownred:", w)
	}
	if len(wrong) > 0 {
		os.Exit(1)
	}
}
