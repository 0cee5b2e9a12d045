package splice

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// newPair returns the two ends of one TCP connection.
func newPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	own, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close(); own.Close() })
	return &Conn{NetConn: own, Clock: relay.NewClock()}, peer.(*net.TCPConn)
}

// awaitUnread waits until something has come, which loopback brings in its own time.
func awaitUnread(t *testing.T, e *Conn) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !e.HasUnread(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("nothing comes")
		}
	}
}

// What has come and nobody has read is seen without a wait, whatever the read deadline, and is not consumed
// by a look.
func TestUnreadIsSeenAndNotConsumed(t *testing.T) {
	for name, c := range map[string]struct {
		does  func(peer *net.TCPConn)
		ended bool
	}{
		"bytes":             {func(p *net.TCPConn) { p.Write([]byte("x")) }, false},
		"an end":            {func(p *net.TCPConn) { p.Close() }, true},
		"a half-close":      {func(p *net.TCPConn) { p.CloseWrite() }, true},
		"a reset":           {func(p *net.TCPConn) { p.SetLinger(0); p.Close() }, true},
		"bytes, then a end": {func(p *net.TCPConn) { p.Write([]byte("x")); p.Close() }, false},
	} {
		e, peer := newPair(t)
		if e.HasUnread() || e.PeerClosed() {
			t.Errorf("%s: before it", name)
		}
		c.does(peer)
		e.Wake()
		awaitUnread(t, e)
		if !e.HasUnread() || e.PeerClosed() != c.ended {
			t.Errorf("%s: pending %v, ended %v", name, e.HasUnread(), e.PeerClosed())
		}
	}
}

// A read whose deadline has passed does not look, so what came before it would be lost: ReadPending returns
// it.
func TestReadPendingAfterTheDeadline(t *testing.T) {
	e, peer := newPair(t)
	peer.Write([]byte("line\r\n"))
	awaitUnread(t, e)
	e.SetReadDeadline(e.Clock.Now() - time.Millisecond)
	if n, err := e.NetConn.Read(make([]byte, 9)); n != 0 || !TimedOut(err) {
		t.Fatalf("the premise: %d, %v", n, err)
	}
	if got := string(e.ReadPending()); got != "line\r\n" {
		t.Errorf("%q", got)
	}
	if got := e.ReadPending(); len(got) != 0 {
		t.Errorf("%q, with nothing there", got)
	}
}

// CloseNow ends a linger behind a peer that sends without end, and the last line written arrives. The clock
// goes back by a minute once the linger has begun, so without CloseNow it would last as long.
func TestCloseNowEndsALinger(t *testing.T) {
	e, peer := newPair(t)
	e.Clock = relay.NewManualClock()
	e.Forward([]byte("BUSY\r\n"))
	done := make(chan struct{})
	go func() { defer close(done); e.CloseAndDiscard() }()
	// Up to the half-close, after which it lingers.
	if got, err := io.ReadAll(peer); err != nil || string(got) != "BUSY\r\n" {
		t.Errorf("%q, %v", got, err)
	}
	e.Clock.Set(e.Clock.Now() - time.Minute)
	peer.Write(make([]byte, lingerBytes))
	for e.HasUnread() { // until all that it reads of a flood has been read
		time.Sleep(time.Millisecond)
	}
	e.CloseNow()
	e.CloseNow()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("it lingers on")
	}
}

// What this machine is short of for a moment, or its own missing route, says nothing of the server: taken for
// its failure it would eject all servers at once.
func TestDialStatusSparesTheServerForLocalErrors(t *testing.T) {
	for err, want := range map[error]decide.Status{
		syscall.EMFILE: decide.Superseded, syscall.ENFILE: decide.Superseded,
		syscall.ENOBUFS: decide.Superseded, syscall.ENOMEM: decide.Superseded,
		syscall.EADDRNOTAVAIL: decide.Superseded, syscall.EAGAIN: decide.Superseded,
		syscall.EPERM:       decide.Superseded,
		syscall.ENETUNREACH: decide.Superseded, syscall.ENETDOWN: decide.Superseded,

		syscall.ECONNREFUSED: decide.ConnectFailed, syscall.EHOSTUNREACH: decide.ConnectFailed,
		syscall.ECONNRESET: decide.ConnectFailed, syscall.ETIMEDOUT: decide.ConnectFailed,
	} {
		dial := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
		if got := DialStatus(dial); got != want {
			t.Errorf("%v: %v, want %v", err, got, want)
		}
	}
}
