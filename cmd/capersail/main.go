// Command capersail is the relay.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"capersail/internal/lifecycle"
)

func main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	config, err := lifecycle.ReadConfig(os.Getenv, log)
	if err == nil {
		err = lifecycle.Run(context.Background(), config, log)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capersail:", err)
		os.Exit(1)
	}
}
