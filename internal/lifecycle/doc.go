// Package lifecycle reads the configuration of a relay, starts the relay's subsystems, handles signals, and
// shuts the relay down.
//
// It is responsible for the configuration files and their checks (a [ConfigError] names the file and the
// key), the order in which fronts and parts start and stop, the graceful shutdown, and the operations of
// the admin address: a manual drain and manual ejections. Package command calls [Run]; its commands that
// check files call the Read functions.
//
// A front accepts the connections of clients of one protocol. Every optional subsystem next to the fronts
// is a part (part.go), with settings, a check of these, and the methods join, start, reload, leave and
// stop. Only [Run] starts and stops parts.
//
// The package never chooses a server for a request. That is the task of the decision module; each front runs
// one in an event loop of its own.
package lifecycle
