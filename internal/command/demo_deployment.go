package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/control"
	"capersail/internal/lifecycle"
	"capersail/internal/observe/report"
	"capersail/internal/testing/fake"
)

const demoConfig = `{"name": "demo", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
  "known": {"generation": 0, "reset": true, "instances": []},
  "settings": {
    "areas": ["hall-a"], "zone": "hall-a", "balancers": 1, "me": 0, "quantumMs": 5, "discovery": "ask",
    "classes": [{"name": "map-stream", "semantics": "free", "aimMs": 800, "deadlineMs": 3200, "worth": 3}],
    "realms": [{"name": "acme", "portion": 1.0}],
    "limits": {
      "connectTimeoutMs": 150, "maxRetryAfterMs": 1500, "mostTries": 6, "probes": true, "retryAfter": true},
    "rules": {
      "askWithinMs": 10000, "coldMs": 8600, "fallMultiple": 4, "overloadForMs": 1500, "startCapacity": 0.36},
    "specifics": {"reportX0": "load asked of the server over what it can do"}}}`

// Size of the demo.
const (
	demoServers  = 5
	demoClients  = 40
	demoCapacity = 24 // connections at which a server is at full load
)

// demoDeployment is what the demo runs on loopback: discovery, servers and a relay.
type demoDeployment struct {
	address   string // of the relay, for clients
	socket    string // the relay's control socket
	discovery *fake.Discovery
	servers   []*fake.ScanServer
	signals   chan os.Signal // signals sent to the relay
	exited    chan error     // receives the result of lifecycle.Run
}

// startDemoDeployment starts discovery, servers and a relay whose files are in dir. They run until the
// context ends, or until stop and killServers are called. storeFile is the path of the time line's store, ""
// for none.
func startDemoDeployment(ctx context.Context, dir, storeFile string) (*demoDeployment, error) {
	d := &demoDeployment{
		socket:  filepath.Join(dir, "control.sock"),
		signals: make(chan os.Signal, 1),
		exited:  make(chan error, 1),
	}
	if err := d.start(ctx, dir, storeFile); err != nil {
		d.killServers()
		return nil, err
	}
	return d, nil
}

func (d *demoDeployment) start(ctx context.Context, dir, storeFile string) error {
	if err := d.startServers(ctx); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.address = l.Addr().String()
	l.Close()
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(demoConfig, d.address, d.discovery.Address)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	timeline := filepath.Join(dir, "timeline.toml")
	text = fmt.Sprintf("socket = %q\nstore = %q\n", d.socket, storeFile)
	if err := os.WriteFile(timeline, []byte(text), 0o600); err != nil {
		return err
	}
	getenv := func(key string) string {
		if key == "LB_CONFIG" {
			return config
		}
		return ""
	}
	go func() {
		sources := lifecycle.Sources{Getenv: getenv, Timeline: timeline}
		d.exited <- lifecycle.Run(ctx, sources, d.signals, zerolog.Nop())
	}()
	return d.awaitReady(ctx)
}

// awaitReady waits until the relay accepts clients and returns its time line on the control socket. It fails
// if the relay or the context ends first.
func (d *demoDeployment) awaitReady(ctx context.Context) error {
	for {
		conn, err := net.Dial("tcp", d.address)
		if err == nil {
			conn.Close()
			if _, err = d.report(); err == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-d.exited:
			return err
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// startServers starts discovery and the servers, and lists the servers as ready.
func (d *demoDeployment) startServers(ctx context.Context) (err error) {
	d.discovery, err = fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return err
	}
	feed := fake.NewFeed(1000, 100*time.Millisecond, ctx.Done())
	ledger := fake.NewStreamTracker()
	for i := range demoServers {
		s, err := fake.NewScanServer(fmt.Sprint("server-", i), "127.0.0.1:0", feed, ledger)
		if err != nil {
			return err
		}
		s.Capacity = demoCapacity
		d.servers = append(d.servers, s)
		d.discovery.Set(s.ID, s.Address, "Ready")
	}
	return nil
}

// startClients starts the clients, each of which opens connections one after the other, for some seconds
// each. The function that it returns stops the clients and waits for them.
func (d *demoDeployment) startClients(ctx context.Context) (stopClients func()) {
	clientsCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for i := range demoClients {
		clients.Go(func() {
			for n := 0; clientsCtx.Err() == nil; n++ {
				d.runConnection(clientsCtx, i, n)
			}
		})
	}
	return func() {
		stop()
		clients.Wait()
	}
}

// runConnection runs the n-th connection of client i, for 2 to 7.3 s.
func (d *demoDeployment) runConnection(ctx context.Context, i, n int) {
	length := time.Duration(2000+137*((i*7+n*11)%40)) * time.Millisecond
	ctx, done := context.WithTimeout(ctx, length)
	defer done()
	v := &fake.Viewer{
		Name:         fmt.Sprintf("c%d.%d", i, n),
		OpenFields:   fmt.Sprintf("%x c=map-stream,t=acme", i+1),
		WaitLimit:    3 * time.Second,
		SendEvery:    time.Second,
		RelayAddress: func() string { return d.address },
	}
	v.Run(ctx)
}

// report queries the relay for its time line.
func (d *demoDeployment) report() (report.Report, error) {
	all, err := control.QueryTimelines(d.socket, report.Query{})
	if err != nil {
		return report.Report{}, err
	}
	if len(all) == 0 {
		return report.Report{}, errors.New("relay returned no time line")
	}
	return *all[0], nil
}

// stop shuts the relay down gracefully and returns the error of lifecycle.Run.
func (d *demoDeployment) stop() error {
	d.signals <- syscall.SIGTERM
	return <-d.exited
}

// killServers stops the servers at once. It may be called more than once.
func (d *demoDeployment) killServers() {
	for _, s := range d.servers {
		s.Kill()
	}
}
