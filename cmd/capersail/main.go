// Command capersail is the relay and what belongs to it. Without a command it serves the platform's protocol,
// as LB_CONFIG says; --xmpp FILE adds XMPP, or serves it alone where LB_CONFIG is not set; --resume FILE lets
// the platform's streams go on elsewhere; --timeline FILE keeps time lines of the servers. `capersail help`
// has the rest.
package main

import (
	"os"

	"capersail/internal/command"
	"capersail/internal/signals"
)

func main() {
	program := &command.Program{
		In:      os.Stdin,
		Out:     os.Stdout,
		Err:     os.Stderr,
		Getenv:  os.Getenv,
		Signals: signals.Channel(),
	}
	os.Exit(command.Main(os.Args[1:], program))
}
