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

// starved hands out connections that nobody reads before they are let go, as on a relay with no processor
// time.
type starved struct {
	net.Listener
	let chan struct{}
}

type starvedConn struct {
	*net.TCPConn
	let chan struct{}
}

func (l *starved) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &starvedConn{conn.(*net.TCPConn), l.let}, nil
}

func (c *starvedConn) Read(p []byte) (int, error) {
	<-c.let
	return c.TCPConn.Read(p)
}

// A shutdown ends when every connection has been closed from this side, in order. Requests that have come and
// that nobody has read when it has nothing else to do are answered, and who rests gets a clean end: the
// process would go over unread bytes, and reset them.
func TestShutdownAnswersWhatHasCome(t *testing.T) {
	clock := relay.NewClock()
	site := &relay.Deployment{Classes: map[string]decide.Class{"m": 0}, Settings: decide.Settings{
		Classes: []decide.ClassInfo{
			{LatencyObjective: relay.DurationFromMillis(300), Deadline: relay.DurationFromMillis(10_000)},
		}}}
	x := relay.NewRequestTable(site, clock, &platform.ServerDialer{Clock: clock})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &starved{inner, make(chan struct{})}
	door := connlimit.New(clock, 24, zerolog.Nop())
	go (&platform.Frontend{Requests: x, Deployment: site, Limiter: door}).Serve(l)
	var clients []net.Conn
	said := []string{"OPEN a0 0f c=m,d=500\r\n", "OPEN a1 0f c=m,d=500\r\n", "OPEN a2 0f c=m,d=5", ""}
	for _, text := range said {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second))
		fmt.Fprint(c, text)
		clients = append(clients, c)
	}
	for door.DescriptorsHeld() < len(said) {
		time.Sleep(time.Millisecond)
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		shutDownFront(&runningFront{
			requests:        x,
			listener:        l,
			limiter:         door,
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
	case <-left:
		t.Fatal("it is over, and four connections are open")
	default:
	}
	close(l.let)
	for i, c := range clients {
		got, err := io.ReadAll(bufio.NewReader(c))
		want := i < 2
		if err != nil || strings.HasPrefix(string(got), "BUSY") != want || !want && len(got) > 0 {
			t.Errorf("%q was answered %q, %v", said[i], got, err)
		}
		c.Close()
	}
	<-left
	if door.DescriptorsHeld() != 0 {
		t.Errorf("%d descriptors are held after it", door.DescriptorsHeld())
	}
}
