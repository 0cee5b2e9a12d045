// Command resume demonstrates a stream that is resumed with a token. It runs two relays, three servers and an
// ownership service on loopback, and one client that receives numbered scans while its server drains and its
// relay is killed.
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
	relay := flag.String("relay", "bin/capersail", "`program` of the relay")
	every := flag.Duration("every", 4*time.Second, "time between two faults")
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

// deployment is the processes and fakes that the example runs on loopback.
type deployment struct {
	dir       string // directory for the relays' files
	program   string // path of the relay program
	discovery *fake.Discovery
	ledger    *fake.StreamTracker
	servers   map[string]*fake.ScanServer
	serving   atomic.Value // ID of the server that serves the stream
	relays    []*exec.Cmd
	addresses []string // of the relays, by index
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
	d.runScenario(ctx, every)
	return nil
}

// startServers starts a discovery service and three servers that send the same feed of scans.
func (d *deployment) startServers(ctx context.Context) (err error) {
	d.discovery, err = fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return err
	}
	d.discovery.ExtraFields = `,"resumes":true`
	feed := fake.NewFeed(1000, 100*time.Millisecond, ctx.Done())
	d.ledger = fake.NewStreamTracker()
	d.servers = map[string]*fake.ScanServer{}
	for i := range 3 {
		s, err := fake.NewScanServer(fmt.Sprint("server-", i), "127.0.0.1:0", feed, d.ledger)
		if err != nil {
			return err
		}
		s.OnFirstLine = func(line string) {
			d.serving.Store(s.ID)
			fmt.Printf("  %s received first line: ...%s\n", s.ID, line[max(0, len(line)-100):])
		}
		d.servers[s.ID] = s
		d.discovery.Set(s.ID, s.Address, "Ready")
	}
	return nil
}

// startRelays starts two relays that share an ownership service and token keys. They run until ctx is
// canceled.
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
			return fmt.Errorf("start relay: %w; build its program with `go build -o bin/ ./cmd/...`", err)
		}
		d.relays = append(d.relays, cmd)
		d.addresses = append(d.addresses, address)
	}
	return nil
}

// writeResumeFile starts the ownership service and writes the operator's file that configures it. It returns
// the path of the file.
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

// runScenario runs a client while its server drains and its relay is killed, and prints what the client
// received.
func (d *deployment) runScenario(ctx context.Context, every time.Duration) {
	var relay atomic.Int32 // index of the relay that the client connects to
	viewer := &fake.Viewer{
		Name:         "demo",
		OpenFields:   "7f3a c=map-stream,t=acme",
		WaitLimit:    3 * time.Second,
		UseTokens:    true,
		SendEvery:    time.Second,
		RelayAddress: func() string { return d.addresses[relay.Load()] },
		OnEvent:      func(text string) { fmt.Println("  client:", text) },
	}
	go viewer.Run(ctx)
	fmt.Println("two relays, three servers, one stream with a scan every 100 ms")
	time.Sleep(every)

	id := d.serving.Load().(string)
	fmt.Printf("%s drains and migrates its clients\n", id)
	d.discovery.Set(id, d.servers[id].Address, "Terminating")
	d.servers[id].SetRejecting(true)
	d.servers[id].MigrateOneIn(2)
	time.Sleep(every)

	fmt.Println("the client's relay is killed; the other waits for the lease and resumes the stream")
	relay.Store(1)
	d.relays[0].Process.Kill()
	time.Sleep(every + 6*time.Second)

	t := viewer.Stats()
	longestGap := slices.Max(append(t.ReconnectGaps, 0))
	fmt.Printf("%d scans up to number %d: %d lost, %d out of order; longest gap %v\n",
		t.Scans, t.LastScan, t.Lost, t.OutOfOrder, longestGap.Round(time.Millisecond))
	for _, violation := range d.ledger.Violations() {
		fmt.Println("invariant violated:", violation)
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
