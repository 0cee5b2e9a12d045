package platform

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/splice"
)

// awaitUnread waits until bytes or the close of the peer have arrived, which on loopback takes some time.
func awaitUnread(t *testing.T, e *splice.Conn) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !e.HasUnread(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("got neither bytes nor a close from the peer within 10 s")
		}
	}
}

// A request that has been received but not yet read when the relay ends its connection must be served. The
// test forces this order: it ends the connection first and reads it afterwards. A connection whose first line
// is incomplete at that point must be closed cleanly, not reset.
func TestRequestAtTheEndOfItsConnection(t *testing.T) {
	for name, end := range map[string]func(*connlimit.Permit){
		"request deadline passed": func(p *connlimit.Permit) { p.RequestDeadline = time.Millisecond },
		"connection evicted":      func(p *connlimit.Permit) { p.Conn.CloseNow() },
		"relay shutting down":     func(p *connlimit.Permit) { p.Conn.Wake() },
	} {
		for line, want := range map[string]string{
			openingLine + "\r\n": "UP a1",
			"PING\r\n":           "PONG",
			openingLine:          "end",
			"":                   "end",
		} {
			_, requests, _ := startRelay(t, "UP")
			f := &Frontend{
				Requests:   requests,
				Deployment: newDeployment(decide.ClassInfo{}),
				Limiter:    connlimit.New(requests.Clock, 24, zerolog.Nop()),
			}
			l := listen(t)
			go f.Limiter.Serve(l, func(p *connlimit.Permit) {
				if line != "" {
					awaitUnread(t, p.Conn)
				}
				end(p)
				f.serveClient(p)
			})
			c := connect(t, l.Addr().String())
			fmt.Fprint(c, line)
			if got := c.next(); got != want {
				t.Errorf("%s, client sent %q: got answer %q, want %q", name, line, got, want)
			}
		}
	}
}

// A request must not be forwarded once its client has closed, even if the client side has not read the close
// yet. In this test nothing reads the client's connection.
func TestNothingIsForwardedForAClosedClient(t *testing.T) {
	for name, closeClient := range map[string]func(c *net.TCPConn){
		"a close":      func(c *net.TCPConn) { c.Close() },
		"a half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"a reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"more lines":   func(c *net.TCPConn) { fmt.Fprint(c, "M 1\r\n"); c.Close() },
	} {
		_, requests, servers := startRelay(t, "UP")
		l := listen(t)
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { accepted.Close() })
		e := &splice.Conn{NetConn: accepted, Clock: requests.Clock}
		closeClient(client.(*net.TCPConn))
		awaitUnread(t, e)
		o, err := parseOpening([]byte(openingLine))
		if err != nil {
			t.Fatal(err)
		}
		opening := relay.RequestParams{Name: "a1", Timeout: 500 * time.Millisecond, Payload: o}
		request := requests.Open(opening, e)
		<-request.EstablishedOrEnded()
		if n := len(servers[0].FirstLines); n > 0 {
			t.Errorf("client ended by %s: got %d first lines at the server, want none", name, n)
		}
	}
}
