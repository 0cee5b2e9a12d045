package main

import (
	"fmt"
	"strings"
)

// maxListedTests bounds the list, so that known failures remain exceptions.
const maxListedTests = 6

// intermittentMark is the prefix of the cause of a test that fails only in some runs.
const intermittentMark = "sometimes: "

// listedTest is one entry of the list: a test that fails because of a known fault.
type listedTest struct {
	pkg, test    string
	cause, issue string
	intermittent bool // the test may also pass, which does not mean that the fault is fixed
}

// parseList reads the list, one entry per line: `PACKAGE TEST | cause | issue`, with the package as a path
// relative to the project's root. A cause that begins with "sometimes: " marks a test that may also pass.
// Empty lines are ignored. It fails on any other line, and on a list with more than maxListedTests entries.
func parseList(text string) (list []listedTest, err error) {
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry, ok := parseLine(line)
		if !ok {
			return nil, fmt.Errorf("line %d: want `PACKAGE TEST | cause | issue`, got: %s", i+1, line)
		}
		list = append(list, entry)
	}
	if len(list) > maxListedTests {
		return nil, fmt.Errorf("%d tests are listed; at most %d are allowed", len(list), maxListedTests)
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

// isInPackage reports whether the test belongs to the package with a full import path.
func (e listedTest) isInPackage(pkg string) bool {
	return pkg == e.pkg || strings.HasSuffix(pkg, "/"+e.pkg)
}

// includes reports whether a test of the same package is the listed test or a subtest of it.
func (e listedTest) includes(test string) bool {
	return e.test == test || strings.HasPrefix(test, e.test+"/")
}
