package main

import (
	"fmt"
	"strings"
)

// maxExpected is how many tests may be listed: a longer list is a habit, not an exception.
const maxListedTests = 3

// intermittentMark begins the cause of a test that does not fail in every run.
const intermittentMark = "sometimes: "

// expected is one line of the list: a test that fails for a real fault.
type listedTest struct {
	pkg, test    string
	cause, issue string
	intermittent bool // it may pass as well: a run that passes is no sign that the fault is gone
}

// parse reads the list: `PACKAGE TEST | cause | issue` on each line, the package as a path from the project's
// root. A cause that begins with "sometimes: " is one of a test that may pass as well. Empty lines are passed
// over. It fails on any other line, and on a list that is too long.
func parseList(text string) (list []listedTest, err error) {
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry, ok := parseLine(line)
		if !ok {
			return nil, fmt.Errorf("line %d: `PACKAGE TEST | cause | issue` is wanted: %s", i+1, line)
		}
		list = append(list, entry)
	}
	if len(list) > maxListedTests {
		return nil, fmt.Errorf("%d tests are listed, %d at most may be", len(list), maxListedTests)
	}
	return list, nil
}

func parseLine(line string) (entry listedTest, ok bool) {
	parts := strings.Split(line, "|")
	if len(parts) != 3 {
		return listedTest{}, false
	}
	name := strings.Fields(parts[0])
	cause, issue := strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])
	if len(name) != 2 || cause == "" || issue == "" {
		return listedTest{}, false
	}
	return listedTest{
		pkg:          name[0],
		test:         name[1],
		cause:        cause,
		issue:        issue,
		intermittent: strings.HasPrefix(cause, intermittentMark),
	}, true
}

// isIn reports whether the test's package is the one of a full import path.
func (e listedTest) isInPackage(pkg string) bool {
	return pkg == e.pkg || strings.HasSuffix(pkg, "/"+e.pkg)
}

// hasPart reports whether a test of the same package is the listed one, or a subtest of it.
func (e listedTest) includes(test string) bool {
	return e.test == test || strings.HasPrefix(test, e.test+"/")
}
