// Command expectedfail passes over the tests that KNOWN-RED.txt lists, and over nothing else. It reads what
// `go test -json` writes, prints it as go test would, and exits with 0 if every test that failed is listed
// and every one listed has failed.
//
//	go test -json ./... | go run ./internal/testing/expectedfail KNOWN-RED.txt
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	wrong, err := check(os.Args[1:])
	if err != nil {
		wrong = []string{err.Error()}
	}
	for _, w := range wrong {
		fmt.Fprintln(os.Stderr, "expectedfail:", w)
	}
	if len(wrong) > 0 {
		os.Exit(1)
	}
}

// check judges the events on standard input by the list that the one argument names.
func check(args []string) (wrong []string, err error) {
	if len(args) != 1 {
		return nil, errors.New("usage: go test -json ./... | expectedfail KNOWN-RED.txt")
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return nil, err
	}
	list, err := parseList(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", args[0], err)
	}
	return evaluate(os.Stdin, list, os.Stdout)
}
