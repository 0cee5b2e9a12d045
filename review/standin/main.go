// Command standin plays the cases of the review: it starts relays with the command of the deploy file, beside
// clients, servers and outside systems that it plays itself, and checks one rule. Its exit status is 0 if the
// rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestCase is the time after which a case is given up.
const longestCase = 115 * time.Second

// errBroken is the error of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases maps the names of the cases to the functions that play them.
var cases = map[string]func(*rig) error{
	"flap":    playFlap,
	"stalled": playStalled,
	"storm":   playStorm,
	"upgrade": playUpgrade,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "dashboard" {
		if err := runDashboard(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays a case and returns the exit status. The record goes to a file.
func run(play func(*rig) error, recordFile string) int {
	r, err := newRig(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longestCase):
		}
		r.note("result: could not run: interrupted, or over its time")
		r.close()
		os.Exit(2)
	}()
	err = play(r)
	switch {
	case errors.Is(err, errBroken):
		r.note("result: broken")
		return 1
	case err != nil:
		r.note("result: could not run: %v", err)
		return 2
	}
	r.note("result: held")
	return 0
}
