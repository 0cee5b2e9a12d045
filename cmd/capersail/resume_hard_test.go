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

// stream opens a new stream and returns its client, its token, and the generation.
func (f *fleet) stream(at, name string) (c *client, text, gen string) {
	f.t.Helper()
	t := f.t.(*testing.T)
	c = dial(t, at)
	c.ask(t, fmt.Sprintf("OPEN %s 7f c=map-stream,t=acme,d=3000,g=5,resume=new", name), "UP")
	words := c.until(t, "TOKEN")
	fmt.Fprintf(c, "GOT %s\r\n", words[1])
	return c, words[2], words[1]
}

// show opens with a token and returns the first line of the answer, and the client.
func (f *fleet) show(at, name, text, more string) (string, *client) {
	f.t.Helper()
	c := dial(f.t.(*testing.T), at)
	fmt.Fprintf(c, "OPEN %s 7f c=map-stream,t=acme,d=3000,g=5,resume=%s%s\r\n", name, text, more)
	line, _ := c.in.ReadString('\n')
	return strings.TrimSpace(line), c
}

// comeAgain shows a token until it is served, as a client does that follows the times it is told. Each of
// them must lie within the session.
func (f *fleet) comeAgain(at, name, text, more string) (c *client, refusals int) {
	f.t.Helper()
	for n := range 100 {
		answer, c := f.show(at, fmt.Sprint(name, "-", n), text, more)
		words := strings.Fields(answer)
		switch {
		case len(words) > 0 && words[0] == "UP":
			return c, n
		case len(words) == 2 && words[0] == "BUSY":
			ms, err := strconv.Atoi(words[1])
			if err != nil || ms <= 0 || ms > 4000 {
				f.t.Fatalf("told to come again by %q", answer)
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

func (f *fleet) sound() {
	f.t.Helper()
	for _, bad := range f.ledger.Violations() {
		f.t.Error(bad)
	}
}

// What is no token, or not this stream's, or not now, is rejected at once and reaches no server.
func TestResumeRefusals(t *testing.T) {
	f := newFleet(t, 1, "skew_ms = 100\n")
	f.feed.Keep = 20
	f.config = func(c map[string]any) {
		s := c["settings"].(map[string]any)
		s["classes"] = append(s["classes"].([]any), map[string]any{"name": "zoom", "semantics": "free", "aimMs": 800, "deadlineMs": 3200, "worth": 1})
		s["realms"] = []any{map[string]any{"name": "acme", "portion": 0.5}, map[string]any{"name": "surf", "portion": 0.5}}
	}
	at := f.start(0, 1)
	f.wait("claim service", f.claims)
	c, text, _ := f.stream(at, "s")
	c.Close()
	f.wait("given back", func() bool { return held(f.zk) == 0 })

	ring, err := token.NewKeyRing([]token.Key{{ID: "a", Secret: []byte(strings.Repeat("a", 32))}})
	if err != nil {
		t.Fatal(err)
	}
	good, err := ring.Open(text)
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
	before := f.servers[0].Openings()
	for i, k := range []struct{ name, fields, want string }{
		{"forged", "c=map-stream,t=acme,d=3000,g=5,resume=" + forged, "ERR resume token"},
		{"cut", "c=map-stream,t=acme,d=3000,g=5,resume=" + text[:len(text)-9], "ERR resume token"},
		{"no token", "c=map-stream,t=acme,d=3000,g=5,resume=x", "ERR resume token"},
		{"another class", "c=zoom,t=acme,d=3000,g=5,resume=" + text, "ERR resume mismatch"},
		{"another tenant", "c=map-stream,t=surf,d=3000,g=5,resume=" + text, "ERR resume mismatch"},
		{"another group", "c=map-stream,t=acme,d=3000,g=6,resume=" + text, "ERR resume mismatch"},
		{"expired", "c=map-stream,t=acme,d=3000,g=5,resume=" + forge(func(k *token.Token) { k.ExpiresUnixMs = now - 200 }), "ERR resume expired"},
		{"from the future", "c=map-stream,t=acme,d=3000,g=5,resume=" + forge(func(k *token.Token) { k.IssuedUnixMs = now + 60_000 }), "ERR resume expired"},
		{"a stream nobody knows", "c=map-stream,t=acme,d=3000,g=5,resume=" + forge(func(k *token.Token) { k.Stream[0]++ }), "ERR resume unknown"},
		{"a generation to come", "c=map-stream,t=acme,d=3000,g=5,resume=" + forge(func(k *token.Token) { k.FencingToken = 9 }), "ERR resume unknown"},
		{"generation 0, which stands for a new stream", "c=map-stream,t=acme,d=3000,g=5,resume=" + forge(func(k *token.Token) { k.FencingToken = 0 }), "ERR resume token"},
		{"a negative position", "c=map-stream,t=acme,d=3000,g=5,pos=-1,resume=" + text, "ERR resume position"},
		{"a position that is none", "c=map-stream,t=acme,d=3000,g=5,pos=9223372036854775807,resume=" + text, "ERR resume position"},
		{"at and resume", "c=map-stream,t=acme,d=3000,g=5,at=s0,resume=" + text, "ERR bad request"},
		{"two tokens", "c=map-stream,t=acme,d=3000,g=5,resume=" + text + ",resume=" + forged, "UP"}, // the first counts
	} {
		if k.want == "UP" {
			if n := f.servers[0].Openings(); n != before {
				t.Errorf("%d refused openings reached the server", n-before)
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
	f.wait("given back", func() bool { return held(f.zk) == 0 })

	// 60 MB in place of a token: an answer, and an end. What is read of it is bounded.
	c = dial(t, at)
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

	// Positions: ahead of what the server has; behind what it keeps.
	if got, _ := f.show(at, "ahead", text, ",pos=1000000"); got != "ERR resume ahead" {
		t.Errorf("ahead: %q", got)
	}
	f.wait("given back", func() bool { return held(f.zk) == 0 })
	f.wait("scans that are kept no more", func() bool { return f.feed.Newest() > 30 })
	c, _ = f.comeAgain(at, "gap", text, ",pos=2")
	if gap := c.until(t, "GAP"); gap[1] != "3" || gap[2] == "-" {
		t.Errorf("behind what is kept: %q", gap)
	} else if scan := c.until(t, "SCAN"); scan[1] != plus(gap[2], 1) {
		t.Errorf("after %q comes %q", gap, scan)
	}
	c.Close()
	f.wait("given back", func() bool { return held(f.zk) == 0 })

	// A server that has seen a higher generation of the stream refuses a lower one.
	direct := dial(t, f.servers[0].Address)
	direct.ask(t, fmt.Sprintf("OPEN x 7f c=map-stream,d=3000,s=%s,gen=99,from=0", good.Stream), "UP")
	direct.Close()
	if got, _ := f.show(at, "stale", text, ""); got != "ERR resume behind" {
		t.Errorf("a server that refuses a generation: %q", got)
	}
	if t.Failed() {
		f.mu.Lock()
		t.Log(strings.Join(f.logs, "\n"))
		f.mu.Unlock()
	}
}

func plus(text string, n int) string {
	x, _ := strconv.Atoi(text)
	return strconv.Itoa(x + n)
}

// Keys: a new one seals at once after SIGHUP, an old one opens until it is taken out, and a file that others
// can read changes nothing.
func TestKeyRotation(t *testing.T) {
	f := newFleet(t, 1, "")
	at := f.start(0, 1)
	f.wait("claim service", f.claims)
	c, old, _ := f.stream(at, "s")
	c.Close()
	hangUp := func(want string) {
		t.Helper()
		f.mu.Lock()
		n := len(f.logs)
		f.mu.Unlock()
		f.cmds[at].Process.Signal(syscall.SIGHUP)
		f.wait(want, func() bool {
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
	writeKeys(t, f.keys, "b", "a")
	os.Chmod(f.keys, 0o644)
	hangUp("mode 0644 lets others at the keys")
	os.Chmod(f.keys, 0o600)
	hangUp("reloaded resume")
	c, _ = f.comeAgain(at, "both", old, "")
	words := c.until(t, "TOKEN")
	if !strings.HasPrefix(words[2], "cs1.b.") {
		t.Errorf("the new key does not seal: %s", words[2])
	}
	c.Close()
	writeKeys(t, f.keys, "b")
	hangUp("reloaded resume")
	if got, _ := f.show(at, "old", old, ""); got != "ERR resume token" {
		t.Errorf("sealed by a key that was taken out: %q", got)
	}
	c, _ = f.comeAgain(at, "new", words[2], "")
	c.until(t, "TOKEN")
	f.sound()
}

// The old relay is killed: its ownership still stands. The client is told at once when to come, within the
// session, and is then served from where it stopped.
func TestOldRelayKilled(t *testing.T) {
	f := newFleet(t, 2, "")
	a, b := f.start(0, 2), f.start(1, 2)
	f.wait("claim service", f.claims)
	c, text, _ := f.stream(a, "s")
	scan := c.until(t, "SCAN")
	f.cmds[a].Process.Kill()
	f.wait("its server sees the end", func() bool { n, _ := f.ledger.Serving(); return n == 0 })
	c, refusals := f.comeAgain(b, "again", text, ",pos="+scan[1])
	if refusals == 0 {
		t.Error("the claim of a relay that was killed did not stand")
	}
	if next := c.until(t, "SCAN"); next[1] != plus(scan[1], 1) {
		t.Errorf("after scan %s comes %s", scan[1], next[1])
	}
	f.sound()
}

// A relay that sleeps for longer than its session: its server's lease ends before another relay can win, and
// once awake it passes nothing on.
func TestRelaySleepsPastItsSession(t *testing.T) {
	f := newFleet(t, 2, "")
	a, b := f.start(0, 2), f.start(1, 2)
	f.wait("claim service", f.claims)
	c, text, _ := f.stream(a, "s")
	scan := c.until(t, "SCAN")
	f.cmds[a].Process.Signal(syscall.SIGSTOP)
	stopped := f.feed.Newest()
	k, refusals := f.comeAgain(b, "again", text, ",pos="+scan[1])
	if refusals == 0 {
		t.Error("the claim of a relay that sleeps did not stand")
	}
	if next := k.until(t, "SCAN"); next[1] != plus(scan[1], 1) {
		t.Errorf("after scan %s comes %s", scan[1], next[1])
	}
	f.sound()
	f.cmds[a].Process.Signal(syscall.SIGCONT)
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
		t.Errorf("a relay that slept passed scan %s on; %d was the newest before", last, stopped)
	}
	k.until(t, "SCAN") // and the stream is not disturbed
	f.sound()
}

// The claim service gone before, during and after; its answers lost; its sessions forgotten.
func TestClaimServiceGone(t *testing.T) {
	f := newFleet(t, 2, "")
	f.zk.SetUnreachable(true)
	at := f.start(0, 1)
	c := dial(t, at)
	c.ask(t, "OPEN s 7f c=map-stream,t=acme,d=3000,g=5,resume=new", "UP") // new streams need no claim to be served
	c.until(t, "SCAN")
	f.zk.SetUnreachable(false)
	words := c.until(t, "TOKEN")
	fmt.Fprintf(c, "GOT %s\r\n", words[1])

	f.zk.ResetConnections() // a session taken up again costs nothing
	f.wait("connected again", func() bool { return f.said("ownership service connected") >= 2 })
	for range 3 {
		c.until(t, "SCAN")
	}
	f.zk.SetUnreachable(true) // for longer than claims are trusted: moved, before another could have won
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
	f.wait("its server sees the end", func() bool { n, _ := f.ledger.Serving(); return n == 0 })
	if got, _ := f.show(at, "down", words[2], ",pos="+last); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("while the service is gone: %q", got)
	}
	f.zk.SetUnreachable(false)
	c, _ = f.comeAgain(at, "back", words[2], ",pos="+last)
	words = c.until(t, "TOKEN")
	fmt.Fprintf(c, "GOT %s\r\nM\r\n", words[1])
	c.until(t, "M")

	f.zk.ExpireSessions() // forgotten while served: moved at once
	c.until(t, "MOVE")
	f.zk.DropAnswers(1) // the claim is made, and the answer lost: the node exists and is ours
	c, _ = f.comeAgain(at, "swallowed", words[2], "")
	c.until(t, "SCAN")
	if n := held(f.zk); n != 1 {
		t.Errorf("%d holders", n)
	}
	c.Close()
	f.wait("given back", func() bool { return held(f.zk) == 0 })
	f.zk.SetFrozen(true) // it answers nothing at all
	if got, _ := f.show(at, "frozen", words[2], ""); !strings.HasPrefix(got, "BUSY ") {
		t.Errorf("while the service is frozen: %q", got)
	}
	f.zk.SetFrozen(false)
	c, _ = f.comeAgain(at, "thawed", words[2], "")
	c.until(t, "SCAN")
	f.sound()
}

// said counts log lines that hold a text.
func (f *fleet) said(text string) (n int) {
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
// after the other under one ownership: a second relay is rejected all the while.
func TestServerFailsInMidResume(t *testing.T) {
	for _, how := range []string{"killed", "silent", "draining"} {
		t.Run(how, func(t *testing.T) {
			f := newFleet(t, 2, "")
			a, b := f.start(0, 2), f.start(1, 2)
			f.wait("claim service", f.claims)
			c, text, _ := f.stream(a, "s")
			scan := c.until(t, "SCAN")
			c.Close()
			f.wait("given back", func() bool { return held(f.zk) == 0 })
			var once sync.Once
			met := make(chan string, 1)
			for _, s := range f.servers {
				s.OnFirstLine = func(string) {
					once.Do(func() {
						got, second := f.show(b, "second", text, "") // in the middle of the first's attempt
						second.Close()
						met <- got
						switch how {
						case "killed":
							s.Kill()
							f.list.Set(s.ID, s.Address, "Gone")
						case "silent":
							s.SetSilent(true)
							f.list.Set(s.ID, s.Address, "Gone")
						case "draining":
							s.SetRejecting(true)
							f.list.Set(s.ID, s.Address, "Terminating")
						}
					})
				}
			}
			c, _ = f.comeAgain(a, "first", text, ",pos="+scan[1])
			if got := <-met; !strings.HasPrefix(got, "BUSY ") {
				t.Errorf("at a second relay in mid-resume: %q", got)
			}
			if next := c.until(t, "SCAN"); next[1] != plus(scan[1], 1) {
				t.Errorf("after scan %s comes %s", scan[1], next[1])
			}
			f.sound()
		})
	}
}

// Without -resume the fields are a client's own, as ever: they go on to the server, and nothing is added.
func TestResumeIsOff(t *testing.T) {
	d, s := stage(t, "s1")
	_, address, _ := start(t, configure(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", d.Address
	}))
	f := &fleet{t: t}
	f.wait("listed", func() bool {
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
func TestBadResumeFile(t *testing.T) {
	f := newFleet(t, 0, "")
	good, _ := os.ReadFile(f.file)
	config := configure(t, func(c map[string]any) { c["listen"] = "127.0.0.1:0" })
	for name, k := range map[string]struct{ text, want string }{
		"unknown key": {"colour = 1\n" + string(good), "colour: unknown key"},
		"no service":  {strings.Replace(string(good), f.zk.Address, "nowhere", 1), "servers: address nowhere"},
		"session":     {strings.Replace(string(good), "4000", "300", 1), "session_ms: "},
		"path":        {strings.Replace(string(good), "/a/streams", "a", 1), "path: "},
		"renew":       {strings.Replace(string(good), "renew_ms = 500", "renew_ms = 5", 1), "renew_ms: "},
		"keys":        {strings.Replace(string(good), f.keys, f.keys+"x", 1), "keys: "},
		"not TOML":    {"=", "toml: line 1"},
	} {
		os.WriteFile(f.file, []byte(k.text), 0o600)
		cmd := program(t, config)
		cmd.Args = append(cmd.Args, "-resume", f.file)
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.HasPrefix(string(out), "capersail: "+f.file+": "+k.want) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: %v, %q", name, err, out)
		}
	}
}
