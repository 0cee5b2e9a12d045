package xmpp

import (
	"context"
	"fmt"
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
