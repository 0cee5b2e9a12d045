// Command standin2 runs the cases of the second review: it plays the platform, the servers and the clients,
// starts the relays with the run command of the deploy file, and checks one rule. It uses the standard library
// only.
//
//	standin2 CASE -root REPOSITORY -run COMMAND -record FILE
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in
// the environment there is no disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*harness){
	"upgrade":     upgradeCase,
	"xmpp-drain":  xmppDrainCase,
	"xmpp-silent": xmppSilentCase,
	"xmpp-held":   xmppHeldCase,
	"reload":      reloadCase,
	"xmpp-twice":  xmppTwiceCase,
	"stale-list":  staleListCase,
	"same-id":     sameIDCase,
}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE -root REPOSITORY -run COMMAND -record FILE")
		os.Exit(2)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	root := flags.String("root", ".", "folder of the repository")
	run := flags.String("run", "exec bin/capersail", "command that starts a relay")
	recordPath := flags.String("record", "record.txt", "file for what was sent, answered and run")
	flags.Parse(os.Args[2:])
	record, err := os.Create(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	h := &harness{
		root:    *root,
		run:     *run,
		dir:     dir,
		trouble: os.Getenv("TROUBLE") != "0",
		began:   time.Now(),
		record:  record,
	}
	h.logf("case %s, trouble %v, seed of the relays %016x", os.Args[1], h.trouble, relaySeed)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { h.cannotRun("ended by %v", <-signals) }()
	time.AfterFunc(110*time.Second, func() { h.cannotRun("took over 110 s") })
	cases[os.Args[1]](h)
	h.verdict()
}
