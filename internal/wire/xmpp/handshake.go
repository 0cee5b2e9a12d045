package xmpp

import (
	"errors"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// attempt is one connection to a server, for a request.
type attempt struct {
	splice.Attempt
	dialer *ServerDialer
	stream *stream
	reader *itemReader

	unconfirmed     []item        // written to the server, which has not shown yet that it took them
	lastConfirmedAt time.Duration // of the oldest: when it was written, or the server sent something since
	pingCovers      int           // how many of them stood before the ping that is out; 0 if none is
	pingsSent       int
}

// converse speaks with the server until the attempt is over. Load reports come from the server's own node.
func (a *attempt) converse() (decide.Status, decide.LoadReport) {
	a.reader = newItemReader(a.Conn.NetConn)
	return a.setUp(), decide.NoLoadReport
}

// errWoken says that the request has something new: an item in its queue, a migration, or a drain.
var errWoken = errors.New("woken")

// readItem reads the server's next item, until an instant; 0 is never. Its errors are errWoken and those of
// itemReader.readItem.
func (a *attempt) readItem(until time.Duration) (item, error) {
	a.Conn.SetReadDeadline(until)
	it, err := a.reader.readItem()
	if splice.TimedOut(err) {
		a.Conn.ClearWake()
		if until == 0 || a.dialer.Clock.Now() < until || a.Conn.Closed() {
			return it, errWoken
		}
	}
	return it, err
}

// setUp carries the stream to the features after SASL. Until the client's SASL bytes go out nothing has run:
// whatever happens, the attempt may be made again elsewhere, and is reported as one that never connected.
func (a *attempt) setUp() decide.Status {
	if a.Conn.Forward(append([]byte(xmlDeclaration), a.stream.clientHeader.raw...)) != nil {
		return decide.ConnectFailed
	}
	header, status := a.readExpected(streamHeader, "stream:stream")
	if status != decide.OK {
		return status
	}
	features, status := a.readExpected(firstLevelElement, "stream:features")
	if status != decide.OK {
		return status
	}
	if a.Request.HandshakeClientConn(a.Number) == nil {
		return decide.Cancelled
	}
	if !a.stream.sendFeatures(string(header.raw), stripStartTLS(string(features.raw))) {
		return decide.ConnectFailed
	}
	sasl := saslExchange{attempt: a}
	return sasl.run()
}

// readExpected reads one item before SASL, until the attempt's deadline.
func (a *attempt) readExpected(kind itemKind, name string) (item, decide.Status) {
	for {
		it, err := a.readItem(a.Deadline)
		woken := errors.Is(err, errWoken)
		switch {
		case woken && a.Conn.Closed():
			return it, decide.Cancelled
		case woken && a.Request.ServerDraining():
			return it, decide.Superseded
		case woken:
		case err != nil || it.kind != kind || it.name != name:
			return it, decide.ConnectFailed
		default:
			return it, decide.OK
		}
	}
}

// saslExchange forwards SASL both ways, until the features of the restarted stream.
type saslExchange struct {
	*attempt
	forwarded bool // something of the client's went to the server
	succeeded bool
	restarted bool // the server's stream
}

func (s *saslExchange) run() decide.Status {
	for {
		// A server that has begun to drain gets nothing new. Before SASL the attempt is simply not made; a
		// stream in the middle of it cannot be taken elsewhere, and its client is to open it again.
		if s.Request.ServerDraining() {
			if !s.forwarded {
				return decide.Superseded
			}
			s.stream.setCondition(resetCondition)
			return decide.Cancelled
		}
		if status, over := s.forwardFromClient(); over {
			return status
		}
		it, err := s.readItem(s.ClientDeadline)
		if errors.Is(err, errWoken) {
			if s.Conn.Closed() {
				return decide.Cancelled
			}
			continue
		}
		if err != nil || it.kind == streamEnd {
			return s.failed(err)
		}
		if it.name == "stream:features" && s.restarted {
			return s.establish(it)
		}
		s.succeeded = s.succeeded || it.name == "success"
		s.restarted = s.restarted || s.succeeded && it.kind == streamHeader
		if s.stream.write(it.raw) != nil {
			return decide.Cancelled
		}
	}
}

// forwardFromClient forwards what the client has queued. It returns whether the attempt is over.
func (s *saslExchange) forwardFromClient() (status decide.Status, over bool) {
	for it, ok := s.stream.pop(); ok; it, ok = s.stream.pop() {
		if it.kind == streamEnd {
			s.Conn.Forward(it.raw)
			s.stream.sendOutcome(noCondition, "")
			s.Request.ClientClosed(relay.GracefulClose)
			return decide.Cancelled, true
		}
		s.forwarded = true
		if s.Conn.Forward(it.raw) != nil {
			return decide.Reset, true
		}
	}
	return decide.OK, false
}

// failed is the status of an exchange that ended with an error, or with the server's end tag if that is nil.
func (s *saslExchange) failed(err error) decide.Status {
	switch {
	case splice.TimedOut(err) && !s.forwarded: // the client did nothing with the features: no server's fault
		s.stream.setCondition(connectionTimeout)
		return decide.Cancelled
	case splice.TimedOut(err):
		return decide.TimedOut
	case err != nil && !s.forwarded:
		return decide.ConnectFailed
	default:
		return decide.Reset
	}
}

// establish hands the stream over to stanzas with the features after SASL.
func (s *saslExchange) establish(features item) decide.Status {
	if s.Request.Establish(s.Number) == nil {
		return decide.Cancelled
	}
	if s.stream.write(features.raw) != nil {
		return decide.Cancelled
	}
	return s.forwardStanzas()
}
