package plugin

import (
	"context"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// serverDialer is the server side as the event loop sees it. It implements relay.ServerDialer.
type serverDialer struct {
	clock          *relay.Clock
	connectTimeout time.Duration // of an attempt's dial, beside its deadline, and of a probe
	drainTimeout   time.Duration // of a placed connection's calls in flight
}

// StartAttempt makes one attempt in a goroutine of its own, which ends once the connection is placed or
// failed.
func (s *serverDialer) StartAttempt(request *relay.Request, a relay.Attempt) {
	go s.runAttempt(request, a)
}

func (s *serverDialer) runAttempt(request *relay.Request, a relay.Attempt) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	placed := &placedConn{request: request, attempt: a.Number, stopDial: stop, drainTimeout: s.drainTimeout}
	if !request.Attach(a.Number, serverConn{placed}) {
		request.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return
	}
	raw, err := splice.Dial(ctx, a.Server.Address, min(a.Deadline-s.clock.Now(), s.connectTimeout))
	if err != nil {
		request.EndAttempt(a.Number, splice.DialStatus(err), decide.NoLoadReport)
		return
	}
	placed.Conn = raw // BeginWrite and Establish order this before every use by the client side
	if !request.BeginWrite(a.Number) || request.Establish(a.Number) == nil {
		raw.Close()
		request.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return
	}
	placed.markEstablished()
}

// Probe asks whether a server takes connections. It does not block; done is called once. Load comes from the
// server's own node.
func (s *serverDialer) Probe(server relay.Server, done func(decide.Status, decide.LoadReport)) {
	go func() { done(s.probe(server)) }()
}

func (s *serverDialer) probe(server relay.Server) (decide.Status, decide.LoadReport) {
	report := decide.NoLoadReport
	report.Load = server.Load
	conn, err := splice.Dial(context.Background(), server.Address, s.connectTimeout)
	if err != nil {
		return splice.ProbeStatus(err), report
	}
	conn.Close()
	return decide.OK, report
}
