// Command capersail is the relay. Without flags it serves the platform's protocol, as LB_CONFIG says; with
// -xmpp FILE it serves XMPP too, or alone where LB_CONFIG is not set; with -resume FILE the platform's streams
// carry a token with which they go on elsewhere.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"capersail/internal/lifecycle"
)

func main() {
	signals := lifecycle.Signals() // before all else: a SIGHUP that comes early must not end the program
	operator := flag.String("xmpp", "", "operator's `file` for the XMPP front; off without it")
	resume := flag.String("resume", "", "operator's `file` for moving with a token; off without it")
	flag.Parse()
	if err := run(*operator, *resume, signals); err != nil {
		fmt.Fprintln(os.Stderr, "capersail:", err)
		os.Exit(1)
	}
}

func run(operator, resume string, signals <-chan os.Signal) error {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	from := lifecycle.Sources{Getenv: os.Getenv, Operator: operator, Resume: resume}
	return lifecycle.Run(context.Background(), from, signals, log)
}
