package lifecycle

import (
	"context"
	"errors"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/control"
)

// gatePart is a part whose start fails after it has called onStart.
type gatePart struct {
	partDefaults
	onStart func()
}

var errGateClosed = errors.New("the gate is closed")

func (gatePart) name() string     { return "gate" }
func (gatePart) join(*frontHooks) {}
func (g gatePart) start(context.Context) error {
	g.onStart()
	return errGateClosed
}

// A process that cannot start has accepted no connection. It served before its parts had started, and what it
// had accepted by then was reset when a part failed.
func TestProcessThatCannotStartAcceptsNothing(t *testing.T) {
	f := newXMPPFixture(t, "plaintext = true")
	config, err := ReadXMPPConfig(f.configPath)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		sources:  Sources{XMPP: f.configPath},
		log:      zerolog.Nop(),
		xmpp:     config,
		serveErr: make(chan error, 1),
	}
	const answerWithin = time.Second
	p.parts = partList{gatePart{onStart: func() {
		conn, err := net.Dial("tcp", p.fronts[0].listener.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		io.WriteString(conn, "<!-- answered with a stream error -->")
		conn.SetReadDeadline(time.Now().Add(answerWithin))
		if n, _ := conn.Read(make([]byte, 1)); n > 0 {
			t.Error("a client was answered before the parts had started, want its connection left in the queue")
		}
	}}}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	if err := p.start(ctx); !errors.Is(err, errGateClosed) {
		t.Errorf("got error %v, want that of the part", err)
	}
	p.fronts[0].listener.Close()
}

// In an upgrade the old process answers on a part's control socket. The new process ended because of that,
// which counts as a crash. It must wait, and answer on the socket once the old process has gone, in order or
// killed. Without an upgrade the socket belongs to another relay.
func TestControlSocketIsTakenOver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	old, err := control.Listen(path, control.Sources{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	var fresh, next controlSocket
	if err := fresh.start(path, control.Sources{}, false, zerolog.Nop()); !errors.Is(err, control.ErrSocketInUse) {
		t.Errorf("another relay's socket: got error %v, want %v", err, control.ErrSocketInUse)
	}
	fresh.stop()
	if err := next.start(path, control.Sources{}, true, zerolog.Nop()); err != nil {
		t.Fatalf("the old process's socket: got error %v, want none", err)
	}
	old.Close()
	next.goroutines.Wait() // ends once the socket is bound
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatalf("after the old process: %v, want the new process on the socket", err)
	}
	conn.Close()
	next.stop()
	if _, err := net.Dial("unix", path); err == nil {
		t.Error("the socket answers after stop, want it closed")
	}
}

// A part that stops while the old process still has the socket must leave that socket alone.
func TestControlSocketOfOldProcessIsKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.sock")
	old, err := control.Listen(path, control.Sources{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	var next controlSocket
	if err := next.start(path, control.Sources{}, true, zerolog.Nop()); err != nil {
		t.Fatal(err)
	}
	next.stop()
	if conn, err := net.Dial("unix", path); err != nil {
		t.Errorf("the old process's socket after the new one's stop: %v, want it to answer", err)
	} else {
		conn.Close()
	}
}

// In an upgrade the XMPP front of the new process accepts connections as soon as the old process has closed
// its own listener. The new process ended because the address was in use.
func TestAddressIsTakenOver(t *testing.T) {
	old, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	address := old.Addr().String()
	if l, err := listenOrTakeOver(address, false); err == nil {
		l.Close()
		t.Fatal("listened on an address that another relay uses, want an error")
	}
	next, err := listenOrTakeOver(address, true)
	if err != nil {
		t.Fatalf("the old process's address: got error %v, want none", err)
	}
	accepted := make(chan error, 1)
	go func() {
		conn, err := next.Accept()
		if err == nil {
			conn.Close()
		}
		accepted <- err
	}()
	old.Close()
	for conn, err := net.Dial("tcp", address); ; conn, err = net.Dial("tcp", address) {
		if err == nil {
			conn.Close()
			break
		}
	}
	if err := <-accepted; err != nil {
		t.Errorf("accept after the old process: got error %v, want a connection", err)
	}
	next.Close()
	if _, err := next.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept after close: got error %v, want %v", err, net.ErrClosed)
	}
}
