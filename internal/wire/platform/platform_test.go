package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/testing/fake"
	"capersail/internal/wire/connlimit"
)

func TestOpeningIsForwardedUnchangedButForItsWait(t *testing.T) {
	cases := []struct {
		name, in, out string // what is forwarded with 70 ms left; "" if nothing may be
	}{
		{"as clients send it", "OPEN a1 0f c=m,t=x,d=2000,g=5c", "OPEN a1 0f c=m,t=x,d=70,g=5c\r\n"},
		{"d at the end", "OPEN a1 0f c=m,d=2000", "OPEN a1 0f c=m,d=70\r\n"},
		{"unknown fields stay", "OPEN a1 0f c=m,d=9,q=z,again=1,h=2.5",
			"OPEN a1 0f c=m,d=70,q=z,again=1,h=2.5\r\n"},
		{"from before the run", "OPEN a1 0f c=m,at=s-1", "OPEN a1 0f c=m,at=s-1\r\n"},
		{"no class", "OPEN a1 0f d=2000", ""},
		{"no wait", "OPEN a1 0f c=m", ""},
		{"a wait that is none", "OPEN a1 0f c=m,d=NaN", ""},
		{"a negative wait", "OPEN a1 0f c=m,d=-1", ""},
		{"a field without a value", "OPEN a1 0f c=m,d=7,x", ""},
		{"too few parts", "OPEN a1 c=m,d=7", ""},
		{"two blanks", "OPEN a1  0f c=m,d=7", ""},
		{"control character", "OPEN a1 0f c=m,d=7,x=\x01", ""},
		{"another word", "SHUT a1 0f c=m,d=7", ""},
	}
	for _, c := range cases {
		o, err := parseOpening([]byte(c.in + "\r\n"))
		got := ""
		if err == nil {
			got = string(o.encode(70*time.Millisecond, ""))
		}
		if got != c.out {
			t.Errorf("%s: %q, %v", c.name, got, err)
		}
	}
}

// Whatever a client sends, what is forwarded is its own line but for d.
func FuzzOpeningIsForwardedUnchangedButForItsWait(f *testing.F) {
	f.Add("OPEN a1 0f c=m,t=x,d=2000,g=5c")
	f.Add("OPEN a1 0f c=m,d=1,d=2")
	f.Fuzz(func(t *testing.T, line string) {
		o, err := parseOpening([]byte(line))
		if err != nil {
			return
		}
		again, err := parseOpening(o.encode(70*time.Millisecond, ""))
		differs := err != nil || again.class != o.class || again.previousServer != o.previousServer
		if differs || o.previousServer == "" && again.clientWait != 70*time.Millisecond {
			t.Errorf("%q is forwarded as %q: %v", line, o.encode(70*time.Millisecond, ""), err)
		}
	})
}

// A read that a deadline cuts short loses nothing, and a line over 4 KiB comes in parts.
func TestCutReadsLoseNothing(t *testing.T) {
	a, b := net.Pipe()
	in := newLineReader(a)
	long := strings.Repeat("x", 5000)
	step := make(chan bool)
	go func() {
		io.WriteString(b, "half")
		<-step
		io.WriteString(b, " a line\r\n"+long+"\n")
		b.Close()
	}()
	a.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if line, err := in.readLine(); err == nil || len(line) != 0 {
		t.Fatalf("%q, %v", line, err)
	}
	a.SetReadDeadline(time.Time{})
	close(step)
	if line, err := in.readLine(); string(line) != "half a line\r\n" || err != nil {
		t.Fatalf("%q, %v", line, err)
	}
	got := ""
	for {
		line, err := in.readLine()
		got += string(line)
		if err != nil && !errors.Is(err, errLineTooLong) {
			break
		}
	}
	if got != long+"\n" {
		t.Errorf("%d bytes of a long line", len(got))
	}
}

type noDiscovery struct{}

func (noDiscovery) Watch() {}
func (noDiscovery) Fetch() {}

// newDeployment is one of a single relay and the one class m.
func newDeployment(class decide.ClassInfo) *relay.Deployment {
	return &relay.Deployment{
		Classes: map[string]decide.Class{"m": 0},
		Settings: decide.Settings{
			Relays:      1,
			Zones:       1,
			MaxAttempts: 2,
			Tick:        5 * time.Millisecond,
			Classes:     []decide.ClassInfo{class},
		},
	}
}

// listen listens on a port of this machine until the test ends.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// startRelay starts both sides with servers that answer as given, by the id of each.
func startRelay(
	t *testing.T, answers ...string,
) (address string, requests *relay.RequestTable, servers []*fake.EchoServer) {
	t.Helper()
	clock := relay.NewClock()
	deployment := newDeployment(decide.ClassInfo{
		LatencyObjective: 300 * time.Millisecond,
		Deadline:         600 * time.Millisecond,
	})
	deployment.LoadField = "x0"
	deployment.Settings.Probes = true
	deployment.Settings.RetryAfter = true
	deployment.Settings.MaxRetryAfter = 900 * time.Millisecond
	deployment.Settings.ConnectTimeout = time.Second
	requests = relay.NewRequestTable(deployment, clock, &ServerDialer{
		Clock:             clock,
		ConnectTimeout:    time.Second,
		LoadField:         "x0",
		MaxIdleProbeConns: 4,
	})
	var list []relay.Endpoint
	for i, answer := range answers {
		s, err := fake.NewEchoServer("127.0.0.1:0", answer)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		servers = append(servers, s)
		list = append(list, relay.Endpoint{ID: fmt.Sprint("s", i), Address: s.Address, State: decide.Ready})
	}
	requests.UpdateEndpoints(decide.Snapshot, list)
	l := listen(t)
	limiter := connlimit.New(clock, 24, zerolog.Nop())
	go (&Frontend{Requests: requests, Deployment: deployment, Limiter: limiter}).Serve(l)
	go relay.NewEventLoop(requests, 7, noDiscovery{}, zerolog.Nop()).Run(t.Context())
	return l.Addr().String(), requests, servers
}

type client struct {
	net.Conn
	in *bufio.Reader
}

func openConnection(t *testing.T, address, line string) *client {
	t.Helper()
	c := connect(t, address)
	fmt.Fprint(c, line+"\r\n")
	return c
}

func connect(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

// next returns the next line, "end" after a clean end, or "broken".
func (c *client) next() string {
	line, err := c.in.ReadString('\n')
	switch {
	case err == nil:
		return strings.TrimRight(line, "\r\n")
	case errors.Is(err, io.EOF):
		return "end"
	}
	return "broken"
}

const openingLine = "OPEN a1 0f c=m,d=500"

// PROTOCOL's table: what a server does, and what the client gets.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct{ name, answer, line, want string }{
		{"up", "UP", openingLine, "UP a1"},
		{"rejected", "BUSY", openingLine, "BUSY"},
		{"error", "ERR", openingLine, "BUSY"},
		{"ended without an answer", "-", openingLine, "BUSY"},
		{"silent", "", openingLine, "BUSY"},
		{"ping", "UP", "PING", "PONG"},
		{"unknown class", "UP", "OPEN a1 0f c=z,d=500", "ERR bad request"},
		{"bad first line", "UP", "GET / HTTP/1.1", "ERR bad request"},
		{"a first line over 4 KiB", "UP", openingLine + ",x=" + strings.Repeat("x", 5000), "ERR bad request"},
		{"a connection from before the run", "UP", "OPEN a1 0f c=m,at=s0", "UP a1"},
		{"one whose server is unknown", "UP", "OPEN a1 0f c=m,at=s9", "ERR"},
	} {
		address, _, servers := startRelay(t, c.answer)
		got, _, _ := strings.Cut(openConnection(t, address, c.line).next(), " ")
		want, _, _ := strings.Cut(c.want, " ")
		if got != want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		if len(servers[0].FirstLines) > 2 || want == "ERR" && len(servers[0].FirstLines) > 0 {
			t.Errorf("%s: the server was sent %d first lines", c.name, len(servers[0].FirstLines))
		}
	}
}

// Once up, lines pass both ways unchanged; MOVE stands between two of them, and both sides are closed.
func TestMigrationFallsBetweenLines(t *testing.T) {
	address, requests, servers := startRelay(t, "UP")
	c := openConnection(t, address, openingLine)
	if got := c.next(); got != "UP a1" {
		t.Fatal(got)
	}
	fmt.Fprint(c, "M 1 first\r\n")
	if got := c.next(); got != "M 1 first" {
		t.Fatal(got)
	}
	servers[0].Broadcast("LOAD 12.5", false)
	if got := c.next(); got != "LOAD 12.5" {
		t.Fatal(got)
	}
	fmt.Fprint(c, "M 2 unread when the move comes\r\n")
	requests.MigrateClients(1)
	got := c.next()
	for strings.HasPrefix(got, "M ") {
		got = c.next()
	}
	if got != "MOVE" || c.next() != "end" {
		t.Errorf("after the move: %q", got)
	}
}

// A server's end reaches the client in the same way: after its last line, or as a break.
func TestServerCloseReachesTheClient(t *testing.T) {
	address, _, servers := startRelay(t, "UP")
	c := openConnection(t, address, openingLine)
	c.next()
	servers[0].Broadcast("BYE x0=0.5", true)
	if a, b := c.next(), c.next(); a != "BYE x0=0.5" || b != "end" {
		t.Errorf("%q, %q", a, b)
	}
	c = openConnection(t, address, openingWithID("a2")) // the first may still hold its name
	if got := c.next(); got != "UP a2" {
		t.Fatal(got)
	}
	servers[0].Close()
	if got := c.next(); got != "broken" {
		t.Errorf("a reset came as %q", got)
	}
}

// A client that leaves in the middle of its set-up takes its attempt along.
func TestClientCloseEndsItsAttempt(t *testing.T) {
	address, requests, servers := startRelay(t, "")
	c := openConnection(t, address, openingLine)
	<-servers[0].FirstLines
	c.Close()
	for i := 0; requests.MigrateClients(0) > 0; i++ {
		if i > 1000 {
			t.Fatal("the call is kept")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// openingWithID is a first line with an id of its own.
func openingWithID(id string) string { return strings.Replace(openingLine, "a1", id, 1) }

// Beyond the bound on descriptors a client is rejected at once. Those that say nothing take no part of it:
// they are evicted for whoever comes, and the connections that have asked stay.
func TestRequestsBeyondTheDescriptorLimitAreRejected(t *testing.T) {
	address, _, _ := startRelay(t, "UP")
	var kept []*client
	for i := range 9 {
		for range 30 {
			connect(t, address)
		}
		want := "UP"
		if i == 8 {
			want = "BUSY"
		}
		c := openConnection(t, address, openingWithID(fmt.Sprint("c", i)))
		if got, _, _ := strings.Cut(c.next(), " "); got != want {
			t.Errorf("client %d: %q", i, got)
		}
		kept = append(kept, c)
	}
	for i, c := range kept[:8] {
		fmt.Fprint(c, "M\r\n")
		if got := c.next(); got != "M" {
			t.Errorf("client %d was pushed out: %q", i, got)
		}
	}
}

// A connection that brings no request is closed well within the 3 s it is owed that; pings do not renew it.
func TestConnectionsWithoutARequestAreClosed(t *testing.T) {
	address, _, _ := startRelay(t, "UP")
	var all []*client
	for _, say := range []string{"", "PING\r\n", "half a li"} {
		c := connect(t, address)
		c.SetDeadline(time.Now().Add(4 * connlimit.RequestTimeout))
		fmt.Fprint(c, say)
		all = append(all, c)
	}
	for _, c := range all {
		got := c.next()
		for got == "PONG" {
			got = c.next()
		}
		if got != "end" {
			t.Errorf("%q", got)
		}
	}
}

// What a client may not do is answered ERR, whatever else waits on the connection, and never reaches a
// server.
func TestMalformedLinesAreNeverForwarded(t *testing.T) {
	for name, lines := range map[string]string{
		"a good line behind what cannot be read": "frob\r\n" + openingLine,
		"hundreds at once":                       strings.Repeat(openingLine+"\r\n", 300),
		"a line before the answer":               openingLine + "\r\nM 1",
		"a line without end":                     strings.Repeat("k", 8<<20),
		"a wait that is no number":               "OPEN a1 0f c=m,d=0x10",
		"pings, then garbage":                    "PING\r\nfrob",
	} {
		address, _, servers := startRelay(t, "UP")
		c := openConnection(t, address, "PING")
		c.next()
		go fmt.Fprint(c, lines+"\r\n")
		got := c.next()
		for got == "PONG" {
			got = c.next()
		}
		if got != "ERR bad request" || len(servers[0].FirstLines) > 0 {
			t.Errorf("%s: %.40q, %d first lines forwarded", name, got, len(servers[0].FirstLines))
		}
	}
	address, _, servers := startRelay(t, "")
	c := openConnection(t, address, openingLine)
	<-servers[0].FirstLines
	fmt.Fprint(c, "M 1 while its attempt is out\r\n")
	if got := c.next(); got != "ERR bad request" {
		t.Errorf("a line while the attempt is out: %q", got)
	}
}

// An id is one client's while its request stands: to the server another would be a second attempt at it.
func TestOneRequestPerID(t *testing.T) {
	address, requests, servers := startRelay(t, "UP")
	c := openConnection(t, address, openingLine)
	if got := c.next(); got != "UP a1" {
		t.Fatal(got)
	}
	for _, line := range []string{openingLine, "OPEN a1 0f c=m,at=s0"} {
		if got := openConnection(t, address, line).next(); got != "ERR" {
			t.Errorf("%s: %q", line, got)
		}
	}
	fmt.Fprint(c, "M 1\r\n")
	if got := c.next(); got != "M 1" || len(servers[0].FirstLines) != 1 {
		t.Errorf("the first client got %q; %d first lines", got, len(servers[0].FirstLines))
	}
	c.Close()
	for requests.MigrateClients(0) > 0 {
		time.Sleep(time.Millisecond)
	}
	if got := openConnection(t, address, openingLine).next(); got != "UP a1" {
		t.Errorf("once it is free: %q", got)
	}
}

// No part of an overlong line goes on to the server of a connection that is up; its client is migrated.
func TestOverlongLineMigratesAnEstablishedClient(t *testing.T) {
	address, _, _ := startRelay(t, "UP")
	c := openConnection(t, address, openingLine)
	c.next()
	go fmt.Fprint(c, strings.Repeat("k", 4<<20))
	if got := c.next(); got != "MOVE" {
		t.Errorf("%.40q", got)
	}
}
