package xmpp

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// minConnectTimeout is the shortest time-out of a dial, whatever the operator's file says.
const minConnectTimeout = time.Millisecond

// ServerDialer is the server side of the protocol. It dials servers, runs the handshake and SASL, forwards
// stanzas, detects silent servers and reports the status with which each attempt ends. It implements
// relay.ServerDialer.
type ServerDialer struct {
	Clock          *relay.Clock
	ConnectTimeout time.Duration  // limit of a dial besides the attempt's deadline, and of a probe
	ProbeHost      string         // the host named in the start tag of a probe
	SilenceTimeout time.Duration  // a server that confirms nothing for this long counts as lost
	Log            zerolog.Logger // should be sampled, as clients cause its messages
}

// StartAttempt makes one attempt in a new goroutine, which ends with the attempt.
func (s *ServerDialer) StartAttempt(request *relay.Request, a relay.Attempt) {
	go s.runAttempt(request, a)
}

func (s *ServerDialer) runAttempt(request *relay.Request, a relay.Attempt) {
	st := request.Payload.(*stream)
	current := &attempt{Attempt: splice.Attempt{Attempt: a, Request: request}, dialer: s, stream: st}
	protocolRan := current.Run(s.Clock, max(s.ConnectTimeout, minConnectTimeout), current.runProtocol)
	if state, _ := request.State(); protocolRan && state == relay.Ended {
		st.markEnded()
	}
}

// Probe opens a stream and waits for the server's start tag. It does not block; done is called exactly once.
// The reported load is that of the server's node in the endpoint list.
func (s *ServerDialer) Probe(server relay.Server, done func(decide.Status, decide.LoadReport)) {
	go func() { done(s.probe(server)) }()
}

func (s *ServerDialer) probe(server relay.Server) (decide.Status, decide.LoadReport) {
	report := decide.NoLoadReport
	report.Load = server.Load
	conn, err := splice.Dial(context.Background(), server.Address, s.ConnectTimeout)
	if err != nil {
		return splice.ProbeStatus(err), report
	}
	defer conn.Close()
	conn.SetDeadline(s.Clock.WallDeadline(s.Clock.Now() + s.ConnectTimeout))
	conn.Write([]byte(xmlDeclaration + encodeClientHeader(s.ProbeHost))) // the read returns the same error
	it, err := newItemReader(conn, maxItemBytes).readItem()
	switch {
	case splice.TimedOut(err):
		return decide.TimedOut, report
	case err != nil || it.kind != streamHeader:
		return decide.Reset, report
	}
	conn.Write([]byte(streamEndTag))
	return decide.OK, report
}
