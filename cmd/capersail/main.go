// Command capersail is the relay. Without flags it serves the platform's protocol, as LB_CONFIG says; with
// -xmpp FILE it serves XMPP too, or alone where LB_CONFIG is not set.
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
	operator := flag.String("xmpp", "", "operator's `file` for the XMPP front; off without it")
	flag.Parse()
	if err := run(*operator); err != nil {
		fmt.Fprintln(os.Stderr, "capersail:", err)
		os.Exit(1)
	}
}

func run(operator string) error {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	var config *lifecycle.Config
	var xmpp *lifecycle.Operator
	var err error
	if operator != "" {
		if xmpp, err = lifecycle.ReadOperator(operator); err != nil {
			return err
		}
	}
	if operator == "" || os.Getenv("LB_CONFIG") != "" {
		if config, err = lifecycle.ReadConfig(os.Getenv, log); err != nil {
			return err
		}
	}
	return lifecycle.Run(context.Background(), config, xmpp, log)
}
