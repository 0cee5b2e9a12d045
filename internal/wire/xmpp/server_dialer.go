package xmpp

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// minConnectTimeout is what a dial gets at least, however little the operator's file allows it.
const minConnectTimeout = time.Millisecond

// ServerDialer is the server side: it dials, carries set-up and stanzas, classifies how attempts end, and
// notices silence. It implements relay.ServerDialer.
type ServerDialer struct {
	Clock          *relay.Clock
	ConnectTimeout time.Duration // of a dial, beside the attempt's deadline, and of a probe
	ProbeHost      string        // the host that a probe's stream names
	SilenceTimeout time.Duration // a server that has confirmed nothing for so long is lost
	Log            zerolog.Logger
}

// StartAttempt makes one attempt in a goroutine of its own, which ends with it.
func (s *ServerDialer) StartAttempt(request *relay.Request, a relay.Attempt) {
	go s.runAttempt(request, a)
}

func (s *ServerDialer) runAttempt(request *relay.Request, a relay.Attempt) {
	st := request.Payload.(*stream)
	made := &attempt{Attempt: splice.Attempt{Attempt: a, Request: request}, dialer: s, stream: st}
	conversed := made.Run(s.Clock, max(s.ConnectTimeout, minConnectTimeout), made.converse)
	if state, _ := request.State(); conversed && state == relay.Ended {
		st.markEnded()
	}
}

// Probe opens a stream and waits for the server's start tag. It does not block; done is called once. Load
// comes from the server's own node.
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
	conn.Write([]byte(xmlDeclaration + encodeClientHeader(s.ProbeHost))) // the read meets the same error
	it, err := newItemReader(conn).readItem()
	switch {
	case splice.TimedOut(err):
		return decide.TimedOut, report
	case err != nil || it.kind != streamHeader:
		return decide.Reset, report
	}
	conn.Write([]byte(streamEndTag))
	return decide.OK, report
}
