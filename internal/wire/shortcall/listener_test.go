package shortcall

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// queue is a listener whose connections a test adds.
type queue struct {
	net.Listener
	conns chan net.Conn
}

func (q queue) Accept() (net.Conn, error) {
	conn, ok := <-q.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (q queue) Close() error {
	close(q.conns)
	return nil
}

// connect adds a connection, and returns the caller's side of it.
func (q queue) connect() net.Conn {
	caller, conn := net.Pipe()
	q.conns <- conn
	return caller
}

// isClosed reports whether the relay has closed a caller's connection.
func isClosed(caller net.Conn) bool {
	caller.SetReadDeadline(time.Now().Add(time.Nanosecond))
	_, err := caller.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

func newQueue(limits Limits) (queue, *Listener) {
	q := queue{conns: make(chan net.Conn, 1000)}
	return q, NewListener(q, limits)
}

// A caller that has just connected was closed for the next one before its call was read, as callers that
// connect over and over made it the oldest. It must have its time, and then only those without a complete
// call give way.
func TestCallersHaveTimeForTheirCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, l := newQueue(Limits{Connections: 2, AcceptsPerSecond: 1000})
		first, second, third := q.connect(), q.connect(), q.connect()
		served, _ := l.Accept()
		l.Accept()
		l.CallArrived(served)
		began := time.Now()
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited != minCallTime {
			t.Errorf("a caller was closed for the next one after %v, want %v", waited, minCallTime)
		}
		if isClosed(first) || !isClosed(second) || isClosed(third) {
			t.Errorf("closed: the served caller %v, the silent one %v, the new one %v; want only the silent one",
				isClosed(first), isClosed(second), isClosed(third))
		}
		l.Close()
	})
}

// While all connections are served, the next one waits until one of them is closed. The limit holds all the
// time.
func TestNextCallerWaitsForServedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, l := newQueue(Limits{Connections: 1, AcceptsPerSecond: 1000})
		q.connect()
		q.connect()
		served, _ := l.Accept()
		l.CallArrived(served)
		const callTime = time.Minute
		time.AfterFunc(callTime, func() { l.Closed(served) })
		began := time.Now()
		l.Accept()
		if waited := time.Since(began); waited != callTime || l.Open() != 1 {
			t.Errorf("accepted after %v with %d connections open, want %v and 1", waited, l.Open(), callTime)
		}
		l.Close()
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("accept after close: got error %v, want %v", err, net.ErrClosed)
		}
	})
}

// Callers that connect over and over are held to a rate, also if each of their calls is served at once.
func TestCallersAreHeldToARate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, callers = 100, 500
		q, l := newQueue(Limits{Connections: 10, AcceptsPerSecond: perSecond})
		began := time.Now()
		for range callers {
			q.connect()
			conn, _ := l.Accept()
			l.CallArrived(conn)
			l.Closed(conn)
		}
		if least := (callers - 10) * time.Second / perSecond; time.Since(began) < least {
			t.Errorf("%d calls were accepted in %v, want at least %v", callers, time.Since(began), least)
		}
		l.Close()
	})
}
