// Command capersail is the relay and its operator tools. Without a command it serves the platform's protocol,
// configured by LB_CONFIG; --xmpp FILE adds XMPP, or serves it alone if LB_CONFIG is not set; --resume FILE
// enables resume tokens, with which the platform's streams resume on other servers; --timeline FILE records
// time lines of the servers. `capersail help` lists all commands and flags.
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
