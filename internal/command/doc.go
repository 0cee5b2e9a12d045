// Package command implements the program's command line: it parses arguments, runs the relay or queries a
// running one, and prints the result. It owns the commands, their flags and help texts, and the exit codes;
// cmd/capersail calls Main.
//
// The package makes no decision about requests: `serve` calls lifecycle.Run, and the commands for operators
// query a relay through internal/control or read a store. Errors are printed as lines on standard error; the
// exit code gives the kind of error.
package command
