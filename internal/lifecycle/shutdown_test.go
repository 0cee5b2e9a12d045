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

// starvedListener hands out connections that nobody reads before they are let go, as on a relay with no
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

// A shutdown ends when every connection has been closed from this side, in order. Requests that have come and
// that nobody has read when it has nothing else to do are answered, and who rests gets a clean end: the
// process would go over unread bytes, and reset them.
func TestShutdownAnswersWhatHasCome(t *testing.T) {
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
	for { // until it has nothing to do but wait for these
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			break
		}
		c.Close()
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case <-shutdownDone:
		t.Fatal("it is over, and four connections are open")
	default:
	}
	close(l.release)
	for i, c := range clients {
		got, err := io.ReadAll(bufio.NewReader(c))
		want := i < 2
		if err != nil || strings.HasPrefix(string(got), "BUSY") != want || !want && len(got) > 0 {
			t.Errorf("%q was answered %q, %v", sent[i], got, err)
		}
		c.Close()
	}
	<-shutdownDone
	if limiter.DescriptorsHeld() != 0 {
		t.Errorf("%d descriptors are held after it", limiter.DescriptorsHeld())
	}
}
