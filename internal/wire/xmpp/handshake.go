package xmpp

import (
	"errors"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// attempt is one attempt of a request with its connection to a server.
type attempt struct {
	splice.Attempt
	dialer *ServerDialer
	stream *stream
	reader *itemReader

	deliveries      deliveries
	clientWriteTime time.Duration // time spent in writes to the client
}

// runProtocol runs the attempt until it is over. It returns no load report: load reports come from the
// server's node in the endpoint list.
func (a *attempt) runProtocol() (decide.Status, decide.LoadReport) {
	a.reader = newItemReader(a.Conn.NetConn, maxItemBytes)
	return a.setUp(), decide.NoLoadReport
}

// errWoken is returned by readItem when the server side was woken: an item is in the request's queue, the
// client is to be migrated or the server drains.
var errWoken = errors.New("woken")

// readItem reads the server's next item. until is the deadline; 0 means none. The error is errWoken or an
// error of itemReader.readItem.
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

// setUp runs the handshake with the server and the SASL exchange, and then forwards stanzas. Until the
// client's SASL bytes are sent, the server has run nothing for the client: a failure before that is reported
// as ConnectFailed, so that the attempt may be retried at another server.
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

// readExpected reads the one item, of the given kind and name, that the server must send next before SASL. It
// waits until the attempt's deadline.
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

// saslExchange forwards SASL both ways until the server sends the features of the restarted stream.
type saslExchange struct {
	*attempt
	forwarded bool // an item of the client has been sent to the server
	failed    bool // the server's latest SASL answer is a failure
	succeeded bool // the server has sent SASL success
	restarted bool // the server has restarted its stream
}

func (s *saslExchange) run() decide.Status {
	for {
		// A draining server is sent nothing new. Before the client's first SASL item the attempt is reported
		// as superseded. During SASL the stream cannot move to another server, so the client must open it
		// again.
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
		switch {
		case err != nil:
			return s.failureStatus(err)
		case it.kind == streamEnd || it.name == streamErrorName:
			return s.endByServer(it)
		case it.name == "stream:features" && s.restarted:
			return s.establish(it)
		}
		s.failed = it.name == "failure"
		s.succeeded = s.succeeded || it.name == "success"
		s.restarted = s.restarted || s.succeeded && it.kind == streamHeader
		if s.stream.write(it.raw) != nil {
			return decide.Cancelled
		}
	}
}

// endByServer ends an exchange whose server has sent a stream error or its end tag. Before the client's first
// SASL item the attempt may be retried at another server. After it, the client gets the server's outcome and
// no other. An end tag is an outcome only after a SASL failure; otherwise the client must learn that it was
// not authenticated.
func (s *saslExchange) endByServer(it item) decide.Status {
	switch {
	case !s.forwarded:
		return decide.ConnectFailed
	case it.name == streamErrorName:
		s.stream.forwardStreamError(it)
		return decide.Cancelled
	case s.failed:
		s.stream.sendOutcome(noCondition, "")
		return decide.Cancelled
	}
	return decide.Reset
}

// forwardFromClient forwards the client's queued items. It returns whether the attempt is over, and its
// status.
func (s *saslExchange) forwardFromClient() (status decide.Status, over bool) {
	for it, ok := s.stream.pop(); ok; it, ok = s.stream.pop() {
		if it.kind == streamEnd {
			s.Conn.Forward(it.raw)
			s.stream.sendOutcome(noCondition, "")
			s.Request.ClientClosed(relay.GracefulClose)
			return decide.Cancelled, true
		}
		s.forwarded = true
		s.stream.account.Add(-len(it.raw))
		if s.Conn.Forward(it.raw) != nil {
			return decide.Reset, true
		}
	}
	return decide.OK, false
}

// failureStatus returns the status of an exchange that failed with err.
func (s *saslExchange) failureStatus(err error) decide.Status {
	switch {
	case splice.TimedOut(err) && !s.forwarded: // the client sent nothing after the features
		s.stream.setCondition(connectionTimeout)
		return decide.Cancelled
	case splice.TimedOut(err):
		return decide.TimedOut
	case !s.forwarded:
		return decide.ConnectFailed
	default:
		return decide.Reset
	}
}

// establish sends the client the features after SASL and forwards stanzas from then on.
func (s *saslExchange) establish(features item) decide.Status {
	if s.Request.Establish(s.Number) == nil {
		return decide.Cancelled
	}
	if s.stream.write(features.raw) != nil {
		return decide.Cancelled
	}
	return s.forwardStanzas()
}
