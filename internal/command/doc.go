// Package command is the command line of the program: it reads arguments, runs the relay or asks a running
// one, and prints. It owns the commands, their flags and help texts, and the exit codes; cmd/capersail calls
// Main.
//
// It decides nothing about requests: `serve` is lifecycle.Run, and the commands for operators go through
// internal/control or read a store. Errors are lines on standard error; the exit code says what kind they
// are.
package command
