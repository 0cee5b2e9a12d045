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

// writeKeys writes a key file with keys of the given ids. The relay seals tokens by the first.
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

// fleet is a set of relay processes, with fakes of the servers, of discovery and of the ownership service.
type fleet struct {
	t          testing.TB
	ownership  *fake.ZooKeeper
	discovery  *fake.Discovery
	feed       *fake.Feed
	ledger     *fake.StreamTracker
	servers    []*fake.ScanServer
	keyFile    string
	resumeFile string // path of resume.toml

	mu           sync.Mutex
	commands     map[string]*exec.Cmd // by the relay's address
	rotation     []string
	logs         []string
	changeConfig func(map[string]any)
}

// newFleet starts the fakes, lists the servers as ready, and writes the resume file, with extra at its end.
// Relays are started by startRelay.
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

// startRelay starts the relay with index me and returns its address. all is the number of relays in the fleet.
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

// removeFromRotation removes a relay from those that clients connect to.
func (f *fleet) removeFromRotation(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, a := range f.rotation {
		if a == address {
			f.rotation = append(append([]string(nil), f.rotation[:i]...), f.rotation[i+1:]...)
		}
	}
}

// randomRelay returns the address of a random relay of those that clients connect to.
func (f *fleet) randomRelay() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rotation[rand.IntN(len(f.rotation))]
}

// waitFor waits for a condition. Its limit of 60 s serves only to end a test that hangs.
func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.t.Fatalf("waited 60 s for: %s; last log lines:\n%s",
				what, strings.Join(f.logs[max(0, len(f.logs)-20):], "\n"))
		}
	}
}

// ownershipConnected reports whether every relay has logged a connection to the ownership service.
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

// startViewers starts n viewers. Viewer i uses resume tokens if token(i) is true. stop ends all viewers.
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

// waitUntilViewersCurrent waits until every viewer has received a scan that is newer than all scans at the
// time of the call, and has a token if it uses tokens.
func (f *fleet) waitUntilViewersCurrent(viewers []*fake.Viewer) {
	f.t.Helper()
	newest := f.feed.Newest() + 3 // a scan that no viewer can have yet
	for _, v := range viewers {
		f.waitFor("every stream to be served", func() bool {
			return v.Stats().LastScan >= newest && (!v.UseTokens || v.ResumeToken() != "")
		})
	}
}

// drainAllServers drains the servers one after the other and makes each ready again.
func (f *fleet) drainAllServers() {
	f.t.Helper()
	for _, s := range f.servers {
		f.discovery.Set(s.ID, s.Address, "Terminating")
		s.SetRejecting(true)
		f.waitFor("the server to be drained", func() bool { return s.MigrateOneIn(3) == 0 })
		s.SetRejecting(false)
		f.discovery.Set(s.ID, s.Address, "Ready")
	}
}

// Streams of numbered scans survive a rolling drain of all servers, a server that is killed, one that stops
// responding, a relay that is killed and one that shuts down: no scan is lost or out of order, no two servers
// serve one stream at the same time, and each opening gets one answer.
func TestMigratedStreamsLoseNothing(t *testing.T) {
	const streams = 200
	f := newFleet(t, 6, "")
	var relays []string
	for i := range 3 {
		relays = append(relays, f.startRelay(i, 3))
	}
	f.waitFor("every relay to connect to the ownership service", f.ownershipConnected)
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
		t.Errorf("relay after SIGTERM: exited with %v, want no error", err)
	}
	waitUntilCurrent()
	stop()
	moves, breaks, busy := 0, 0, 0
	for _, v := range viewers {
		k := v.Stats()
		moves, breaks, busy = moves+k.Migrations, breaks+k.Disconnects, busy+k.Rejected
		if k.Lost != 0 || k.OutOfOrder != 0 || k.OtherAnswers != 0 {
			t.Errorf("viewer %s: got %+v, want nothing lost, out of order or failed", v.Name, k)
		}
		unanswered := 0
		for _, n := range k.Problems {
			if n == "unanswered by "+relays[1] { // the relay that was killed
				unanswered++
			} else {
				t.Errorf("viewer %s: unexpected note %s", v.Name, n)
			}
		}
		if k.Answers+unanswered != k.FirstLinesSent {
			t.Errorf("viewer %s: got %d answers to %d openings, want one each", v.Name, k.Answers, k.FirstLinesSent)
		}
	}
	f.checkLedger()
	_, served := f.ledger.Serving()
	if moves < streams || served < 2*streams {
		t.Errorf("got %d migrations and %d services, want at least 1 and 2 per stream", moves, served)
	}
	t.Logf("%d streams, %d services, %d migrations, %d broken connections, %d rejections, %d scans each",
		streams, served, moves, breaks, busy, f.feed.Newest())
}

// A token that is presented to two relays at the same time, or several times to one, gets one attempt and one
// service; the other openings are rejected at once. Once the stream has a newer token, the old one is
// rejected.
func TestReplayedTokenGetsOneAttempt(t *testing.T) {
	f := newFleet(t, 3, "")
	relays := []string{f.startRelay(0, 2), f.startRelay(1, 2)}
	f.waitFor("every relay to connect to the ownership service", f.ownershipConnected)
	var inFlight sync.Map // number of attempts per stream, counted at the servers
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
		f.waitFor("the ownership lease to be released", func() bool { return countOwned(f.ownership) == 0 })
		before := totalOpenings(f.servers)
		rng := rand.New(rand.NewPCG(uint64(i), 2))
		barrier := make(chan struct{})
		answers := make([]string, 4)
		clients := make([]*client, 4)
		var all sync.WaitGroup
		for k := range 4 {
			at := relays[k%2]
			if i%5 == 4 { // several times to one relay
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
				t.Fatalf("seed %d: got answers %q, want one UP and otherwise BUSY", i, answers)
			}
		}
		if up < 0 || totalOpenings(f.servers) != before+1 {
			t.Fatalf("seed %d: got answers %q with %d attempts, want one UP and 1 attempt",
				i, answers, totalOpenings(f.servers)-before)
		}
		next := clients[up].readUntil(t, "TOKEN")
		fmt.Fprintf(clients[up], "GOT %s\r\nM\r\n", next[1])
		clients[up].readUntil(t, "M") // the server echoes M, so the relay has read GOT before it
		clients[up].Close()
		f.waitFor("the ownership lease to be released", func() bool { return countOwned(f.ownership) == 0 })
		for k, at := range relays { // the client has confirmed the newer token
			c := dial(t, at)
			fmt.Fprint(c, opening(k+5, "resume="+words[2])+"\r\n")
			if got, _ := c.in.ReadString('\n'); strings.TrimSpace(got) != "ERR resume behind" {
				t.Fatalf("seed %d: used token: got answer %q, want ERR resume behind", i, got)
			}
		}
		if totalOpenings(f.servers) != before+1 {
			t.Fatalf("seed %d: an opening with a rejected token reached a server", i)
		}
	}
	f.checkLedger()
}

// totalOpenings returns the number of OPEN lines that the servers have received.
func totalOpenings(servers []*fake.ScanServer) (n int) {
	for _, s := range servers {
		n += s.FirstLineCount()
	}
	return n
}

// countOwned returns the number of streams that have an owner.
func countOwned(zk *fake.ZooKeeper) (n int) {
	for _, p := range zk.Nodes("/a/streams/") {
		if strings.HasSuffix(p, "/holder") {
			n++
		}
	}
	return n
}

// readUntil reads up to the next line whose first word is want, and returns the words of that line.
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
