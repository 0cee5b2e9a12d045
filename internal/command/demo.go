package command

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"capersail/internal/control"
	"capersail/internal/lifecycle"
	"capersail/internal/observe/chart"
	"capersail/internal/observe/report"
	"capersail/internal/standin"
)

const demoConfig = `{"name": "demo", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"generation": 0, "reset": true, "instances": []},
  "settings": {"areas": ["hall-a"], "zone": "hall-a", "balancers": 1, "me": 0, "quantumMs": 5, "discovery": "ask",
    "classes": [{"name": "map-stream", "semantics": "free", "aimMs": 800, "deadlineMs": 3200, "worth": 3}],
    "realms": [{"name": "acme", "portion": 1.0}],
    "limits": {"connectTimeoutMs": 150, "maxRetryAfterMs": 1500, "mostTries": 6, "probes": true, "retryAfter": true},
    "rules": {"askWithinMs": 10000, "coldMs": 8600, "fallMultiple": 4, "overloadForMs": 1500, "startCapacity": 0.36},
    "specifics": {"reportX0": "load asked of the server over what it can do"}}}`

func (p *Program) demo() *cobra.Command {
	var every time.Duration
	var picture, keep string
	c := &cobra.Command{Use: "demo", Short: "Run it all on loopback: discovery, servers, a relay, clients, a drain, a kill; then show the time line",
		Args: arguments(cobra.NoArgs), RunE: func(cmd *cobra.Command, _ []string) error {
			return p.runDemo(cmd.Context(), every, picture, keep)
		}}
	c.Flags().DurationVar(&every, "every", 5*time.Second, "time between two things that happen")
	c.Flags().StringVar(&picture, "picture", "", "also draw the time line into this `file`, PNG or SVG")
	c.Flags().StringVar(&keep, "store", "", "keep the time line in this `file`, for `capersail timeline --store`")
	return c
}

// runDemo runs the demo. The relay in it is the whole one, started as the program starts it.
func (p *Program) runDemo(ctx context.Context, every time.Duration, picture, keep string) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if keep != "" {
		var err error
		if keep, err = filepath.Abs(keep); err != nil {
			return err
		}
	}
	dir, err := os.MkdirTemp("", "capersail-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	list, err := standin.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return err
	}
	feed, ledger := standin.NewFeed(1000, 100*time.Millisecond, ctx.Done()), standin.NewLedger()
	var servers []*standin.ScanServer
	for i := range 5 {
		s, err := standin.NewScanServer(fmt.Sprint("server-", i), "127.0.0.1:0", feed, ledger)
		if err != nil {
			return err
		}
		defer s.Kill()
		s.Capacity = 24
		servers = append(servers, s)
		list.Set(s.ID, s.Address, "Ready")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	address := l.Addr().String()
	l.Close()
	config, lines, socket := filepath.Join(dir, "config.json"), filepath.Join(dir, "timeline.toml"), filepath.Join(dir, "control.sock")
	for name, text := range map[string]string{config: fmt.Sprintf(demoConfig, address, list.Address), lines: fmt.Sprintf("socket = %q\nstore = %q\n", socket, keep)} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			return err
		}
	}
	getenv := func(key string) string {
		if key == "LB_CONFIG" {
			return config
		}
		return ""
	}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		ended <- lifecycle.Run(ctx, lifecycle.Sources{Getenv: getenv, Timeline: lines}, signals, zerolog.Nop())
	}()
	say := func(format string, args ...any) { fmt.Fprintf(p.Out, format+"\n", args...) }
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	for i := 0; i < 100; i++ {
		if conn, err := net.Dial("tcp", address); err == nil {
			conn.Close()
			break
		}
		pause(20 * time.Millisecond)
	}
	say("a relay at %s, discovery, five servers, forty clients that watch scans and come back again and again", address)
	var clients sync.WaitGroup
	watching, leave := context.WithCancel(ctx)
	defer leave()
	for i := range 40 {
		clients.Go(func() {
			for n := 0; watching.Err() == nil; n++ {
				v := &standin.Viewer{Name: fmt.Sprintf("c%d.%d", i, n), Fields: fmt.Sprintf("%x c=map-stream,t=acme", i+1), Wait: 3 * time.Second,
					Say: time.Second, Relay: func() string { return address }}
				one, done := context.WithTimeout(watching, time.Duration(2000+137*((i*7+n*11)%40))*time.Millisecond)
				v.Run(one)
				done()
			}
		})
	}
	pause(every)
	say("server-0 drains: the list says so, and it sends its clients away")
	list.Set("server-0", servers[0].Address, "Terminating")
	servers[0].Refuse(true)
	for servers[0].SendAway(3) > 0 && ctx.Err() == nil {
		pause(every / 20)
	}
	pause(every)
	say("server-1 is killed; the list does not know yet")
	servers[1].Kill()
	pause(every)
	say("server-2 falls silent, without a reset")
	servers[2].Silence(true)
	pause(2 * every)
	servers[2].Silence(false)
	list.Set("server-1", servers[1].Address, "Gone")
	pause(every)
	all, err := control.Ask(socket, report.Query{})
	if err != nil {
		return err
	}
	say("\nits time line:\n")
	if err := all[0].Show(p.Out, 60); err != nil {
		return err
	}
	if picture != "" {
		f, err := os.Create(picture)
		if err != nil {
			return err
		}
		if err := chart.Write(f, all[0], filepath.Ext(picture)[1:]); err != nil {
			f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
		say("drawn into %s", picture)
	}
	leave()
	clients.Wait()
	signals <- syscall.SIGTERM
	return <-ended
}
