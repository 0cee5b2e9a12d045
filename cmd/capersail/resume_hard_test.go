package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"capersail/internal/token"
)

// openStream opens a new stream and returns its client, its token, and the generation.
func (f *fleet) openStream(at, name string) (c *client, text, gen string) {
	f.t.Helper()
	t := f.t.(*testing.T)
	c = dial(t, at)
	c.sendAndExpect(t, fmt.Sprintf("OPEN %s 7f c=map-stream,t=acme,d=3000,g=5,resume=new", name), "UP")
	words := c.readUntil(t, "TOKEN")
	fmt.Fprintf(c, "GOT %s\r\n", words[1])
	return c, words[2], words[1]
}

// presentToken opens with a token and returns the first line of the answer, and the client.
func (f *fleet) presentToken(at, name, text, more string) (string, *client) {
	f.t.Helper()
	c := dial(f.t.(*testing.T), at)
	fmt.Fprintf(c, "OPEN %s 7f c=map-stream,t=acme,d=3000,g=5,resume=%s%s\r\n", name, text, more)
	line, _ := c.in.ReadString('\n')
	return strings.TrimSpace(line), c
}

// resumeWithRetries opens with a token until it is served, as a client does that follows the Retry-After of
// its rejections. Each must lie within the session.
func (f *fleet) resumeWithRetries(at, name, text, more string) (c *client, rejections int) {
	f.t.Helper()
	for n := range 100 {
		answer, c := f.presentToken(at, fmt.Sprint(name, "-", n), text, more)
		words := strings.Fields(answer)
		switch {
		case len(words) > 0 && words[0] == "UP":
			return c, n
		case len(words) == 2 && words[0] == "BUSY":
			ms, err := strconv.Atoi(words[1])
			if err != nil || ms <= 0 || ms > 4000 {
				f.t.Fatalf("rejected with the Retry-After %q", answer)
			}
			time.Sleep(time.Duration(ms) * time.Millisecond)
		default:
			f.t.Fatalf("%s: %q", name, answer)
		}
		c.Close()
	}
	f.t.Fatalf("%s is never served", name)
	return nil, 0
}

// checkLedger fails the test if two servers ever served one stream at once, or its fencing token did
// not grow.
func (f *fleet) checkLedger() {
	f.t.Helper()
	for _, bad := range f.ledger.Violations() {
		f.t.Error(bad)
	}
}

// addOtherClassAndTenant adds the class zoom and the tenant surf to a configuration.
func addOtherClassAndTenant(c map[string]any) {
	s := c["settings"].(map[string]any)
	s["classes"] = append(s["classes"].([]any), map[string]any{
		"name":       "zoom",
		"semantics":  "free",
		"aimMs":      800,
		"deadlineMs": 3200,
		"worth":      1,
	})
	s["realms"] = []any{
		map[string]any{"name": "acme", "portion": 0.5},
		map[string]any{"name": "surf", "portion": 0.5},
	}
}

// openingCase is an OPEN line's fields, and what it is answered.
type openingCase struct{ name, fields, want string }

// invalidOpenings are openings with tokens that are rejected, and last one that is served. text is a valid
// token of a class map-stream and a tenant acme, sealed by the key a.
func invalidOpenings(t *testing.T, text string) (openings []openingCase, good *token.Token) {
	t.Helper()
	ring, err := token.NewKeyRing([]token.Key{{ID: "a", Secret: []byte(strings.Repeat("a", 32))}})
	if err != nil {
		t.Fatal(err)
	}
	good, err = ring.Open(text)
	if err != nil {
		t.Fatal(err)
	}
	forge := func(change func(k *token.Token)) string {
		k := *good
		change(&k)
		text, _ := ring.Seal(&k)
		return text
	}
	other, _ := token.NewKeyRing([]token.Key{{ID: "a", Secret: make([]byte, 32)}})
	forged, _ := other.Seal(good)
	now := time.Now().UnixMilli()
	const fields = "c=map-stream,t=acme,d=3000,g=5,resume="
	return []openingCase{
		{"forged", fields + forged, "ERR resume token"},
		{"cut", fields + text[:len(text)-9], "ERR resume token"},
		{"no token", fields + "x", "ERR resume token"},
		{"another class", "c=zoom,t=acme,d=3000,g=5,resume=" + text, "ERR resume mismatch"},
		{"another tenant", "c=map-stream,t=surf,d=3000,g=5,resume=" + text, "ERR resume mismatch"},
		{"another group", "c=map-stream,t=acme,d=3000,g=6,resume=" + text, "ERR resume mismatch"},
		{"expired", fields + forge(func(k *token.Token) { k.ExpiresUnixMs = now - 200 }),
			"ERR resume expired"},
		{"from the future", fields + forge(func(k *token.Token) { k.IssuedUnixMs = now + 60_000 }),
			"ERR resume expired"},
		{"a stream nobody knows", fields + forge(func(k *token.Token) { k.Stream[0]++ }),
			"ERR resume unknown"},
		{"a generation to come", fields + forge(func(k *token.Token) { k.FencingToken = 9 }),
			"ERR resume unknown"},
		{"generation 0, which stands for a new stream",
			fields + forge(func(k *token.Token) { k.FencingToken = 0 }),
			"ERR resume token"},
		{"a negative position",
			"c=map-stream,t=acme,d=3000,g=5,pos=-1,resume=" + text, "ERR resume position"},
		{"a position that is none",
			"c=map-stream,t=acme,d=3000,g=5,pos=9223372036854775807,resume=" + text,
			"ERR resume position"},
		{"at and resume", "c=map-stream,t=acme,d=3000,g=5,at=s0,resume=" + text, "ERR bad request"},
		{"two tokens, of which the first counts", fields + text + ",resume=" + forged, "UP"},
	}, good
}

// expectOversizedTokenRejected sends 60 MB in place of a token: an answer, and an end. What is read of it is bounded.
func expectOversizedTokenRejected(t *testing.T, at string) {
	t.Helper()
	c := dial(t, at)
	fmt.Fprint(c, "OPEN big 7f c=map-stream,t=acme,d=3000,resume=")
	blob := make([]byte, 1<<20)
	for i := range blob {
		blob[i] = 'A'
	}
	go func() {
		for range 60 {
			if _, err := c.Write(blob); err != nil {
				return
			}
		}
	}()
	if got, _ := c.in.ReadString('\n'); !strings.HasPrefix(got, "ERR") {
		t.Errorf("60 MB were answered %q", got)
	}
}

// expectUnservablePositionsReported opens at positions ahead of what the server has, and behind what it keeps.
func (f *fleet) expectUnservablePositionsReported(t *testing.T, at, text string) {
	t.Helper()
	if got, _ := f.presentToken(at, "ahead", text, ",pos=1000000"); got != "ERR resume ahead" {
		t.Errorf("ahead: %q", got)
	}
	f.waitFor("given back", func() bool { return countOwned(f.ownership) == 0 })
	f.waitFor("scans that are kept no more", func() bool { return f.feed.Newest() > 30 })
	c, _ := f.resumeWithRetries(at, "gap", text, ",pos=2")
	if gap := c.readUntil(t, "GAP"); gap[1] != "3" || gap[2] == "-" {
		t.Errorf("behind what is kept: %q", gap)
	} else if scan := c.readUntil(t, "SCAN"); scan[1] != addToNumber(gap[2], 1) {
		t.Errorf("after %q comes %q", gap, scan)
	}
	c.Close()
	f.waitFor("given back", func() bool { return countOwned(f.ownership) == 0 })
}

// expectStaleTokenRejected has a server see a higher fencing token of the stream: it rejects a lower one.
func (f *fleet) expectStaleTokenRejected(t *testing.T, at, text string, good *token.Token) {
	t.Helper()
	direct := dial(t, f.servers[0].Address)
	higher := fmt.Sprintf("OPEN x 7f c=map-stream,d=3000,s=%s,gen=99,from=0", good.Stream)
	direct.sendAndExpect(t, higher, "UP")
	direct.Close()
	if got, _ := f.presentToken(at, "stale", text, ""); got != "ERR resume behind" {
		t.Errorf("a server that rejects a fencing token: %q", got)
	}
}

// What is no token, or not this stream's, or not now, is rejected at once and reaches no server.
func TestInvalidTokensAreRejected(t *testing.T) {
	f := newFleet(t, 1, "skew_ms = 100\n")
	f.feed.Keep = 20
	f.changeConfig = addOtherClassAndTenant
	at := f.startRelay(0, 1)
	f.waitFor("ownership service", f.ownershipConnected)
	c, text, _ := f.openStream(at, "s")
	c.Close()
	f.waitFor("given back", func() bool { return countOwned(f.ownership) == 0 })

	openings, good := invalidOpenings(t, text)
	before := f.servers[0].FirstLineCount()
	for i, k := range openings {
		if k.want == "UP" {
			if n := f.servers[0].FirstLineCount(); n != before {
				t.Errorf("%d rejected openings reached the server", n-before)
			}
		}
		c := dial(t, at)
		fmt.Fprintf(c, "OPEN r%d 7f %s\r\n", i, k.fields)
		got, _ := c.in.ReadString('\n')
		if got = strings.TrimSpace(got); got != k.want && !(k.want == "UP" && strings.HasPrefix(got, "UP ")) {
			t.Errorf("%s: %q, want %q", k.name, got, k.want)
		}
		c.Close()
	}
	f.waitFor("given back", func() bool { return countOwned(f.ownership) == 0 })

	expectOversizedTokenRejected(t, at)
	f.expectUnservablePositionsReported(t, at, text)
	f.expectStaleTokenRejected(t, at, text, good)
	if t.Failed() {
		f.mu.Lock()
		t.Log(strings.Join(f.logs, "\n"))
		f.mu.Unlock()
	}
}

// addToNumber is the decimal number in text, plus n.
func addToNumber(text string, n int) string {
	x, _ := strconv.Atoi(text)
	return strconv.Itoa(x + n)
}

// Keys: a new one seals at once after SIGHUP, an old one opens until it is taken out, and a file that others
// can read changes nothing.
func TestReloadRotatesKeys(t *testing.T) {
	f := newFleet(t, 1, "")
	at := f.startRelay(0, 1)
	f.waitFor("ownership service", f.ownershipConnected)
	c, old, _ := f.openStream(at, "s")
	c.Close()
	reload := func(want string) {
		t.Helper()
		f.mu.Lock()
		n := len(f.logs)
		f.mu.Unlock()
		f.commands[at].Process.Signal(syscall.SIGHUP)
		f.waitFor(want, func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, l := range f.logs[n:] {
				if strings.Contains(l, want) {
					return true
				}
			}
			return false
		})
	}
	writeKeys(t, f.keyFile, "b", "a")
	os.Chmod(f.keyFile, 0o644)
	reload("mode 0644 lets other users access the keys")
	os.Chmod(f.keyFile, 0o600)
	reload("reloaded resume")
	c, _ = f.resumeWithRetries(at, "both", old, "")
	words := c.readUntil(t, "TOKEN")
	if !strings.HasPrefix(words[2], "cs1.b.") {
		t.Errorf("the new key does not seal: %s", words[2])
	}
	c.Close()
	writeKeys(t, f.keyFile, "b")
	reload("reloaded resume")
	if got, _ := f.presentToken(at, "old", old, ""); got != "ERR resume token" {
		t.Errorf("sealed by a key that was taken out: %q", got)
	}
	c, _ = f.resumeWithRetries(at, "new", words[2], "")
	c.readUntil(t, "TOKEN")
	f.checkLedger()
}

// The old relay is killed: its ownership lease still holds. The client is rejected at once with a Retry-After
// within the session, and is then served from where it stopped.
func TestStreamResumesAfterItsRelayIsKilled(t *testing.T) {
	f := newFleet(t, 2, "")
	a, b := f.startRelay(0, 2), f.startRelay(1, 2)
	f.waitFor("ownership service", f.ownershipConnected)
	c, text, _ := f.openStream(a, "s")
	scan := c.readUntil(t, "SCAN")
	f.commands[a].Process.Kill()
	f.waitFor("its server sees the end", func() bool { n, _ := f.ledger.Serving(); return n == 0 })
	c, rejections := f.resumeWithRetries(b, "again", text, ",pos="+scan[1])
	if rejections == 0 {
		t.Error("the lease of a relay that was killed did not hold")
	}
	if next := c.readUntil(t, "SCAN"); next[1] != addToNumber(scan[1], 1) {
		t.Errorf("after scan %s comes %s", scan[1], next[1])
	}
	f.checkLedger()
}

// A relay that is paused for longer than its session: its server's lease ends before another relay can
// acquire the stream, and once it runs again it forwards nothing.
func TestPausedRelayForwardsNothingAfterItsSession(t *testing.T) {
	f := newFleet(t, 2, "")
	a, b := f.startRelay(0, 2), f.startRelay(1, 2)
	f.waitFor("ownership service", f.ownershipConnected)
	c, text, _ := f.openStream(a, "s")
	scan := c.readUntil(t, "SCAN")
	f.commands[a].Process.Signal(syscall.SIGSTOP)
	stopped := f.feed.Newest()
	k, rejections := f.resumeWithRetries(b, "again", text, ",pos="+scan[1])
	if rejections == 0 {
		t.Error("the lease of a relay that is paused did not hold")
	}
	if next := k.readUntil(t, "SCAN"); next[1] != addToNumber(scan[1], 1) {
		t.Errorf("after scan %s comes %s", scan[1], next[1])
	}
	f.checkLedger()
	f.commands[a].Process.Signal(syscall.SIGCONT)
	last := ""
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			break
		}
		if words := strings.Fields(line); words[0] == "SCAN" {
			last = words[1]
		}
	}
	if x, _ := strconv.ParseUint(last, 10, 64); x > stopped+1 {
		t.Errorf("a relay that was paused forwarded scan %s; %d was the newest before", last, stopped)
	}
	k.readUntil(t, "SCAN") // and the stream is not disturbed
	f.checkLedger()
}

// The ownership service gone before, during and after; its answers lost; its sessions expired.
func TestStreamsSurviveOwnershipServiceOutages(t *testing.T) {
	f := newFleet(t, 2, "")
	f.ownership.SetUnreachable(true)
	at := f.startRelay(0, 1)
	c := dial(t, at)
	// New streams need no ownership lease to be served.
	c.sendAndExpect(t, "OPEN s 7f c=map-stream,t=acme,d=3000,g=5,resume=new", "UP")
	c.readUntil(t, "SCAN")
	f.ownership.SetUnreachable(false)
	words := c.readUntil(t, "TOKEN")
	fmt.Fprintf(c, "GOT %s\r\n", words[1])

	f.ownership.ResetConnections() // a session taken up again costs nothing
	f.waitFor("connected again", func() bool { return f.countLogs("ownership service connected") >= 2 })
	for range 3 {
		c.readUntil(t, "SCAN")
	}
	// For longer than leases are trusted: migrated, before another relay could have acquired the stream.
	f.ownership.SetUnreachable(true)
	last := ""
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			t.Fatalf("not moved politely: %v", err)
		}
		if words := strings.Fields(line); words[0] == "MOVE" {
			break
		} else if words[0] == "SCAN" {
			last = words[1]
		}
	}
	f.waitFor("its server sees the end", func() bool { n, _ := f.ledger.Serving(); return n == 0 })
	if got, _ := f.presentToken(at, "down", words[2], ",pos="+last); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("while the service is gone: %q", got)
	}
	f.ownership.SetUnreachable(false)
	c, _ = f.resumeWithRetries(at, "back", words[2], ",pos="+last)
	words = c.readUntil(t, "TOKEN")
	fmt.Fprintf(c, "GOT %s\r\nM\r\n", words[1])
	c.readUntil(t, "M")

	f.ownership.ExpireSessions() // expired while served: migrated at once
	c.readUntil(t, "MOVE")
	f.ownership.DropAnswers(1) // the lease is acquired, and the answer lost: the node exists and is ours
	c, _ = f.resumeWithRetries(at, "swallowed", words[2], "")
	c.readUntil(t, "SCAN")
	if n := countOwned(f.ownership); n != 1 {
		t.Errorf("%d holders", n)
	}
	c.Close()
	f.waitFor("given back", func() bool { return countOwned(f.ownership) == 0 })
	f.ownership.SetFrozen(true) // it answers nothing at all
	if got, _ := f.presentToken(at, "frozen", words[2], ""); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("while the service is frozen: %q", got)
	}
	f.ownership.SetFrozen(false)
	c, _ = f.resumeWithRetries(at, "thawed", words[2], "")
	c.readUntil(t, "SCAN")
	f.checkLedger()
}

// countLogs counts log lines that hold a text.
func (f *fleet) countLogs(text string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.logs {
		if strings.Contains(l, text) {
			n++
		}
	}
	return n
}

// The server that a resuming stream is placed on dies, falls silent or drains before it answers. One attempt
// after the other under one ownership lease: a second relay is rejected all the while.
func TestServerFailureDuringResumeKeepsOwnership(t *testing.T) {
	for _, how := range []string{"killed", "silent", "draining"} {
		t.Run(how, func(t *testing.T) {
			f := newFleet(t, 2, "")
			a, b := f.startRelay(0, 2), f.startRelay(1, 2)
			f.waitFor("ownership service", f.ownershipConnected)
			c, text, _ := f.openStream(a, "s")
			scan := c.readUntil(t, "SCAN")
			c.Close()
			f.waitFor("given back", func() bool { return countOwned(f.ownership) == 0 })
			var once sync.Once
			secondAnswer := make(chan string, 1)
			for _, s := range f.servers {
				s.OnFirstLine = func(string) {
					once.Do(func() {
						// In the middle of the first's attempt.
						got, second := f.presentToken(b, "second", text, "")
						second.Close()
						secondAnswer <- got
						switch how {
						case "killed":
							s.Kill()
							f.discovery.Set(s.ID, s.Address, "Gone")
						case "silent":
							s.SetSilent(true)
							f.discovery.Set(s.ID, s.Address, "Gone")
						case "draining":
							s.SetRejecting(true)
							f.discovery.Set(s.ID, s.Address, "Terminating")
						}
					})
				}
			}
			c, _ = f.resumeWithRetries(a, "first", text, ",pos="+scan[1])
			if got := <-secondAnswer; !strings.HasPrefix(got, "BUSY ") {
				t.Errorf("at a second relay in mid-resume: %q", got)
			}
			if next := c.readUntil(t, "SCAN"); next[1] != addToNumber(scan[1], 1) {
				t.Errorf("after scan %s comes %s", scan[1], next[1])
			}
			f.checkLedger()
		})
	}
}

// Without -resume the fields are a client's own, as ever: they go on to the server, and nothing is added.
func TestResumeFieldsAreForwardedWhenOff(t *testing.T) {
	d, s := newDiscoveryWithServer(t, "s1")
	_, address, _ := startRelay(t, writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", d.Address
	}))
	f := &fleet{t: t}
	f.waitFor("listed", func() bool {
		c := dial(t, address)
		defer c.Close()
		fmt.Fprint(c, "OPEN o 7f c=map-stream,t=acme,d=2000,resume=new,pos=7\r\n")
		got, _ := c.in.ReadString('\n')
		return strings.HasPrefix(got, "UP")
	})
	if first := <-s.FirstLines; !strings.HasSuffix(first, ",resume=new,pos=7") {
		t.Errorf("the server was sent %q", first)
	}
}

// What is wrong with the operator's file: one line that names the file and the key, and exit 1.
func TestBadResumeFileNamesFileAndKey(t *testing.T) {
	f := newFleet(t, 0, "")
	good, _ := os.ReadFile(f.resumeFile)
	config := writeConfig(t, func(c map[string]any) { c["listen"] = "127.0.0.1:0" })
	for name, k := range map[string]struct{ text, want string }{
		"unknown key": {"colour = 1\n" + string(good), "colour: unknown key"},
		"no service": {strings.Replace(string(good), f.ownership.Address, "nowhere", 1),
			"servers: address nowhere"},
		"session":  {strings.Replace(string(good), "4000", "300", 1), "session_ms: "},
		"path":     {strings.Replace(string(good), "/a/streams", "a", 1), "path: "},
		"renew":    {strings.Replace(string(good), "renew_ms = 500", "renew_ms = 5", 1), "renew_ms: "},
		"keys":     {strings.Replace(string(good), f.keyFile, f.keyFile+"x", 1), "keys: "},
		"not TOML": {"=", "toml: line 1"},
	} {
		os.WriteFile(f.resumeFile, []byte(k.text), 0o600)
		cmd := relayCommand(t, config)
		cmd.Args = append(cmd.Args, "-resume", f.resumeFile)
		out, err := cmd.CombinedOutput()
		named := strings.HasPrefix(string(out), "capersail: "+f.resumeFile+": "+k.want)
		if err == nil || !named || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: %v, %q", name, err, out)
		}
	}
}
