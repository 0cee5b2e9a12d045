package plugin

import (
	"context"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// serverDialer dials and probes servers for the event loop. It implements relay.ServerDialer.
type serverDialer struct {
	clock          *relay.Clock
	connectTimeout time.Duration // limit of a dial besides the attempt's deadline, and of a probe
	drainTimeout   time.Duration // limit for calls in flight on a connection to a draining server
}

// StartAttempt makes one attempt in a new goroutine, which ends once the connection is established or has
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
	placed.Conn = raw // BeginWrite and Establish synchronize this with every use by the client side
	if !request.BeginWrite(a.Number) || request.Establish(a.Number) == nil {
		raw.Close()
		request.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return
	}
	placed.markEstablished()
}

// Probe checks whether a server accepts connections. It does not block; done is called exactly once. The
// reported load is that of the server's node.
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
