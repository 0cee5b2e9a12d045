package xmpp

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// Servers is the server side: it dials, carries set-up and stanzas, classifies how attempts end, and
// notices silence.
type Servers struct {
	Clock          *relay.Clock
	ConnectTimeout time.Duration
	ProbeTo        string        // the host that a probe's stream names
	Silent         time.Duration // a server that has confirmed nothing for so long is given up
	Log            zerolog.Logger
}

// StartAttempt makes one attempt in a goroutine of its own.
func (s *Servers) StartAttempt(c *relay.Request, a relay.Attempt) { go s.try(c, a) }

func (s *Servers) try(c *relay.Request, a relay.Attempt) {
	st := c.Payload.(*stream)
	attempted := &splice.Attempt{Attempt: a, Request: c}
	// The timeout is never 0, which would be none.
	conversed := attempted.Run(s.Clock, max(s.ConnectTimeout, minConnectTimeout), func() (decide.Status, decide.LoadReport) {
		at := &attempt{s: s, c: c, a: a, e: attempted.Half, st: st, r: newReader(attempted.Half.Conn)}
		return at.setUp(), decide.NoLoadReport
	})
	if state, _ := c.State(); conversed && state == relay.Ended {
		st.leave()
	}
}

// minConnectTimeout is what a dial gets at least, however little the operator's file allows it.
const minConnectTimeout = time.Millisecond

// attempt is one connection to a server.
type attempt struct {
	s  *Servers
	c  *relay.Request
	a  relay.Attempt
	e  *splice.Half
	st *stream
	r  *reader

	unconfirmed []item        // written to the server, which has not shown yet that it took them
	since       time.Duration // when the oldest of them was written, or the server was last heard after it
	pingAfter   int           // how many of them stood before the ping that is out; 0 if none is
	pings       int
}

// errWoken says that the call has something new: an item in its queue, a move, or a drain.
var errWoken = errors.New("woken")

// next reads the server's next item, until a time; 0 is never.
func (at *attempt) next(until time.Duration) (item, error) {
	at.e.SetReadUntil(until)
	it, err := at.r.next()
	if splice.TimedOut(err) {
		at.e.ClearWake()
		if until == 0 || at.s.Clock.Now() < until || at.e.Closed() {
			return it, errWoken
		}
	}
	return it, err
}

// setUp carries the stream to the features after SASL. Until the client's SASL bytes go out nothing has
// run: whatever happens, the attempt may be made again elsewhere, and is told as one that never connected.
func (at *attempt) setUp() decide.Status {
	if at.e.Forward(append([]byte("<?xml version='1.0'?>"), at.st.open.raw...)) != nil {
		return decide.ConnectFailed
	}
	open, status := at.expect(opened, "stream:stream", at.a.Deadline)
	if status != decide.OK {
		return status
	}
	features, status := at.expect(element, "stream:features", at.a.Deadline)
	if status != decide.OK {
		return status
	}
	if at.c.HandshakeClient(at.a.Number) == nil {
		return decide.Cancelled
	}
	if !at.st.greet(string(open.raw), withoutTLS(string(features.raw))) {
		return decide.ConnectFailed
	}
	return at.authenticate()
}

// expect reads one item before SASL.
func (at *attempt) expect(k kind, name string, until time.Duration) (item, decide.Status) {
	for {
		it, err := at.next(until)
		switch {
		case err == errWoken && at.e.Closed():
			return it, decide.Cancelled
		case err == errWoken && at.c.ServerDraining():
			return it, decide.Superseded
		case err == errWoken:
		case err != nil || it.kind != k || it.name != name:
			return it, decide.ConnectFailed
		default:
			return it, decide.OK
		}
	}
}

// authenticate passes SASL both ways, until the features of the restarted stream.
func (at *attempt) authenticate() decide.Status {
	sent, passed, again := false, false, false
	for {
		// A server that has begun to drain gets nothing new. Before SASL the attempt is simply not made; a
		// stream in the middle of it cannot be taken elsewhere, and its client is told to come again.
		if at.c.ServerDraining() {
			if !sent {
				return decide.Superseded
			}
			at.st.because("reset")
			return decide.Cancelled
		}
		for it, ok := at.st.pop(); ok; it, ok = at.st.pop() {
			if it.kind == closed {
				at.e.Forward(it.raw)
				at.st.finish("", "")
				at.c.ClientClosed(relay.GracefulClose)
				return decide.Cancelled
			}
			sent = true
			if at.e.Forward(it.raw) != nil {
				return decide.Reset
			}
		}
		it, err := at.next(at.a.ClientDeadline)
		switch {
		case err == errWoken && at.e.Closed():
			return decide.Cancelled
		case err == errWoken:
			continue
		case splice.TimedOut(err) && !sent: // the client was given features and did nothing: no server's fault
			at.st.because("connection-timeout")
			return decide.Cancelled
		case splice.TimedOut(err):
			return decide.TimedOut
		case err != nil && !sent:
			return decide.ConnectFailed
		case err != nil || it.kind == closed:
			return decide.Reset
		}
		if it.name == "stream:features" && again {
			if at.c.Establish(at.a.Number) == nil {
				return decide.Cancelled
			}
			if at.st.write(it.raw) != nil {
				return decide.Cancelled
			}
			return at.carry()
		}
		passed = passed || it.name == "success"
		again = again || passed && it.kind == opened
		if at.st.write(it.raw) != nil {
			return decide.Cancelled
		}
	}
}

// carry passes stanzas until one side ends or the client is to be moved. It alone writes to both ends, so
// whatever it adds stands between two stanzas.
func (at *attempt) carry() decide.Status {
	for {
		if err := at.flush(false); err != nil {
			return at.lost("remote-connection-failed", decide.Reset)
		}
		it, err := at.next(at.wakeAt())
		if moving, silent := at.c.Migrating(); moving {
			return at.move(silent)
		}
		switch {
		case err == errWoken && at.e.Closed():
			at.e.Forward([]byte("</stream:stream>"))
			return decide.Cancelled
		case err == errWoken:
		case splice.TimedOut(err):
			if at.s.Clock.Now()-at.since >= at.s.Silent {
				return at.lost("connection-timeout", decide.Reset)
			}
			if at.ping() != nil {
				return at.lost("remote-connection-failed", decide.Reset)
			}
		case err != nil:
			return at.lost("remote-connection-failed", decide.Reset)
		case it.kind == closed:
			at.e.Forward([]byte("</stream:stream>"))
			return at.lost("", decide.OK)
		case it.name == "stream:error":
			at.st.write(it.raw)
			return at.lost("", decide.Cancelled)
		default:
			at.since = at.s.Clock.Now()
			if at.pong(it) {
				continue
			}
			if at.st.write(it.raw) != nil {
				return decide.Cancelled
			}
		}
	}
}

// flush writes what the client has queued. While a ping is out and late, and while too much is
// unconfirmed, it stays queued; all does without that.
func (at *attempt) flush(all bool) error {
	for {
		now := at.s.Clock.Now()
		if late := at.pingAfter > 0 && now-at.since >= at.s.Silent*2/5; !all && (late || len(at.unconfirmed) >= maxQueue || size(at.unconfirmed) >= maxBytes) {
			return nil
		}
		it, ok := at.st.pop()
		if !ok {
			return nil
		}
		if len(at.unconfirmed) == 0 {
			at.since = now
		}
		at.unconfirmed = append(at.unconfirmed, it)
		if err := at.e.Forward(it.raw); err != nil { // a part of a stanza is none: what was cut off is bounced too
			return err
		}
	}
}

func size(items []item) (n int) {
	for _, it := range items {
		n += len(it.raw)
	}
	return n
}

// wakeAt is when the server's silence is to be looked at.
func (at *attempt) wakeAt() time.Duration {
	switch {
	case len(at.unconfirmed) == 0:
		return 0
	case at.pingAfter > 0:
		return at.since + at.s.Silent
	default:
		return at.since + at.s.Silent/5
	}
}

// ping asks the server for a sign of life (XEP-0199). Stanzas are taken in order, so its answer confirms all
// that went before it.
func (at *attempt) ping() error {
	at.pings++
	at.pingAfter = len(at.unconfirmed)
	return at.e.Forward(fmt.Appendf(nil, "<iq type='get' id='capersail-%d-%d'><ping xmlns='urn:xmpp:ping'/></iq>", at.c.ID, at.pings))
}

// pong takes the answer to our own ping; an error is as good as a result.
func (at *attempt) pong(it item) bool {
	if it.name != "iq" || at.pingAfter == 0 || it.attrs["id"] != fmt.Sprintf("capersail-%d-%d", at.c.ID, at.pings) {
		return false
	}
	at.unconfirmed, at.pingAfter = at.unconfirmed[at.pingAfter:], 0
	return true
}

// lost ends a stream whose server is gone, silent or done. What the server has not confirmed, and what is
// still queued, comes back to the client as errors: never lost without a word, never sent twice.
func (at *attempt) lost(condition string, status decide.Status) decide.Status {
	at.c.ServerClosed() // before the client is told: its goroutine then says that it has left
	back := at.unconfirmed
	if status == decide.OK || status == decide.Cancelled { // it ended its stream in order, after what it had read
		back = nil
	}
	for it, ok := at.st.pop(); ok; it, ok = at.st.pop() {
		if it.kind == closed {
			condition = ""
		}
		back = append(back, it)
	}
	for _, it := range back {
		if text := bounce(it); text != "" {
			at.st.write([]byte(text))
		}
	}
	at.st.finish(condition, "")
	at.st.client.Close(relay.GracefulClose)
	return status
}

// move sends the client away, after what it has sent so far.
func (at *attempt) move(silent bool) decide.Status {
	if silent || at.pingAfter > 0 || at.flush(true) != nil {
		return at.lost("reset", decide.Reset)
	}
	at.e.Forward([]byte("</stream:stream>"))
	return at.lost("reset", decide.Cancelled)
}

// withoutTLS takes the server's own offer of STARTTLS out of its features: the relay has ended TLS, or the
// operator's file says that there is none.
func withoutTLS(features string) string {
	i := strings.Index(features, "<starttls")
	if i < 0 {
		return features
	}
	rest := features[i:]
	if j := strings.Index(rest, ">"); j > 0 && rest[j-1] == '/' {
		return features[:i] + rest[j+1:]
	}
	if j := strings.Index(rest, "</starttls>"); j >= 0 {
		return features[:i] + rest[j+len("</starttls>"):]
	}
	return features
}

// Probe opens a stream and waits for the server's start tag. Load comes from the server's own node.
func (s *Servers) Probe(to relay.Server, done func(decide.Status, decide.LoadReport)) {
	go func() { done(s.probe(to)) }()
}

func (s *Servers) probe(to relay.Server) (decide.Status, decide.LoadReport) {
	report := decide.NoLoadReport
	report.Load = to.Load
	conn, err := splice.Dial(context.Background(), to.Address, s.ConnectTimeout)
	if err != nil {
		return splice.ProbeStatus(err), report
	}
	defer conn.Close()
	conn.SetDeadline(s.Clock.WallDeadline(s.Clock.Now() + s.ConnectTimeout))
	fmt.Fprintf(conn, "<?xml version='1.0'?><stream:stream to='%s' version='1.0' xmlns='jabber:client' xmlns:stream='%s'>",
		escape(s.ProbeTo), streamsNS)
	it, err := newReader(conn).next()
	switch {
	case splice.TimedOut(err):
		return decide.TimedOut, report
	case err != nil || it.kind != opened:
		return decide.Reset, report
	}
	conn.Write([]byte("</stream:stream>"))
	return decide.OK, report
}
