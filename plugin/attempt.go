package plugin

import (
	"context"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// StartAttempt makes one attempt; it is part of the core's server side.
func (d *Dialer) StartAttempt(c *relay.Request, a relay.Attempt) { go d.runAttempt(c, a) }

func (d *Dialer) runAttempt(c *relay.Request, a relay.Attempt) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	placed := &placedConn{dialer: d, request: c, attempt: a.Number, stop: stop, settingsDue: true}
	if !c.Attach(a.Number, serverConn{placed}) {
		c.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return
	}
	raw, err := splice.Dial(ctx, a.Server.Address, min(a.Deadline-d.clock.Now(), relay.Duration(d.config.ConnectMs)))
	if err != nil {
		c.EndAttempt(a.Number, splice.DialStatus(err), decide.NoLoadReport)
		return
	}
	placed.Conn = raw // Begin and Up order this before every use by the client side
	if !c.BeginWrite(a.Number) || c.Establish(a.Number) == nil {
		raw.Close()
		c.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return
	}
	placed.markEstablished()
}

// Probe asks whether a server takes connections; it is part of the core's server side. Load comes from the
// server's own node.
func (d *Dialer) Probe(to relay.Server, done func(decide.Status, decide.LoadReport)) {
	go func() {
		report, status := decide.NoLoadReport, decide.OK
		report.Load = to.Load
		raw, err := splice.Dial(context.Background(), to.Address, relay.Duration(d.config.ConnectMs))
		if err == nil {
			raw.Close()
		} else {
			status = splice.ProbeStatus(err)
		}
		done(status, report)
	}()
}
