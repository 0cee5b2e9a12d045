package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/platform"
)

// starvedListener accepts connections whose reads block until release is closed, as on a relay that gets no
// processor time.
type starvedListener struct {
	net.Listener
	release chan struct{}
}

type starvedConn struct {
	*net.TCPConn
	release chan struct{}
}

func (l *starvedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &starvedConn{conn.(*net.TCPConn), l.release}, nil
}

func (c *starvedConn) Read(p []byte) (int, error) {
	<-c.release
	return c.TCPConn.Read(p)
}

// A shutdown must not return before this side has closed every connection in order: a process that exits
// with unread input resets the connection, and the client gets no answer. Requests that have arrived but
// have not been read are answered, and idle connections are closed cleanly.
func TestShutdownAnswersReceivedRequests(t *testing.T) {
	clock := relay.NewClock()
	deployment := &relay.Deployment{Classes: map[string]decide.Class{"m": 0}, Settings: decide.Settings{
		Classes: []decide.ClassInfo{
			{LatencyObjective: relay.DurationFromMillis(300), Deadline: relay.DurationFromMillis(10_000)},
		}}}
	requests := relay.NewRequestTable(deployment, clock, &platform.ServerDialer{Clock: clock})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &starvedListener{inner, make(chan struct{})}
	limiter := connlimit.New(clock, 24, zerolog.Nop())
	go (&platform.Frontend{Requests: requests, Deployment: deployment, Limiter: limiter}).Serve(l)
	var clients []net.Conn
	sent := []string{"OPEN a0 0f c=m,d=500\r\n", "OPEN a1 0f c=m,d=500\r\n", "OPEN a2 0f c=m,d=5", ""}
	for _, text := range sent {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second))
		fmt.Fprint(c, text)
		clients = append(clients, c)
	}
	for limiter.DescriptorsHeld() < len(sent) {
		time.Sleep(time.Millisecond)
	}
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		shutDownFront(&runningFront{
			requests:        requests,
			listener:        l,
			limiter:         limiter,
			longestDeadline: 10 * time.Second,
		})
	}()
	for { // until the shutdown has closed its listener and waits only for these clients
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			break
		}
		c.Close()
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case <-shutdownDone:
		t.Fatal("shutdown returned while four connections were open, want it to wait for them")
	default:
	}
	close(l.release)
	for i, c := range clients {
		got, err := io.ReadAll(bufio.NewReader(c))
		want := i < 2
		if err != nil || strings.HasPrefix(string(got), "BUSY") != want || !want && len(got) > 0 {
			t.Errorf("answer to %q: got %q, error %v; want BUSY for a complete line, else nothing",
				sent[i], got, err)
		}
		c.Close()
	}
	<-shutdownDone
	if limiter.DescriptorsHeld() != 0 {
		t.Errorf("%d descriptors held after the shutdown, want 0", limiter.DescriptorsHeld())
	}
}
