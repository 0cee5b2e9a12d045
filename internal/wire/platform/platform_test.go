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
		name, in, out string // out is the line forwarded with 70 ms left; "" if the line must be rejected
	}{
		{"common fields", "OPEN a1 0f c=m,t=x,d=2000,g=5c", "OPEN a1 0f c=m,t=x,d=70,g=5c\r\n"},
		{"d at the end", "OPEN a1 0f c=m,d=2000", "OPEN a1 0f c=m,d=70\r\n"},
		{"unknown fields stay", "OPEN a1 0f c=m,d=9,q=z,again=1,h=2.5",
			"OPEN a1 0f c=m,d=70,q=z,again=1,h=2.5\r\n"},
		{"previous server", "OPEN a1 0f c=m,at=s-1", "OPEN a1 0f c=m,at=s-1\r\n"},
		{"no class", "OPEN a1 0f d=2000", ""},
		{"wait missing", "OPEN a1 0f c=m", ""},
		{"wait not a number", "OPEN a1 0f c=m,d=NaN", ""},
		{"negative wait", "OPEN a1 0f c=m,d=-1", ""},
		{"a field without a value", "OPEN a1 0f c=m,d=7,x", ""},
		{"key missing", "OPEN a1 c=m,d=7", ""},
		{"two spaces", "OPEN a1  0f c=m,d=7", ""},
		{"control character", "OPEN a1 0f c=m,d=7,x=\x01", ""},
		{"other first word", "SHUT a1 0f c=m,d=7", ""},
	}
	for _, c := range cases {
		o, err := parseOpening([]byte(c.in + "\r\n"))
		got := ""
		if err == nil {
			got = string(o.encode(70*time.Millisecond, ""))
		}
		if got != c.out {
			t.Errorf("%s: got forwarded line %q, error %v", c.name, got, err)
		}
	}
}

// For any input, the forwarded line must equal the client's line except for field d.
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
			t.Errorf("line %q was changed beyond field d: forwarded as %q, parse error %v",
				line, o.encode(70*time.Millisecond, ""), err)
		}
	})
}

// A read that is interrupted by a deadline must lose no bytes, and a line over 4 KiB is returned in parts.
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
		t.Fatalf("half a line: got %q, error %v, want no line and a time-out", line, err)
	}
	a.SetReadDeadline(time.Time{})
	close(step)
	if line, err := in.readLine(); string(line) != "half a line\r\n" || err != nil {
		t.Fatalf("rest of the line: got %q, error %v, want the whole line", line, err)
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
		t.Errorf("got %d bytes of a line over 4 KiB, want all of it unchanged", len(got))
	}
}

type noDiscovery struct{}

func (noDiscovery) Watch() {}
func (noDiscovery) Fetch() {}

// newDeployment returns a deployment with a single relay and the single class m.
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

// listen listens on a free loopback port until the test ends.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// testDeadline is the deadline of the class of startRelay's relay.
const testDeadline = 600 * time.Millisecond

// startRelay starts a relay with one server for each answer. Server i has the id "s<i>" and answers first
// lines with answers[i].
func startRelay(
	t *testing.T, answers ...string,
) (address string, requests *relay.RequestTable, servers []*fake.EchoServer) {
	t.Helper()
	clock := relay.NewClock()
	deployment := newDeployment(decide.ClassInfo{
		LatencyObjective: 300 * time.Millisecond,
		Deadline:         testDeadline,
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

// next returns the next line, "end" after a clean close, or "broken" after any other error.
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

// Checks the answer that a client gets for each answer of a server and each malformed first line, as the
// table in PROTOCOL defines them.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct{ name, answer, line, want string }{
		{"up", "UP", openingLine, "UP a1"},
		{"rejected", "BUSY", openingLine, "BUSY"},
		{"error", "ERR", openingLine, "BUSY"},
		{"closed without an answer", "-", openingLine, "BUSY"},
		{"silent", "", openingLine, "BUSY"},
		{"ping", "UP", "PING", "PONG"},
		{"unknown class", "UP", "OPEN a1 0f c=z,d=500", "ERR bad request"},
		{"bad first line", "UP", "GET / HTTP/1.1", "ERR bad request"},
		{"a first line over 4 KiB", "UP", openingLine + ",x=" + strings.Repeat("x", 5000), "ERR bad request"},
		{"previous server known", "UP", "OPEN a1 0f c=m,at=s0", "UP a1"},
		{"previous server unknown", "UP", "OPEN a1 0f c=m,at=s9", "ERR"},
	} {
		address, _, servers := startRelay(t, c.answer)
		got, _, _ := strings.Cut(openConnection(t, address, c.line).next(), " ")
		want, _, _ := strings.Cut(c.want, " ")
		if got != want {
			t.Errorf("%s: got answer %q, want %q", c.name, got, c.want)
		}
		if len(servers[0].FirstLines) > 2 || want == "ERR" && len(servers[0].FirstLines) > 0 {
			t.Errorf("%s: got %d first lines at the server, want at most 2, or none after ERR",
				c.name, len(servers[0].FirstLines))
		}
	}
}

// Once a request is established, lines are forwarded unchanged both ways. MOVE must be sent between two
// lines, and then both connections are closed.
func TestMigrationFallsBetweenLines(t *testing.T) {
	address, requests, servers := startRelay(t, "UP")
	c := openConnection(t, address, openingLine)
	if got := c.next(); got != "UP a1" {
		t.Fatalf("got answer %q, want UP a1", got)
	}
	fmt.Fprint(c, "M 1 first\r\n")
	if got := c.next(); got != "M 1 first" {
		t.Fatalf("got line %q, want the client's line back", got)
	}
	servers[0].Broadcast("LOAD 12.5", false)
	if got := c.next(); got != "LOAD 12.5" {
		t.Fatalf("got line %q, want LOAD 12.5", got)
	}
	fmt.Fprint(c, "M 2 unread when the move comes\r\n")
	requests.MigrateClients(1)
	got := c.next()
	for strings.HasPrefix(got, "M ") {
		got = c.next()
	}
	if got != "MOVE" || c.next() != "end" {
		t.Errorf("after the migration: got line %q, want MOVE and then a clean close", got)
	}
}

// A server's close must reach the client in the same form: a graceful close after the last line, a reset as a
// reset.
func TestServerCloseReachesTheClient(t *testing.T) {
	address, _, servers := startRelay(t, "UP")
	c := openConnection(t, address, openingLine)
	c.next()
	servers[0].Broadcast("BYE x0=0.5", true)
	if a, b := c.next(), c.next(); a != "BYE x0=0.5" || b != "end" {
		t.Errorf("after the server's graceful close: got lines %q, %q, want BYE x0=0.5 and a clean close",
			a, b)
	}
	c = openConnection(t, address, openingWithID("a2")) // a1 may still be in use by the first request
	if got := c.next(); got != "UP a2" {
		t.Fatalf("got answer %q, want UP a2", got)
	}
	servers[0].Close()
	if got := c.next(); got != "broken" {
		t.Errorf("after the server's reset: got %q, want broken", got)
	}
}

// A client that closes while its request has an open attempt must end that attempt.
func TestClientCloseEndsItsAttempt(t *testing.T) {
	address, requests, servers := startRelay(t, "")
	c := openConnection(t, address, openingLine)
	<-servers[0].FirstLines
	c.Close()
	for i := 0; requests.MigrateClients(0) > 0; i++ {
		if i > 1000 {
			t.Fatal("the request is still kept 5 s after its client closed")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// openingWithID returns openingLine with the given request id.
func openingWithID(id string) string { return strings.Replace(openingLine, "a1", id, 1) }

// Requests beyond the limit on descriptors must be rejected at once. Connections without a request do not
// count against the limit: they are evicted for new connections, and connections with a request are kept.
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
			t.Errorf("client %d: got answer %q, want UP for the first 8 and BUSY for the last", i, got)
		}
		kept = append(kept, c)
	}
	for i, c := range kept[:8] {
		fmt.Fprint(c, "M\r\n")
		if got := c.next(); got != "M" {
			t.Errorf("client %d with a request was evicted: got %q, want its line back", i, got)
		}
	}
}

// A connection without a request must be closed well within the 3 s that a client has for its request; pings
// must not extend that time.
func TestConnectionsWithoutARequestAreClosed(t *testing.T) {
	address, _, _ := startRelay(t, "UP")
	var all []*client
	for _, text := range []string{"", "PING\r\n", "half a li"} {
		c := connect(t, address)
		c.SetDeadline(time.Now().Add(4 * connlimit.RequestTimeout))
		fmt.Fprint(c, text)
		all = append(all, c)
	}
	for _, c := range all {
		got := c.next()
		for got == "PONG" {
			got = c.next()
		}
		if got != "end" {
			t.Errorf("connection without a request: got %q, want a clean close", got)
		}
	}
}

// Malformed or unexpected client lines must be answered with ERR, whatever else the connection holds, and
// must never reach a server.
func TestMalformedLinesAreNeverForwarded(t *testing.T) {
	for name, lines := range map[string]string{
		"malformed line before a valid one": "frob\r\n" + openingLine,
		"300 first lines at once":           strings.Repeat(openingLine+"\r\n", 300),
		"line before the answer":            openingLine + "\r\nM 1",
		"line without terminator":           strings.Repeat("k", 8<<20),
		"hexadecimal wait":                  "OPEN a1 0f c=m,d=0x10",
		"ping before a malformed line":      "PING\r\nfrob",
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
			t.Errorf("%s: got answer %.40q and %d first lines at the server, want ERR bad request and none",
				name, got, len(servers[0].FirstLines))
		}
	}
	address, _, servers := startRelay(t, "")
	c := openConnection(t, address, openingLine)
	<-servers[0].FirstLines
	fmt.Fprint(c, "M 1 during the attempt\r\n")
	if got := c.next(); got != "ERR bad request" {
		t.Errorf("line during the attempt: got answer %q, want ERR bad request", got)
	}
}

// While a request exists, and after it until servers have forgotten it, a second client must not open one
// with the same id: the server would take it as a second attempt of the first request, and run it twice.
func TestOneRequestPerID(t *testing.T) {
	address, requests, servers := startRelay(t, "UP")
	c := openConnection(t, address, openingLine)
	if got := c.next(); got != "UP a1" {
		t.Fatalf("got answer %q, want UP a1", got)
	}
	for _, line := range []string{openingLine, "OPEN a1 0f c=m,at=s0"} {
		if got := openConnection(t, address, line).next(); got != "ERR" {
			t.Errorf("second client with line %s: got answer %q, want ERR", line, got)
		}
	}
	fmt.Fprint(c, "M 1\r\n")
	if got := c.next(); got != "M 1" || len(servers[0].FirstLines) != 1 {
		t.Errorf("first client: got line %q and %d first lines at the server, want M 1 and 1",
			got, len(servers[0].FirstLines))
	}
	ended := time.Now() // at the earliest
	c.Close()
	for requests.MigrateClients(0) > 0 {
		time.Sleep(time.Millisecond)
	}
	if got := openConnection(t, address, openingLine).next(); got != "ERR" || len(servers[0].FirstLines) != 1 {
		t.Errorf("after the first request's client left: got answer %q and %d first lines at the server, "+
			"want ERR and 1", got, len(servers[0].FirstLines))
	}
	for openConnection(t, address, openingLine).next() != "UP a1" {
		if time.Since(ended) > 10*time.Second {
			t.Fatal("10 s after the first request ended its id is still taken, want it free")
		}
	}
	if free := time.Since(ended); free < testDeadline {
		t.Errorf("id free %v after the first request ended, want %v", free, testDeadline)
	}
}

// No part of an overlong line may be forwarded to the server of an established request; the client is
// migrated.
func TestOverlongLineMigratesAnEstablishedClient(t *testing.T) {
	address, _, _ := startRelay(t, "UP")
	c := openConnection(t, address, openingLine)
	c.next()
	go fmt.Fprint(c, strings.Repeat("k", 4<<20))
	if got := c.next(); got != "MOVE" {
		t.Errorf("after an overlong line: got %.40q, want MOVE", got)
	}
}
