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

// ServerDialer is the server side: it dials, carries set-up and stanzas, classifies how attempts end, and
// notices silence.
type ServerDialer struct {
	Clock          *relay.Clock
	ConnectTimeout time.Duration
	ProbeHost      string        // the host that a probe's stream names
	SilenceTimeout time.Duration // a server that has confirmed nothing for so long is given up
	Log            zerolog.Logger
}

// StartAttempt makes one attempt in a goroutine of its own.
func (s *ServerDialer) StartAttempt(c *relay.Request, a relay.Attempt) { go s.runAttempt(c, a) }

func (s *ServerDialer) runAttempt(c *relay.Request, a relay.Attempt) {
	st := c.Payload.(*stream)
	attempted := &splice.Attempt{Attempt: a, Request: c}
	// The timeout is never 0, which would be none.
	conversed := attempted.Run(s.Clock, max(s.ConnectTimeout, minConnectTimeout), func() (decide.Status, decide.LoadReport) {
		at := &attempt{dialer: s, c: c, a: a, e: attempted.Half, stream: st, r: newItemReader(attempted.Half.Conn)}
		return at.setUp(), decide.NoLoadReport
	})
	if state, _ := c.State(); conversed && state == relay.Ended {
		st.markEnded()
	}
}

// minConnectTimeout is what a dial gets at least, however little the operator's file allows it.
const minConnectTimeout = time.Millisecond

// attempt is one connection to a server.
type attempt struct {
	dialer *ServerDialer
	c      *relay.Request
	a      relay.Attempt
	e      *splice.Half
	stream *stream
	r      *itemReader

	unconfirmed     []item        // written to the server, which has not shown yet that it took them
	lastConfirmedAt time.Duration // when the oldest of them was written, or the server was last heard after it
	pingCovers      int           // how many of them stood before the ping that is out; 0 if none is
	pingsSent       int
}

// errWoken says that the call has something new: an item in its queue, a move, or a drain.
var errWoken = errors.New("woken")

// readItem reads the server's readItem item, until a time; 0 is never.
func (at *attempt) readItem(until time.Duration) (item, error) {
	at.e.SetReadUntil(until)
	it, err := at.r.readItem()
	if splice.TimedOut(err) {
		at.e.ClearWake()
		if until == 0 || at.dialer.Clock.Now() < until || at.e.Closed() {
			return it, errWoken
		}
	}
	return it, err
}

// setUp carries the stream to the features after SASL. Until the client's SASL bytes go out nothing has
// run: whatever happens, the attempt may be made again elsewhere, and is told as one that never connected.
func (at *attempt) setUp() decide.Status {
	if at.e.Forward(append([]byte("<?xml version='1.0'?>"), at.stream.clientHeader.raw...)) != nil {
		return decide.ConnectFailed
	}
	open, status := at.readExpected(streamHeader, "stream:stream", at.a.Deadline)
	if status != decide.OK {
		return status
	}
	features, status := at.readExpected(firstLevelElement, "stream:features", at.a.Deadline)
	if status != decide.OK {
		return status
	}
	if at.c.HandshakeClient(at.a.Number) == nil {
		return decide.Cancelled
	}
	if !at.stream.sendFeatures(string(open.raw), stripStartTLS(string(features.raw))) {
		return decide.ConnectFailed
	}
	return at.forwardSASL()
}

// readExpected reads one item before SASL.
func (at *attempt) readExpected(k itemKind, name string, until time.Duration) (item, decide.Status) {
	for {
		it, err := at.readItem(until)
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

// forwardSASL passes SASL both ways, until the features of the restarted stream.
func (at *attempt) forwardSASL() decide.Status {
	sent, passed, again := false, false, false
	for {
		// A server that has begun to drain gets nothing new. Before SASL the attempt is simply not made; a
		// stream in the middle of it cannot be taken elsewhere, and its client is told to come again.
		if at.c.ServerDraining() {
			if !sent {
				return decide.Superseded
			}
			at.stream.setCondition("reset")
			return decide.Cancelled
		}
		for it, ok := at.stream.pop(); ok; it, ok = at.stream.pop() {
			if it.kind == streamEnd {
				at.e.Forward(it.raw)
				at.stream.sendOutcome("", "")
				at.c.ClientClosed(relay.GracefulClose)
				return decide.Cancelled
			}
			sent = true
			if at.e.Forward(it.raw) != nil {
				return decide.Reset
			}
		}
		it, err := at.readItem(at.a.ClientDeadline)
		switch {
		case err == errWoken && at.e.Closed():
			return decide.Cancelled
		case err == errWoken:
			continue
		case splice.TimedOut(err) && !sent: // the client was given features and did nothing: no server's fault
			at.stream.setCondition("connection-timeout")
			return decide.Cancelled
		case splice.TimedOut(err):
			return decide.TimedOut
		case err != nil && !sent:
			return decide.ConnectFailed
		case err != nil || it.kind == streamEnd:
			return decide.Reset
		}
		if it.name == "stream:features" && again {
			if at.c.Establish(at.a.Number) == nil {
				return decide.Cancelled
			}
			if at.stream.write(it.raw) != nil {
				return decide.Cancelled
			}
			return at.forwardStanzas()
		}
		passed = passed || it.name == "success"
		again = again || passed && it.kind == streamHeader
		if at.stream.write(it.raw) != nil {
			return decide.Cancelled
		}
	}
}

// forwardStanzas passes stanzas until one side ends or the client is to be moved. It alone writes to both ends, so
// whatever it adds stands between two stanzas.
func (at *attempt) forwardStanzas() decide.Status {
	for {
		if err := at.forwardQueue(false); err != nil {
			return at.endStream("remote-connection-failed", decide.Reset)
		}
		it, err := at.readItem(at.nextSilenceCheck())
		if moving, silent := at.c.Migrating(); moving {
			return at.migrate(silent)
		}
		switch {
		case err == errWoken && at.e.Closed():
			at.e.Forward([]byte("</stream:stream>"))
			return decide.Cancelled
		case err == errWoken:
		case splice.TimedOut(err):
			if at.dialer.Clock.Now()-at.lastConfirmedAt >= at.dialer.SilenceTimeout {
				return at.endStream("connection-timeout", decide.Reset)
			}
			if at.sendPing() != nil {
				return at.endStream("remote-connection-failed", decide.Reset)
			}
		case err != nil:
			return at.endStream("remote-connection-failed", decide.Reset)
		case it.kind == streamEnd:
			at.e.Forward([]byte("</stream:stream>"))
			return at.endStream("", decide.OK)
		case it.name == "stream:error":
			at.stream.write(it.raw)
			return at.endStream("", decide.Cancelled)
		default:
			at.lastConfirmedAt = at.dialer.Clock.Now()
			if at.takePong(it) {
				continue
			}
			if at.stream.write(it.raw) != nil {
				return decide.Cancelled
			}
		}
	}
}

// forwardQueue writes what the client has queued. While a ping is out and late, and while too much is
// unconfirmed, it stays queued; all does without that.
func (at *attempt) forwardQueue(all bool) error {
	for {
		now := at.dialer.Clock.Now()
		if late := at.pingCovers > 0 && now-at.lastConfirmedAt >= at.dialer.SilenceTimeout*2/5; !all && (late || len(at.unconfirmed) >= maxQueuedItems || totalBytes(at.unconfirmed) >= maxQueuedBytes) {
			return nil
		}
		it, ok := at.stream.pop()
		if !ok {
			return nil
		}
		if len(at.unconfirmed) == 0 {
			at.lastConfirmedAt = now
		}
		at.unconfirmed = append(at.unconfirmed, it)
		if err := at.e.Forward(it.raw); err != nil { // a part of a stanza is none: what was cut off is bounced too
			return err
		}
	}
}

func totalBytes(items []item) (n int) {
	for _, it := range items {
		n += len(it.raw)
	}
	return n
}

// nextSilenceCheck is when the server's silence is to be looked at.
func (at *attempt) nextSilenceCheck() time.Duration {
	switch {
	case len(at.unconfirmed) == 0:
		return 0
	case at.pingCovers > 0:
		return at.lastConfirmedAt + at.dialer.SilenceTimeout
	default:
		return at.lastConfirmedAt + at.dialer.SilenceTimeout/5
	}
}

// sendPing asks the server for a sign of life (XEP-0199). Stanzas are taken in order, so its answer confirms all
// that went before it.
func (at *attempt) sendPing() error {
	at.pingsSent++
	at.pingCovers = len(at.unconfirmed)
	return at.e.Forward(fmt.Appendf(nil, "<iq type='get' id='capersail-%d-%d'><ping xmlns='urn:xmpp:ping'/></iq>", at.c.ID, at.pingsSent))
}

// takePong takes the answer to our own ping; an error is as good as a result.
func (at *attempt) takePong(it item) bool {
	if it.name != "iq" || at.pingCovers == 0 || it.attrs["id"] != fmt.Sprintf("capersail-%d-%d", at.c.ID, at.pingsSent) {
		return false
	}
	at.unconfirmed, at.pingCovers = at.unconfirmed[at.pingCovers:], 0
	return true
}

// endStream ends a stream whose server is gone, silent or done. What the server has not confirmed, and what is
// still queued, comes back to the client as errors: never endStream without a word, never sent twice.
func (at *attempt) endStream(condition string, status decide.Status) decide.Status {
	at.c.ServerClosed() // before the client is told: its goroutine then says that it has left
	back := at.unconfirmed
	if status == decide.OK || status == decide.Cancelled { // it ended its stream in order, after what it had read
		back = nil
	}
	for it, ok := at.stream.pop(); ok; it, ok = at.stream.pop() {
		if it.kind == streamEnd {
			condition = ""
		}
		back = append(back, it)
	}
	for _, it := range back {
		if text := encodeBounce(it); text != "" {
			at.stream.write([]byte(text))
		}
	}
	at.stream.sendOutcome(condition, "")
	at.stream.client.Close(relay.GracefulClose)
	return status
}

// migrate sends the client away, after what it has sent so far.
func (at *attempt) migrate(silent bool) decide.Status {
	if silent || at.pingCovers > 0 || at.forwardQueue(true) != nil {
		return at.endStream("reset", decide.Reset)
	}
	at.e.Forward([]byte("</stream:stream>"))
	return at.endStream("reset", decide.Cancelled)
}

// stripStartTLS takes the server's own offer of STARTTLS out of its features: the relay has ended TLS, or the
// operator's file says that there is none.
func stripStartTLS(features string) string {
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
func (s *ServerDialer) Probe(to relay.Server, done func(decide.Status, decide.LoadReport)) {
	go func() { done(s.probe(to)) }()
}

func (s *ServerDialer) probe(to relay.Server) (decide.Status, decide.LoadReport) {
	report := decide.NoLoadReport
	report.Load = to.Load
	conn, err := splice.Dial(context.Background(), to.Address, s.ConnectTimeout)
	if err != nil {
		return splice.ProbeStatus(err), report
	}
	defer conn.Close()
	conn.SetDeadline(s.Clock.WallDeadline(s.Clock.Now() + s.ConnectTimeout))
	fmt.Fprintf(conn, "<?xml version='1.0'?><stream:stream to='%s' version='1.0' xmlns='jabber:client' xmlns:stream='%s'>",
		escape(s.ProbeHost), streamsNamespace)
	it, err := newItemReader(conn).readItem()
	switch {
	case splice.TimedOut(err):
		return decide.TimedOut, report
	case err != nil || it.kind != streamHeader:
		return decide.Reset, report
	}
	conn.Write([]byte("</stream:stream>"))
	return decide.OK, report
}
