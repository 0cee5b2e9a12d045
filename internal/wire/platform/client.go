package platform

import (
	"errors"
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/memory"
	"capersail/internal/wire/link"
)

// firstLineWithin bounds how long a connection may stay without a first line, and holds a descriptor.
const firstLineWithin = 10_000.0

// Front is the client side: it accepts connections and speaks with each in a goroutine of its own.
type Front struct {
	X    *memory.Exchange
	Site *memory.Site
	Log  zerolog.Logger
	// Room is how many client connections there may be; each may need a second one to its server.
	Room  int64
	count atomic.Int64
}

// Serve accepts until the listener is closed. An accept that fails for want of a descriptor is tried again.
func (f *Front) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			f.Log.Warn().Err(err).Msg("accept failed")
			time.Sleep(memory.Duration(5))
			continue
		}
		go f.serve(conn, f.count.Add(1) > f.Room)
	}
}

// serve speaks with one client until its connection is closed.
func (f *Front) serve(conn net.Conn, crowded bool) {
	defer f.count.Add(-1)
	e := &link.End{Conn: conn, Clock: f.X.Clock}
	defer e.Drain()
	in := newLines(conn)
	e.Until(f.X.Clock.Now() + firstLineWithin)
	for {
		line, err := in.next()
		if err != nil && !errors.Is(err, errTooLong) {
			return
		}
		if first, _ := word(line); err == nil && first == "PING" {
			if e.Pass([]byte("PONG\r\n")) != nil {
				return
			}
			e.Until(f.X.Clock.Now() + firstLineWithin)
			continue
		}
		if crowded { // the bound on descriptors: better a no at once than an accept that fails
			e.Pass([]byte("BUSY 500\r\n"))
			return
		}
		ask, at, err := f.ask(line, err)
		if err != nil {
			f.Log.Warn().Err(err).Bytes("line", line[:min(len(line), 200)]).Msg("bad first line; failed")
			e.Pass([]byte("ERR bad request\r\n"))
			return
		}
		e.Until(0)
		var call *memory.Call
		if at != "" {
			call = f.X.Resume(ask, at, e)
		} else {
			call = f.X.Open(ask, e)
		}
		f.follow(call, e, in)
		return
	}
}

// ask puts a first line into the module's numbers.
func (f *Front) ask(line []byte, err error) (memory.Ask, string, error) {
	if err != nil {
		return memory.Ask{}, "", err
	}
	o, err := parseOpening(line)
	if err != nil {
		return memory.Ask{}, "", err
	}
	class, ok := f.Site.Classes[o.class]
	if !ok {
		return memory.Ask{}, "", fmt.Errorf("unknown class %q", o.class)
	}
	tenant, ok := f.Site.Tenants[o.tenant]
	if !ok {
		tenant = decide.NoTenant
	}
	return memory.Ask{Class: class, Tenant: tenant, Key: o.key, Group: o.group, Hint: o.hint, Left: o.left,
		Returned: o.returned, Payload: o}, o.at, nil
}

// follow reads the client until its end. Before the call is up a wake means an answer; after that the
// server side writes to the client, and this goroutine only passes on what the client sends.
func (f *Front) follow(call *memory.Call, e *link.End, in *lines) {
	for {
		line, err := in.next()
		if len(line) > 0 {
			<-call.Settled() // a client that does not wait for UP has its lines kept in its own socket
			remote := call.Remote()
			if remote == nil {
				f.answer(call, e)
				return
			}
			call.Asked()
			if remote.Pass(line) != nil {
				continue // the server side meets the same break and ends both
			}
			continue
		}
		if link.TimedOut(err) {
			e.Rest()
			if state, _ := call.State(); state == memory.Ended || e.Over() { // answered, or ended by its server
				f.answer(call, e)
				return
			}
			e.Until(0)
			continue
		}
		call.Leave(link.Ending(err))
		return
	}
}

// answer writes the final answer of a call that did not come up.
func (f *Front) answer(call *memory.Call, e *link.End) {
	_, a := call.State()
	switch {
	case a.Kind == memory.Refused && a.RetryAfter > 0:
		e.Pass(fmt.Appendf(nil, "BUSY %d\r\n", int(math.Ceil(a.RetryAfter))))
	case a.Kind == memory.Refused:
		e.Pass([]byte("BUSY\r\n"))
	case a.Kind == memory.Failed:
		e.Pass([]byte("ERR\r\n"))
	}
}
