package xmpp

import (
	"errors"
	"strings"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

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
