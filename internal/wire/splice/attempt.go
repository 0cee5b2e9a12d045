package splice

import (
	"context"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// Attempt is one attempt of a request, made by the server side of a protocol.
type Attempt struct {
	relay.Attempt
	Request *relay.Request
	Conn    *Conn // the connection to the server
}

// Run dials the attempt's server, calls exchange, which uses the connection until the attempt is over, and
// ends the attempt exactly once. The dial is bounded by the attempt's deadline and, unless it is 0, by
// connectTimeout. Run reports whether exchange was called.
func (a *Attempt) Run(
	clock *relay.Clock, connectTimeout time.Duration, exchange func() (decide.Status, decide.LoadReport),
) bool {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	a.Conn = &Conn{Clock: clock, CancelDial: stop}
	if !a.Request.Attach(a.Number, a.Conn) {
		a.Request.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return false
	}
	timeout := a.Deadline - clock.Now()
	if connectTimeout > 0 {
		timeout = min(timeout, connectTimeout)
	}
	conn, err := Dial(ctx, a.Server.Address, timeout)
	if err != nil {
		a.Request.EndAttempt(a.Number, DialStatus(err), decide.NoLoadReport)
		return false
	}
	defer conn.Close()
	if !a.Conn.Attach(conn) || !a.Request.BeginWrite(a.Number) {
		// Close first, so that the server sees the close before the decision module is notified of the end
		// and may dispatch the request again.
		conn.Close()
		a.Request.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return false
	}
	status, load := exchange()
	// Close before the end is reported: otherwise the next attempt could begin while this one is still open,
	// and the request would be at two servers.
	a.Conn.Close(relay.GracefulClose)
	conn.Close()
	a.Request.EndAttempt(a.Number, status, load)
	return true
}
