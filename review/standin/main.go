// Command standin plays the cases of the review: it starts the project's relays by the deploy file's command
// and stand-ins for everything else.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases are the cases by name. Each returns an exit code, or an error if the case could not run.
var cases = map[string]func(r *record, folder string, trouble bool) (int, error){
	"alert-storm":   alertStorm,
	"client-stalls": clientStalls,
	"new-discovery": newDiscovery,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	r.add("case %s, disruption %v", name, trouble)
	code, err := cases[name](r, folder, trouble)
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	r.add("exit %d", code)
	fmt.Printf("%s: exit %d\n", name, code)
	return code
}
