// Command resume shows a stream that moves with its resume token: two relays, three servers and an ownership
// service on loopback, and one client that watches numbered scans while a server drains and its relay is
// killed.
package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"capersail/internal/testing/fake"
)

func main() {
	relay := flag.String("relay", "bin/capersail", "the relay's `program`")
	every := flag.Duration("every", 4*time.Second, "time between two disturbances")
	flag.Parse()
	if err := run(*relay, *every); err != nil {
		fmt.Fprintln(os.Stderr, "resume:", err)
		os.Exit(1)
	}
}

const config = `{"name": %q, "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
  "known": {"generation": 0, "reset": true, "instances": []},
  "settings": {
    "areas": ["hall-a"], "zone": "hall-a", "balancers": 2, "me": %d, "quantumMs": 5, "discovery": "ask",
    "classes": [{"name": "map-stream", "semantics": "free", "aimMs": 800, "deadlineMs": 3200, "worth": 3}],
    "realms": [{"name": "acme", "portion": 1.0}],
    "limits": {
      "connectTimeoutMs": 150, "maxRetryAfterMs": 1500, "mostTries": 6, "probes": true, "retryAfter": true},
    "rules": {
      "askWithinMs": 10000, "coldMs": 8600, "fallMultiple": 4, "overloadForMs": 1500,
      "startCapacity": 0.36}}}`

// deployment is what the example runs on loopback.
type deployment struct {
	dir       string // for the relays' files
	program   string // of the relays
	discovery *fake.Discovery
	ledger    *fake.Ledger
	servers   map[string]*fake.ScanServer
	serving   atomic.Value // the ID of the server that has the stream
	relays    []*exec.Cmd
	addresses []string // of the relays
}

func run(program string, every time.Duration) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	dir, err := os.MkdirTemp("", "capersail-resume")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d := &deployment{dir: dir, program: program}
	if err := d.startServers(ctx); err != nil {
		return err
	}
	if err := d.startRelays(ctx); err != nil {
		return err
	}
	d.play(ctx, every)
	return nil
}

// startServers starts discovery and three servers of one feed of scans.
func (d *deployment) startServers(ctx context.Context) (err error) {
	d.discovery, err = fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return err
	}
	d.discovery.ExtraFields = `,"resumes":true`
	feed := fake.NewFeed(1000, 100*time.Millisecond, ctx.Done())
	d.ledger = fake.NewLedger()
	d.servers = map[string]*fake.ScanServer{}
	for i := range 3 {
		s, err := fake.NewScanServer(fmt.Sprint("server-", i), "127.0.0.1:0", feed, d.ledger)
		if err != nil {
			return err
		}
		s.OnFirstLine = func(line string) {
			d.serving.Store(s.ID)
			fmt.Printf("  %s was sent: ...%s\n", s.ID, line[max(0, len(line)-100):])
		}
		d.servers[s.ID] = s
		d.discovery.Set(s.ID, s.Address, "Ready")
	}
	return nil
}

// startRelays starts two relays that share an ownership service and keys. They end with the context.
func (d *deployment) startRelays(ctx context.Context) error {
	resumeFile, err := d.writeResumeFile()
	if err != nil {
		return err
	}
	for i := range 2 {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		name := fmt.Sprint("relay-", i)
		path := filepath.Join(d.dir, name+".json")
		text := fmt.Appendf(nil, config, name, address, d.discovery.Address, i)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		cmd := exec.CommandContext(ctx, d.program, "-resume", resumeFile)
		cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
		if err := cmd.Start(); err != nil {
			return fmt.Errorf("%w; `go build -o bin/ ./cmd/...` builds it", err)
		}
		d.relays = append(d.relays, cmd)
		d.addresses = append(d.addresses, address)
	}
	return nil
}

// writeResumeFile starts the ownership service and writes the operator's file that names it, whose path it
// returns.
func (d *deployment) writeResumeFile() (string, error) {
	zk, err := fake.NewZooKeeper("/")
	if err != nil {
		return "", err
	}
	secret := make([]byte, 32)
	rand.Read(secret)
	keys := filepath.Join(d.dir, "keys.toml")
	text := fmt.Sprintf("[[key]]\nid = \"demo\"\nsecret = %q\n", base64.StdEncoding.EncodeToString(secret))
	if err := os.WriteFile(keys, []byte(text), 0o600); err != nil {
		return "", err
	}
	file := filepath.Join(d.dir, "resume.toml")
	text = fmt.Sprintf("servers = [%q]\nkeys = %q\n", zk.Address, keys) +
		"path = \"/demo/streams\"\nsession_ms = 4000\nrenew_ms = 1000\n"
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// play runs a client through a drain and a relay's death, and prints what it saw.
func (d *deployment) play(ctx context.Context, every time.Duration) {
	var relay atomic.Int32 // that the client connects to
	v := &fake.Viewer{
		Name:         "demo",
		OpenFields:   "7f3a c=map-stream,t=acme",
		WaitLimit:    3 * time.Second,
		UseTokens:    true,
		SendEvery:    time.Second,
		RelayAddress: func() string { return d.addresses[relay.Load()] },
		OnEvent:      func(text string) { fmt.Println("  client:", text) },
	}
	go v.Run(ctx)
	fmt.Println("two relays, three servers, one stream of scans, one each 100 ms")
	time.Sleep(every)

	id := d.serving.Load().(string)
	fmt.Printf("%s drains and sends its clients away\n", id)
	d.discovery.Set(id, d.servers[id].Address, "Terminating")
	d.servers[id].SetRejecting(true)
	d.servers[id].MigrateOneIn(2)
	time.Sleep(every)

	fmt.Println("the relay is killed with -9; the client goes to the other, which waits for its lease")
	relay.Store(1)
	d.relays[0].Process.Kill()
	time.Sleep(every + 6*time.Second)

	t := v.Tally()
	longestGap := slices.Max(append(t.Gaps, 0))
	fmt.Printf("%d scans up to number %d: %d lost, %d out of turn; longest gap %v\n",
		t.Scans, t.LastScan, t.Lost, t.Disorder, longestGap.Round(time.Millisecond))
	for _, violation := range d.ledger.Violations() {
		fmt.Println("must not happen:", violation)
	}
}

// freeAddress returns an address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
