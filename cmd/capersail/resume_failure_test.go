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

// openStream opens a new stream and returns its client, its token and the generation of the token.
func (f *fleet) openStream(at, name string) (c *client, text, gen string) {
	f.t.Helper()
	t := f.t.(*testing.T)
	c = dial(t, at)
	c.sendAndExpect(t, fmt.Sprintf("OPEN %s 7f c=map-stream,t=acme,d=3000,g=5,resume=new", name), "UP")
	words := c.readUntil(t, "TOKEN")
	fmt.Fprintf(c, "GOT %s\r\n", words[1])
	return c, words[2], words[1]
}

// presentToken sends an opening with a token and returns the first line of the answer, and the client.
func (f *fleet) presentToken(at, name, text, more string) (string, *client) {
	f.t.Helper()
	c := dial(f.t.(*testing.T), at)
	fmt.Fprintf(c, "OPEN %s 7f c=map-stream,t=acme,d=3000,g=5,resume=%s%s\r\n", name, text, more)
	line, _ := c.in.ReadString('\n')
	return strings.TrimSpace(line), c
}

// resumeWithRetries sends openings with a token until one is served, and waits for the Retry-After of each
// rejection in between. Each Retry-After must be within the session's 4 s.
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
				f.t.Fatalf("rejection: got %q, want a Retry-After from 1 to 4000 ms", answer)
			}
			time.Sleep(time.Duration(ms) * time.Millisecond)
		default:
			f.t.Fatalf("opening %s: got answer %q, want UP or BUSY with a Retry-After", name, answer)
		}
		c.Close()
	}
	f.t.Fatalf("opening %s: not served after 100 attempts", name)
	return nil, 0
}

// checkLedger fails the test if two servers ever served one stream at the same time, or if a stream's fencing
// token did not grow from one service to the next.
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

// openingCase is the fields of an OPEN line and the wanted answer.
type openingCase struct{ name, fields, want string }

// invalidOpenings returns openings with tokens that are rejected and, as the last, one that is served. text
// is a valid token of class map-stream and tenant acme, sealed by key a.
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
		{"truncated", fields + text[:len(text)-9], "ERR resume token"},
		{"no token", fields + "x", "ERR resume token"},
		{"another class", "c=zoom,t=acme,d=3000,g=5,resume=" + text, "ERR resume mismatch"},
		{"another tenant", "c=map-stream,t=surf,d=3000,g=5,resume=" + text, "ERR resume mismatch"},
		{"another group", "c=map-stream,t=acme,d=3000,g=6,resume=" + text, "ERR resume mismatch"},
		{"expired", fields + forge(func(k *token.Token) { k.ExpiresUnixMs = now - 200 }),
			"ERR resume expired"},
		{"from the future", fields + forge(func(k *token.Token) { k.IssuedUnixMs = now + 60_000 }),
			"ERR resume expired"},
		{"an unknown stream", fields + forge(func(k *token.Token) { k.Stream[0]++ }),
			"ERR resume unknown"},
		{"a generation not yet issued", fields + forge(func(k *token.Token) { k.FencingToken = 9 }),
			"ERR resume unknown"},
		{"generation 0, which stands for a new stream",
			fields + forge(func(k *token.Token) { k.FencingToken = 0 }),
			"ERR resume token"},
		{"a negative position",
			"c=map-stream,t=acme,d=3000,g=5,pos=-1,resume=" + text, "ERR resume position"},
		{"a position out of range",
			"c=map-stream,t=acme,d=3000,g=5,pos=9223372036854775807,resume=" + text,
			"ERR resume position"},
		{"at and resume", "c=map-stream,t=acme,d=3000,g=5,at=s0,resume=" + text, "ERR bad request"},
		{"two tokens, of which the first is used", fields + text + ",resume=" + forged, "UP"},
	}, good
}

// expectOversizedTokenRejected sends 60 MB in place of a token. The relay must answer with ERR: it reads a
// bounded part of the line.
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
		t.Errorf("token of 60 MB: got answer %q, want ERR", got)
	}
}

// expectUnservablePositionsReported sends openings at a position ahead of the server's newest scan, which is
// rejected, and at one older than the scans it keeps, which is answered with the gap.
func (f *fleet) expectUnservablePositionsReported(t *testing.T, at, text string) {
	t.Helper()
	if got, _ := f.presentToken(at, "ahead", text, ",pos=1000000"); got != "ERR resume ahead" {
		t.Errorf("position ahead of the newest scan: got %q, want ERR resume ahead", got)
	}
	f.waitFor("the ownership lease to be released", func() bool { return countOwned(f.ownership) == 0 })
	f.waitFor("position 2 to be older than the scans kept", func() bool { return f.feed.Newest() > 30 })
	c, _ := f.resumeWithRetries(at, "gap", text, ",pos=2")
	if gap := c.readUntil(t, "GAP"); gap[1] != "3" || gap[2] == "-" {
		t.Errorf("position older than the scans kept: got %q, want a gap from scan 3", gap)
	} else if scan := c.readUntil(t, "SCAN"); scan[1] != addToNumber(gap[2], 1) {
		t.Errorf("after %q: got %q, want the scan that follows the gap", gap, scan)
	}
	c.Close()
	f.waitFor("the ownership lease to be released", func() bool { return countOwned(f.ownership) == 0 })
}

// expectStaleTokenRejected sends a server a higher fencing token of the stream, after which the server must
// reject a lower one.
func (f *fleet) expectStaleTokenRejected(t *testing.T, at, text string, good *token.Token) {
	t.Helper()
	direct := dial(t, f.servers[0].Address)
	higher := fmt.Sprintf("OPEN x 7f c=map-stream,d=3000,s=%s,gen=99,from=0", good.Stream)
	direct.sendAndExpect(t, higher, "UP")
	direct.Close()
	if got, _ := f.presentToken(at, "stale", text, ""); got != "ERR resume behind" {
		t.Errorf("fencing token lower than the server has seen: got %q, want ERR resume behind", got)
	}
}

// Openings with an invalid token, with a token of another stream or with one that is not valid now are
// rejected at once and reach no server.
func TestInvalidTokensAreRejected(t *testing.T) {
	f := newFleet(t, 1, "skew_ms = 100\n")
	f.feed.Keep = 20
	f.changeConfig = addOtherClassAndTenant
	at := f.startRelay(0, 1)
	f.waitFor("every relay to connect to the ownership service", f.ownershipConnected)
	c, text, _ := f.openStream(at, "s")
	c.Close()
	f.waitFor("the ownership lease to be released", func() bool { return countOwned(f.ownership) == 0 })

	openings, good := invalidOpenings(t, text)
	before := f.servers[0].FirstLineCount()
	for i, k := range openings {
		if k.want == "UP" {
			if n := f.servers[0].FirstLineCount(); n != before {
				t.Errorf("%d openings with an invalid token reached the server, want none", n-before)
			}
		}
		c := dial(t, at)
		fmt.Fprintf(c, "OPEN r%d 7f %s\r\n", i, k.fields)
		got, _ := c.in.ReadString('\n')
		if got = strings.TrimSpace(got); got != k.want && !(k.want == "UP" && strings.HasPrefix(got, "UP ")) {
			t.Errorf("opening with %s: got %q, want %q", k.name, got, k.want)
		}
		c.Close()
	}
	f.waitFor("the ownership lease to be released", func() bool { return countOwned(f.ownership) == 0 })

	expectOversizedTokenRejected(t, at)
	f.expectUnservablePositionsReported(t, at, text)
	f.expectStaleTokenRejected(t, at, text, good)
	if t.Failed() {
		f.mu.Lock()
		t.Log(strings.Join(f.logs, "\n"))
		f.mu.Unlock()
	}
}

// addToNumber returns the sum of the decimal number in text and n, as text.
func addToNumber(text string, n int) string {
	x, _ := strconv.Atoi(text)
	return strconv.Itoa(x + n)
}

// After SIGHUP the relay seals tokens by the new key at once, and opens tokens of an old key until the key is
// removed from the file. A key file that other users can read changes nothing.
func TestReloadRotatesKeys(t *testing.T) {
	f := newFleet(t, 1, "")
	at := f.startRelay(0, 1)
	f.waitFor("every relay to connect to the ownership service", f.ownershipConnected)
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
		t.Errorf("token after the new key was added: got %s, want one sealed by key b", words[2])
	}
	c.Close()
	writeKeys(t, f.keyFile, "b")
	reload("reloaded resume")
	if got, _ := f.presentToken(at, "old", old, ""); got != "ERR resume token" {
		t.Errorf("token sealed by a removed key: got %q, want ERR resume token", got)
	}
	c, _ = f.resumeWithRetries(at, "new", words[2], "")
	c.readUntil(t, "TOKEN")
	f.checkLedger()
}

// A relay is killed while its ownership lease is still valid. At another relay the client is rejected at once
// with a Retry-After within the session, and is later served from the position at which it stopped.
func TestStreamResumesAfterItsRelayIsKilled(t *testing.T) {
	f := newFleet(t, 2, "")
	a, b := f.startRelay(0, 2), f.startRelay(1, 2)
	f.waitFor("every relay to connect to the ownership service", f.ownershipConnected)
	c, text, _ := f.openStream(a, "s")
	scan := c.readUntil(t, "SCAN")
	f.commands[a].Process.Kill()
	f.waitFor("the stream to end at its server", func() bool { n, _ := f.ledger.Serving(); return n == 0 })
	c, rejections := f.resumeWithRetries(b, "again", text, ",pos="+scan[1])
	if rejections == 0 {
		t.Error("no rejection while the lease of the killed relay is valid, want at least one")
	}
	if next := c.readUntil(t, "SCAN"); next[1] != addToNumber(scan[1], 1) {
		t.Errorf("scan after %s: got %s, want the next", scan[1], next[1])
	}
	f.checkLedger()
}

// A relay process is paused for longer than its session. The server's lease ends before another relay can
// acquire the stream, and the paused relay forwards nothing once it continues.
func TestPausedRelayForwardsNothingAfterItsSession(t *testing.T) {
	f := newFleet(t, 2, "")
	a, b := f.startRelay(0, 2), f.startRelay(1, 2)
	f.waitFor("every relay to connect to the ownership service", f.ownershipConnected)
	c, text, _ := f.openStream(a, "s")
	scan := c.readUntil(t, "SCAN")
	f.commands[a].Process.Signal(syscall.SIGSTOP)
	stopped := f.feed.Newest()
	k, rejections := f.resumeWithRetries(b, "again", text, ",pos="+scan[1])
	if rejections == 0 {
		t.Error("no rejection while the lease of the paused relay is valid, want at least one")
	}
	if next := k.readUntil(t, "SCAN"); next[1] != addToNumber(scan[1], 1) {
		t.Errorf("scan after %s: got %s, want the next", scan[1], next[1])
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
		t.Errorf("paused relay: forwarded scan %s after it continued; the newest before the pause is %d",
			last, stopped)
	}
	k.readUntil(t, "SCAN") // the stream at the other relay continues
	f.checkLedger()
}

// Streams continue when the ownership service is unreachable before, while and after they are opened, when it
// loses an answer, when its sessions expire, and when it accepts requests without an answer.
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

	f.ownership.ResetConnections() // the session is resumed: no stream is disturbed
	f.waitFor("the relay to reconnect to the ownership service",
		func() bool { return f.countLogs("ownership service connected") >= 2 })
	for range 3 {
		c.readUntil(t, "SCAN")
	}
	// The service is unreachable for longer than a lease is valid: the relay migrates the stream before
	// another relay could acquire it.
	f.ownership.SetUnreachable(true)
	last := ""
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			t.Fatalf("stream during the outage: closed without MOVE: %v", err)
		}
		if words := strings.Fields(line); words[0] == "MOVE" {
			break
		} else if words[0] == "SCAN" {
			last = words[1]
		}
	}
	f.waitFor("the stream to end at its server", func() bool { n, _ := f.ledger.Serving(); return n == 0 })
	if got, _ := f.presentToken(at, "down", words[2], ",pos="+last); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("opening while the service is unreachable: got %q, want BUSY with a Retry-After", got)
	}
	f.ownership.SetUnreachable(false)
	c, _ = f.resumeWithRetries(at, "back", words[2], ",pos="+last)
	words = c.readUntil(t, "TOKEN")
	fmt.Fprintf(c, "GOT %s\r\nM\r\n", words[1])
	c.readUntil(t, "M")

	f.ownership.ExpireSessions() // the stream is served: it is migrated at once
	c.readUntil(t, "MOVE")
	f.ownership.DropAnswers(1) // the lease is acquired and the answer lost: the node exists
	c, _ = f.resumeWithRetries(at, "swallowed", words[2], "")
	c.readUntil(t, "SCAN")
	if n := countOwned(f.ownership); n != 1 {
		t.Errorf("got %d streams with an owner, want 1", n)
	}
	c.Close()
	f.waitFor("the ownership lease to be released", func() bool { return countOwned(f.ownership) == 0 })
	f.ownership.SetFrozen(true) // it accepts requests and never answers
	if got, _ := f.presentToken(at, "frozen", words[2], ""); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("opening while the service does not answer: got %q, want BUSY with a Retry-After", got)
	}
	f.ownership.SetFrozen(false)
	c, _ = f.resumeWithRetries(at, "thawed", words[2], "")
	c.readUntil(t, "SCAN")
	f.checkLedger()
}

// countLogs returns the number of log lines that contain text.
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

// The server on which a resuming stream is placed is killed, stops responding or drains before it answers.
// The relay makes one attempt after the other under one ownership lease; a second relay is rejected
// meanwhile.
func TestServerFailureDuringResumeKeepsOwnership(t *testing.T) {
	for _, how := range []string{"killed", "silent", "draining"} {
		t.Run(how, func(t *testing.T) {
			f := newFleet(t, 2, "")
			a, b := f.startRelay(0, 2), f.startRelay(1, 2)
			f.waitFor("every relay to connect to the ownership service", f.ownershipConnected)
			c, text, _ := f.openStream(a, "s")
			scan := c.readUntil(t, "SCAN")
			c.Close()
			f.waitFor("the lease to be released", func() bool { return countOwned(f.ownership) == 0 })
			var once sync.Once
			secondAnswer := make(chan string, 1)
			for _, s := range f.servers {
				s.OnFirstLine = func(string) {
					once.Do(func() {
						// During the first relay's attempt.
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
				t.Errorf("second relay during the resume: got %q, want BUSY with a Retry-After", got)
			}
			if next := c.readUntil(t, "SCAN"); next[1] != addToNumber(scan[1], 1) {
				t.Errorf("scan after %s: got %s, want the next", scan[1], next[1])
			}
			f.checkLedger()
		})
	}
}

// Without --resume the relay does not interpret the fields of resume tokens: it forwards them to the server
// and adds none.
func TestResumeFieldsAreForwardedWhenOff(t *testing.T) {
	d, s := newDiscoveryWithServer(t, "s1")
	_, address, _ := startRelay(t, writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", d.Address
	}))
	f := &fleet{t: t}
	f.waitFor("the server to be listed", func() bool {
		c := dial(t, address)
		defer c.Close()
		fmt.Fprint(c, "OPEN o 7f c=map-stream,t=acme,d=2000,resume=new,pos=7\r\n")
		got, _ := c.in.ReadString('\n')
		return strings.HasPrefix(got, "UP")
	})
	if first := <-s.FirstLines; !strings.HasSuffix(first, ",resume=new,pos=7") {
		t.Errorf("first line at the server: got %q, want it to end with ,resume=new,pos=7", first)
	}
}

// An invalid resume file gives an error of one line that names the file and the key, and a non-zero exit
// code.
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
			t.Errorf("resume file with invalid %s: got %v, output %q; want one line naming the key",
				name, err, out)
		}
	}
}
