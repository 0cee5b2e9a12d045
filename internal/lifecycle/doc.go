// Package lifecycle reads the configuration, starts the parts of a relay, follows signals, and shuts it down.
//
// It owns the files' settings and their checks (a [ConfigError] names file and key), the order in which
// fronts and parts start and end, the graceful shutdown, and what the operators' admin address can do: a
// manual drain and manual ejections. The command package calls [Run]; the commands that check files call the
// Read functions.
//
// Everything beside the fronts is a part (part.go): its settings and their check, then join, start, reload,
// leave, stop. Nobody but [Run] starts or ends one.
//
// It never decides where a request goes: that is the decision module's, whose event loop each front has for
// itself.
package lifecycle
