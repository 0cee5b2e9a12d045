package splice

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// newPair returns the two ends of one TCP connection over loopback.
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

// awaitUnread waits until data or the end of the stream has been received, as loopback delivers with a delay.
func awaitUnread(t *testing.T, e *Conn) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !e.HasUnread(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no data received within 10 s")
		}
	}
}

// HasUnread reports received data and the end of the stream, and PeerClosed reports the end, also behind data
// that has not been read. Neither blocks, whatever the read deadline is, or consumes anything.
func TestUnreadIsSeenAndNotConsumed(t *testing.T) {
	for name, c := range map[string]struct {
		does  func(peer *net.TCPConn)
		ended bool
	}{
		"bytes":             {func(p *net.TCPConn) { p.Write([]byte("x")) }, false},
		"a close":           {func(p *net.TCPConn) { p.Close() }, true},
		"a half-close":      {func(p *net.TCPConn) { p.CloseWrite() }, true},
		"a reset":           {func(p *net.TCPConn) { p.SetLinger(0); p.Close() }, true},
		"bytes, then close": {func(p *net.TCPConn) { p.Write([]byte("x")); p.Close() }, true},
		"bytes, then reset": {func(p *net.TCPConn) { p.Write([]byte("x")); p.SetLinger(0); p.Close() }, true},
	} {
		e, peer := newPair(t)
		if e.HasUnread() || e.PeerClosed() {
			t.Errorf("%s: HasUnread or PeerClosed is true before the peer's action, want both false", name)
		}
		c.does(peer)
		e.Wake()
		awaitUnread(t, e)
		for until := time.Now().Add(10 * time.Second); c.ended && !e.PeerClosed(); time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				break // the close may arrive after the bytes, but not as late
			}
		}
		if !e.HasUnread() || e.PeerClosed() != c.ended {
			t.Errorf("%s: HasUnread %v, want true; PeerClosed %v, want true only for the end of the stream",
				name, e.HasUnread(), e.PeerClosed())
		}
	}
}

// A peer is gone leaveGrace after it has closed its connection, whatever it sent before. What it sent was
// forwarded for as long as it lay unread; what it sent just before must still be.
func TestPeerIsGoneBehindUnreadData(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(peer *net.TCPConn)
		want  error
	}{
		"a close":      {func(p *net.TCPConn) { p.Close() }, io.EOF},
		"a half-close": {func(p *net.TCPConn) { p.CloseWrite() }, io.EOF},
		"a reset":      {func(p *net.TCPConn) { p.SetLinger(0); p.Close() }, syscall.ECONNRESET},
	} {
		e, peer := newPair(t)
		peer.Write([]byte("unread"))
		awaitUnread(t, e)
		if err := e.PeerGone(); err != nil {
			t.Errorf("before %s: got %v, want nil", name, err)
		}
		c.leave(peer)
		left := e.Clock.Now()
		e.Pause(10 * time.Second) // ends once the peer is gone
		if after := e.Clock.Now() - left; after < leaveGrace-2*PeerCheckInterval {
			t.Errorf("%s: the peer is gone after %v, want %v or little less", name, after, leaveGrace)
		}
		if err := e.PeerGone(); !errors.Is(err, c.want) {
			t.Errorf("after %s behind unread data: got %v, want %v", name, err, c.want)
		}
	}
}

// ReadPending returns data that was received before the read deadline passed. An ordinary read after the
// deadline returns no data, so that the last line of a client would be lost.
func TestReadPendingAfterTheDeadline(t *testing.T) {
	e, peer := newPair(t)
	peer.Write([]byte("line\r\n"))
	awaitUnread(t, e)
	e.SetReadDeadline(e.Clock.Now() - time.Millisecond)
	if n, err := e.NetConn.Read(make([]byte, 9)); n != 0 || !TimedOut(err) {
		t.Fatalf("read after the deadline: %d bytes and error %v, want 0 bytes and a time-out", n, err)
	}
	if got := string(e.ReadPending()); got != "line\r\n" {
		t.Errorf("ReadPending returned %q, want the line sent", got)
	}
	if got := e.ReadPending(); len(got) != 0 {
		t.Errorf("second ReadPending returned %q, want nothing", got)
	}
}

// CloseNow ends the wait of CloseAndDiscard for a peer that keeps sending, and the last line written still
// arrives. The clock is set back by a minute once the wait has begun, so that the wait would last a minute
// without CloseNow.
func TestCloseNowEndsALinger(t *testing.T) {
	e, peer := newPair(t)
	e.Clock = relay.NewManualClock()
	e.Forward([]byte("BUSY\r\n"))
	done := make(chan struct{})
	go func() { defer close(done); e.CloseAndDiscard() }()
	// Returns at the half-close; CloseAndDiscard then waits for the peer to close.
	if got, err := io.ReadAll(peer); err != nil || string(got) != "BUSY\r\n" {
		t.Errorf("peer read %q with error %v, want BUSY and EOF", got, err)
	}
	e.Clock.Set(e.Clock.Now() - time.Minute)
	peer.Write(make([]byte, lingerBytes))
	for e.HasUnread() { // until CloseAndDiscard has read lingerBytes, after which it only waits
		time.Sleep(time.Millisecond)
	}
	e.CloseNow()
	e.CloseNow()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("CloseAndDiscard did not return within 10 s of CloseNow")
	}
}

// A dial that fails for lack of resources on this machine, or of a route, is not attributed to the server.
// Otherwise such a failure would eject all servers at once.
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
			t.Errorf("DialStatus(%v) is %v, want %v", err, got, want)
		}
	}
}

// A write that timed out may have sent a part of a message. If anything followed it, the peer would read the
// two as one message; and a graceful close would tell the peer that it had received everything.
func TestNothingFollowsAFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, peer := net.Pipe()
		c := &Conn{NetConn: own, Clock: relay.NewClock()}
		received := make(chan string)
		go func() {
			part := make([]byte, 4)
			io.ReadFull(peer, part)
			<-time.After(WriteTimeout + time.Millisecond) // the peer does not read meanwhile
			rest, _ := io.ReadAll(peer)
			received <- string(part) + string(rest)
		}()
		if err := c.Forward([]byte("first message\n")); !TimedOut(err) {
			t.Errorf("write to a peer that stopped reading: got error %v, want a time-out", err)
		}
		<-time.After(time.Second)
		if err := c.Forward([]byte("second message\n")); !TimedOut(err) {
			t.Errorf("write after one that timed out: got error %v, want the same", err)
		}
		c.Close(relay.GracefulClose)
		if got := <-received; got != "firs" {
			t.Errorf("peer received %q, want only the part of the first message", got)
		}
	})
}

// After a failed write, a graceful close must reset the connection.
func TestFailedWriteIsClosedByReset(t *testing.T) {
	c, peer := newPair(t)
	c.NetConn.(*net.TCPConn).SetWriteBuffer(4096)
	for c.Forward(make([]byte, 1<<20)) == nil {
	}
	c.Close(relay.GracefulClose)
	peer.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, peer); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after the close that follows a failed write: got error %v, want ECONNRESET", err)
	}
}
