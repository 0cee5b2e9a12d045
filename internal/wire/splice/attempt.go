package splice

import (
	"context"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// Attempt is one attempt of a request, as the server side of a protocol makes it.
type Attempt struct {
	relay.Attempt
	Request *relay.Request
	Conn    *Conn // the connection to the server
}

// Run dials the attempt's server, lets converse speak on the connection until the attempt is over, and ends
// the attempt, exactly once. connectTimeout bounds the dial beside the attempt's deadline; 0 is no bound. Run
// returns whether converse was called.
func (a *Attempt) Run(
	clock *relay.Clock, connectTimeout time.Duration, converse func() (decide.Status, decide.LoadReport),
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
		// The server is to see the close before the decision module hears of the end and may dispatch again.
		conn.Close()
		a.Request.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return false
	}
	status, load := converse()
	// Closed before the end is reported: an attempt that still stands while the next one is made would be a
	// second copy.
	a.Conn.Close(relay.GracefulClose)
	conn.Close()
	a.Request.EndAttempt(a.Number, status, load)
	return true
}
