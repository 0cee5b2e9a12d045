package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"capersail/internal/testing/fake"
)

// writeKeys writes a key file with keys of the given ids; the first seals.
func writeKeys(t testing.TB, path string, ids ...string) {
	t.Helper()
	text := ""
	for _, id := range ids {
		secret := []byte(strings.Repeat(id, 32)[:32])
		text += fmt.Sprintf("[[key]]\nid = %q\nsecret = %q\n", id, base64.StdEncoding.EncodeToString(secret))
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// fleet is relays as processes, with servers, discovery and the ownership service as fakes.
type fleet struct {
	t          testing.TB
	ownership  *fake.ZooKeeper
	discovery  *fake.Discovery
	feed       *fake.Feed
	ledger     *fake.StreamTracker
	servers    []*fake.ScanServer
	keyFile    string
	resumeFile string // resume.toml

	mu           sync.Mutex
	commands     map[string]*exec.Cmd // by address
	rotation     []string
	logs         []string
	changeConfig func(map[string]any)
}

// newFleet starts the fakes, with servers that are listed as ready, and writes the resume file, to which
// extra is added. Relays are started by startRelay.
func newFleet(t testing.TB, servers int, extra string) *fleet {
	t.Helper()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	f := &fleet{
		t:        t,
		feed:     fake.NewFeed(5000, 50*time.Millisecond, stop),
		ledger:   fake.NewStreamTracker(),
		commands: map[string]*exec.Cmd{},
	}
	var err error
	if f.ownership, err = fake.NewZooKeeper("/"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.ownership.Close)
	if f.discovery, err = fake.NewDiscovery("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	f.discovery.ExtraFields = `,"resumes":true`
	for i := range servers {
		s, err := fake.NewScanServer(fmt.Sprint("s", i), "127.0.0.1:0", f.feed, f.ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Kill)
		f.servers = append(f.servers, s)
		f.discovery.Set(s.ID, s.Address, "Ready")
	}
	dir := t.TempDir()
	f.keyFile, f.resumeFile = filepath.Join(dir, "keys.toml"), filepath.Join(dir, "resume.toml")
	writeKeys(t, f.keyFile, "a")
	text := fmt.Sprintf(
		"servers = [%q]\npath = \"/a/streams\"\nsession_ms = 4000\nkeys = %q\nrenew_ms = 500\n%s",
		f.ownership.Address, f.keyFile, extra)
	if err := os.WriteFile(f.resumeFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// startRelay starts relay number me of all and returns its address.
func (f *fleet) startRelay(me, all int) string {
	f.t.Helper()
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		f.t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		f.t.Fatal(err)
	}
	c["name"], c["listen"], c["discovery"] = fmt.Sprint("n", me), "127.0.0.1:0", f.discovery.Address
	c["known"] = json.RawMessage(f.discovery.Snapshot())
	settings := c["settings"].(map[string]any)
	settings["balancers"], settings["me"] = all, me
	if f.changeConfig != nil {
		f.changeConfig(c)
	}
	text, _ = json.Marshal(c)
	path := filepath.Join(f.t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "-resume", f.resumeFile)
	cmd.Env = append(os.Environ(), "CAPERSAIL_RUN=1", "LB_CONFIG="+path)
	logs, err := cmd.StderrPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { cmd.Process.Kill() })
	address := make(chan string, 1)
	go forEachLogLine(logs, func(l logLine) {
		if l.Message == "serving" {
			address <- l.Listen
		}
		f.mu.Lock()
		f.logs = append(f.logs, fmt.Sprintf("n%d %s %s", me, l.Message, l.Error))
		f.mu.Unlock()
	})
	a := <-address
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands[a] = cmd
	f.rotation = append(f.rotation, a)
	return a
}

// removeFromRotation takes a relay out of those that clients are sent to.
func (f *fleet) removeFromRotation(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, a := range f.rotation {
		if a == address {
			f.rotation = append(append([]string(nil), f.rotation[:i]...), f.rotation[i+1:]...)
		}
	}
}

// randomRelay is the address of one of the relays that clients are sent to.
func (f *fleet) randomRelay() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rotation[rand.IntN(len(f.rotation))]
}

// waitFor waits for a condition. Its limit only ends a test that hangs.
func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.t.Fatalf("%s: never\n%s", what, strings.Join(f.logs[max(0, len(f.logs)-20):], "\n"))
		}
	}
}

// ownershipConnected says whether every relay has logged a connection to the ownership service.
func (f *fleet) ownershipConnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.logs {
		if strings.Contains(l, "ownership service connected") {
			n++
		}
	}
	return n >= len(f.commands)
}

// startViewers starts viewers, those with a token that are wanted to have one. stop ends them all.
func (f *fleet) startViewers(n int, token func(i int) bool) (viewers []*fake.Viewer, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range n {
		v := &fake.Viewer{
			Name:         fmt.Sprint("v", i),
			OpenFields:   fmt.Sprintf("%x c=map-stream,t=acme", i+1),
			WaitLimit:    3 * time.Second,
			UseTokens:    token(i),
			SendEvery:    500 * time.Millisecond,
			RelayAddress: f.randomRelay,
		}
		viewers = append(viewers, v)
		all.Go(func() { v.Run(ctx) })
	}
	stop = func() {
		cancel()
		all.Wait()
	}
	f.t.Cleanup(stop)
	return viewers, stop
}

// waitUntilViewersCurrent waits until every viewer has come past what is newest now.
func (f *fleet) waitUntilViewersCurrent(viewers []*fake.Viewer) {
	f.t.Helper()
	newest := f.feed.Newest() + 3 // what nobody can have yet
	for _, v := range viewers {
		f.waitFor("every stream is served", func() bool {
			return v.Stats().LastScan >= newest && (!v.UseTokens || v.ResumeToken() != "")
		})
	}
}

// drainAllServers drains the servers one after the other; each comes back.
func (f *fleet) drainAllServers() {
	f.t.Helper()
	for _, s := range f.servers {
		f.discovery.Set(s.ID, s.Address, "Terminating")
		s.SetRejecting(true)
		f.waitFor("drained", func() bool { return s.MigrateOneIn(3) == 0 })
		s.SetRejecting(false)
		f.discovery.Set(s.ID, s.Address, "Ready")
	}
}

// Streams of numbered scans through a rolling drain of all servers, a kill, a silence, a relay that is killed
// and one that leaves: nothing is lost or out of turn, never do two servers serve one stream, and each
// opening gets one answer.
func TestMigratedStreamsLoseNothing(t *testing.T) {
	const streams = 200
	f := newFleet(t, 6, "")
	var relays []string
	for i := range 3 {
		relays = append(relays, f.startRelay(i, 3))
	}
	f.waitFor("ownership service", f.ownershipConnected)
	viewers, stop := f.startViewers(streams, func(int) bool { return true })
	waitUntilCurrent := func() { f.waitUntilViewersCurrent(viewers) }
	waitUntilCurrent()
	f.drainAllServers()
	waitUntilCurrent()
	f.servers[0].Kill()
	f.discovery.Set("s0", f.servers[0].Address, "Gone")
	waitUntilCurrent()
	f.servers[1].SetSilent(true)
	waitUntilCurrent()
	f.servers[1].SetSilent(false)
	f.removeFromRotation(relays[1])
	f.commands[relays[1]].Process.Kill()
	waitUntilCurrent()
	f.removeFromRotation(relays[2])
	f.commands[relays[2]].Process.Signal(syscall.SIGTERM)
	if err := f.commands[relays[2]].Wait(); err != nil {
		t.Errorf("the relay that left ended with %v", err)
	}
	waitUntilCurrent()
	stop()
	moves, breaks, busy := 0, 0, 0
	for _, v := range viewers {
		k := v.Stats()
		moves, breaks, busy = moves+k.Migrations, breaks+k.Disconnects, busy+k.Rejected
		if k.Lost != 0 || k.OutOfOrder != 0 || k.OtherAnswers != 0 {
			t.Errorf("%s: %+v", v.Name, k)
		}
		unanswered := 0
		for _, n := range k.Problems {
			if n == "unanswered by "+relays[1] { // it was killed
				unanswered++
			} else {
				t.Errorf("%s: %s", v.Name, n)
			}
		}
		if k.Answers+unanswered != k.FirstLinesSent {
			t.Errorf("%s: %d answers to %d openings", v.Name, k.Answers, k.FirstLinesSent)
		}
	}
	f.checkLedger()
	_, served := f.ledger.Serving()
	if moves < streams || served < 2*streams {
		t.Errorf("%d moves, %d services: too little happened", moves, served)
	}
	t.Logf("%d streams, %d services, %d moves, %d breaks, %d times told to come again, %d scans each",
		streams, served, moves, breaks, busy, f.feed.Newest())
}

// Tokens shown to two relays at the same instant, and twice at one: one attempt, one service; the others are
// rejected at once. After the stream has gone on, the token is worth nothing.
func TestReplayedTokenGetsOneAttempt(t *testing.T) {
	f := newFleet(t, 3, "")
	relays := []string{f.startRelay(0, 2), f.startRelay(1, 2)}
	f.waitFor("ownership service", f.ownershipConnected)
	var inFlight sync.Map // attempts out for a stream, as the servers see them
	for _, s := range f.servers {
		s.OnFirstLine = func(line string) {
			_, rest, _ := strings.Cut(line, ",s=")
			stream, _, _ := strings.Cut(rest, ",")
			n, _ := inFlight.LoadOrStore(stream, new(atomic.Int32))
			n.(*atomic.Int32).Add(1)
		}
	}
	for i := range 50 {
		name := fmt.Sprintf("k%d", i)
		opening := func(n int, more string) string {
			return fmt.Sprintf("OPEN %s-%d %x c=map-stream,t=acme,d=3000,%s", name, n, i+1, more)
		}
		first := dial(t, relays[i%2])
		first.sendAndExpect(t, opening(0, "resume=new"), "UP")
		words := first.readUntil(t, "TOKEN")
		fmt.Fprintf(first, "GOT %s\r\n", words[1])
		first.Close()
		f.waitFor("the lease is given back", func() bool { return countOwned(f.ownership) == 0 })
		before := totalOpenings(f.servers)
		rng := rand.New(rand.NewPCG(uint64(i), 2))
		barrier := make(chan struct{})
		answers := make([]string, 4)
		clients := make([]*client, 4)
		var all sync.WaitGroup
		for k := range 4 {
			at := relays[k%2]
			if i%5 == 4 { // twice and more at one relay
				at = relays[0]
			}
			delay := time.Duration(rng.IntN(3)) * time.Millisecond
			clients[k] = dial(t, at)
			all.Go(func() {
				<-barrier
				time.Sleep(delay)
				fmt.Fprint(clients[k], opening(k+1, "resume="+words[2]+",pos=1")+"\r\n")
				answers[k], _ = clients[k].in.ReadString('\n')
			})
		}
		close(barrier)
		all.Wait()
		up := -1
		for k, a := range answers {
			switch first, _, _ := strings.Cut(strings.TrimSpace(a), " "); {
			case first == "UP" && up < 0:
				up = k
			case first != "BUSY":
				t.Fatalf("seed %d: %q", i, answers)
			}
		}
		if up < 0 || totalOpenings(f.servers) != before+1 {
			t.Fatalf("seed %d: %q, %d attempts", i, answers, totalOpenings(f.servers)-before)
		}
		next := clients[up].readUntil(t, "TOKEN")
		fmt.Fprintf(clients[up], "GOT %s\r\nM\r\n", next[1])
		clients[up].readUntil(t, "M") // comes back from the server: GOT was read
		clients[up].Close()
		f.waitFor("the lease is given back", func() bool { return countOwned(f.ownership) == 0 })
		for k, at := range relays { // its successor has arrived
			c := dial(t, at)
			fmt.Fprint(c, opening(k+5, "resume="+words[2])+"\r\n")
			if got, _ := c.in.ReadString('\n'); strings.TrimSpace(got) != "ERR resume behind" {
				t.Fatalf("seed %d: a token used up was answered %q", i, got)
			}
		}
		if totalOpenings(f.servers) != before+1 {
			t.Fatalf("seed %d: a rejected token reached a server", i)
		}
	}
	f.checkLedger()
}

// totalOpenings is how many OPEN lines the servers were sent.
func totalOpenings(servers []*fake.ScanServer) (n int) {
	for _, s := range servers {
		n += s.FirstLineCount()
	}
	return n
}

// countOwned is how many streams have an owner.
func countOwned(zk *fake.ZooKeeper) (n int) {
	for _, p := range zk.Nodes("/a/streams/") {
		if strings.HasSuffix(p, "/holder") {
			n++
		}
	}
	return n
}

// readUntil reads to the next line with a first word.
func (c *client) readUntil(t *testing.T, want string) []string {
	t.Helper()
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			t.Fatalf("waiting for %s: %v", want, err)
		}
		if words := strings.Fields(line); len(words) > 0 && words[0] == want {
			return words
		}
	}
}
