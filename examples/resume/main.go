// Command resume shows a stream that migrates with its token: two relays, three servers and an ownership service on
// loopback, and one client that watches numbered scans while a server drains and its relay is killed.
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
	"sync/atomic"
	"time"

	"capersail/internal/testing/fake"
)

func main() {
	relay := flag.String("relay", "bin/capersail", "the relay's `program`")
	every := flag.Duration("every", 4*time.Second, "time between two faults")
	flag.Parse()
	if err := run(*relay, *every); err != nil {
		fmt.Fprintln(os.Stderr, "resume:", err)
		os.Exit(1)
	}
}

const config = `{"name": %q, "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": {"generation": 0, "reset": true, "instances": []},
  "settings": {"areas": ["hall-a"], "zone": "hall-a", "balancers": 2, "me": %d, "quantumMs": 5, "discovery": "ask",
    "classes": [{"name": "map-stream", "semantics": "free", "aimMs": 800, "deadlineMs": 3200, "worth": 3}],
    "realms": [{"name": "acme", "portion": 1.0}],
    "limits": {"connectTimeoutMs": 150, "maxRetryAfterMs": 1500, "mostTries": 6, "probes": true, "retryAfter": true},
    "rules": {"askWithinMs": 10000, "coldMs": 8600, "fallMultiple": 4, "overloadForMs": 1500, "startCapacity": 0.36}}}`

func run(program string, every time.Duration) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	dir, err := os.MkdirTemp("", "capersail-resume")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	zk, err := fake.NewZooKeeper("/")
	if err != nil {
		return err
	}
	list, err := fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return err
	}
	list.ExtraFields = `,"resumes":true`
	feed, ledger := fake.NewFeed(1000, 100*time.Millisecond, ctx.Done()), fake.NewLedger()
	servers := map[string]*fake.ScanServer{}
	var at atomic.Value // the server that has the stream
	for i := range 3 {
		s, err := fake.NewScanServer(fmt.Sprint("server-", i), "127.0.0.1:0", feed, ledger)
		if err != nil {
			return err
		}
		s.OnFirstLine = func(line string) {
			at.Store(s.ID)
			fmt.Printf("  %s received: ...%s\n", s.ID, line[max(0, len(line)-100):])
		}
		servers[s.ID] = s
		list.Set(s.ID, s.Address, "Ready")
	}
	secret := make([]byte, 32)
	rand.Read(secret)
	keys, file := filepath.Join(dir, "keys.toml"), filepath.Join(dir, "resume.toml")
	texts := map[string]string{
		keys: fmt.Sprintf("[[key]]\nid = \"demo\"\nsecret = %q\n", base64.StdEncoding.EncodeToString(secret)),
		file: fmt.Sprintf("servers = [%q]\npath = \"/demo/streams\"\nsession_ms = 4000\nkeys = %q\nrenew_ms = 1000\n", zk.Address, keys),
	}
	for name, text := range texts {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			return err
		}
	}
	var relays []*exec.Cmd
	var addresses []string
	for i := range 2 {
		address, err := free()
		if err != nil {
			return err
		}
		path := filepath.Join(dir, fmt.Sprint("relay-", i, ".json"))
		if err := os.WriteFile(path, fmt.Appendf(nil, config, fmt.Sprint("relay-", i), address, list.Address, i), 0o600); err != nil {
			return err
		}
		cmd := exec.CommandContext(ctx, program, "-resume", file)
		cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
		if err := cmd.Start(); err != nil {
			return fmt.Errorf("%w; `go build -o bin/ ./cmd/...` builds it", err)
		}
		relays, addresses = append(relays, cmd), append(addresses, address)
	}
	var relay atomic.Int32
	v := &fake.Viewer{Name: "demo", OpenFields: "7f3a c=map-stream,t=acme", WaitLimit: 3 * time.Second, UseTokens: true,
		SendEvery: time.Second, RelayAddress: func() string { return addresses[relay.Load()] }}
	v.OnEvent = func(text string) { fmt.Println("  client:", text) }
	go v.Run(ctx)
	fmt.Println("two relays, three servers, one stream of scans, one each 100 ms")
	time.Sleep(every)

	id := at.Load().(string)
	fmt.Printf("%s drains and sends its clients away\n", id)
	list.Set(id, servers[id].Address, "Terminating")
	servers[id].SetRejecting(true)
	servers[id].MigrateOneIn(2)
	time.Sleep(every)

	fmt.Println("the relay is killed with -9; the client goes to the other, where its ownership lease still holds for a while")
	relay.Store(1)
	relays[0].Process.Kill()
	time.Sleep(every + 6*time.Second)

	t := v.Tally()
	fmt.Printf("%d scans up to number %d: %d lost, %d out of turn; longest gap %v\n", t.Scans, t.LastScan, t.Lost, t.Disorder,
		longest(t.Gaps).Round(time.Millisecond))
	for _, bad := range ledger.Violations() {
		fmt.Println("must not happen:", bad)
	}
	return nil
}

func longest(all []time.Duration) (most time.Duration) {
	for _, d := range all {
		most = max(most, d)
	}
	return most
}

// free finds an address that nobody listens on.
func free() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
