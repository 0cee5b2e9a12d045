package xmpp

import (
	"errors"
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// forwardStanzas forwards stanzas until one side closes or the client is migrated. Nothing else writes to
// either connection, so what it adds never splits a stanza.
func (a *attempt) forwardStanzas() decide.Status {
	a.deliveries.pingPrefix = fmt.Sprintf("capersail-%d-", a.Request.ID)
	a.deliveries.silenceTimeout = a.dialer.SilenceTimeout
	for {
		if a.deliveries.serverLost(a.listeningTime()) {
			return a.endStream(connectionTimeout, decide.Reset)
		}
		if a.forwardQueue(false) != nil || a.pingIfDue() != nil {
			return a.endStream(remoteConnectionFailed, decide.Reset)
		}
		it, err := a.readItem(a.nextSilenceCheck())
		// An item that was read is forwarded first. The next read is interrupted by the migration.
		if migrating, serverSilent := a.Request.Migrating(); migrating && err != nil {
			return a.migrate(serverSilent)
		}
		woken := errors.Is(err, errWoken)
		switch {
		case woken && a.Conn.Closed():
			a.Conn.Forward([]byte(streamEndTag))
			return decide.Cancelled
		case woken || splice.TimedOut(err):
		case err != nil:
			return a.endStream(remoteConnectionFailed, decide.Reset)
		case it.kind == streamEnd:
			a.Conn.Forward([]byte(streamEndTag))
			return a.endStream(noCondition, decide.OK)
		case it.name == "stream:error":
			a.stream.write(it.raw)
			return a.endStream(noCondition, decide.Cancelled)
		default:
			if a.forwardToClient(it) != nil {
				return decide.Cancelled
			}
		}
	}
}

// listeningTime returns the instant of a clock that stands still while a write to the client is blocked. The
// server's answer may wait behind that write, so the time does not count as silence of the server.
func (a *attempt) listeningTime() time.Duration { return a.dialer.Clock.Now() - a.clientWriteTime }

// nextSilenceCheck returns the instant of the relay's clock at which the server must be checked for silence;
// 0 means never.
func (a *attempt) nextSilenceCheck() time.Duration {
	at := a.deliveries.nextCheck()
	if at == 0 {
		return 0
	}
	return at + a.clientWriteTime
}

// forwardToClient forwards an item of the server to the client, unless it answers a ping of the relay. An
// error means that the stream has ended at the client.
func (a *attempt) forwardToClient(it item) error {
	if a.deliveries.recordReceived(it, a.listeningTime()) {
		return nil
	}
	began := a.dialer.Clock.Now()
	err := a.stream.write(it.raw)
	a.clientWriteTime += a.dialer.Clock.Now() - began
	if splice.TimedOut(err) {
		a.dialer.Log.Warn().
			Str("to", a.stream.host).
			Str("server", a.Server.ID).
			Dur("timeout_ms", splice.WriteTimeout).
			Msg("client does not read, its connection was reset; check the client and its network")
	}
	return err
}

// forwardQueue forwards the client's queued items. While the server must confirm others first, the items stay
// queued unless all is set. Errors are errors of the connection.
func (a *attempt) forwardQueue(all bool) error {
	for {
		now := a.listeningTime()
		if !all && a.deliveries.mustPause(now) {
			return nil
		}
		it, ok := a.stream.pop()
		if !ok {
			return nil
		}
		a.deliveries.recordWrite(it, now)
		if err := a.Conn.Forward(it.raw); err != nil { // a partly written stanza is bounced too
			return err
		}
	}
}

// pingIfDue sends the server a ping if one is due. Errors are errors of the connection.
func (a *attempt) pingIfDue() error {
	if !a.deliveries.pingDue(a.listeningTime()) {
		return nil
	}
	return a.Conn.Forward(a.deliveries.nextPing())
}

// endStream ends a stream whose server is lost, silent or has closed it. Unconfirmed and queued stanzas are
// returned to the client as errors, so that none is lost silently or sent twice.
func (a *attempt) endStream(c condition, status decide.Status) decide.Status {
	// Before the client sees the end of its stream, after which its goroutine reports a close by the client.
	a.Request.ServerClosed()
	var bounced []item
	if status != decide.OK && status != decide.Cancelled { // else it had processed what it read
		for _, sent := range a.deliveries.unconfirmed {
			bounced = append(bounced, sent.item)
		}
	}
	for it, ok := a.stream.pop(); ok; it, ok = a.stream.pop() {
		if it.kind == streamEnd {
			c = noCondition
		}
		bounced = append(bounced, it)
	}
	for _, it := range bounced {
		if text := encodeBounce(it); text != "" {
			a.stream.write([]byte(text))
		}
	}
	a.stream.sendOutcome(c, "")
	a.stream.client.Close(relay.GracefulClose)
	return status
}

// migrate forwards what the client has sent so far and then ends its stream with the condition reset, so that
// the client opens it again.
func (a *attempt) migrate(serverSilent bool) decide.Status {
	if serverSilent || a.deliveries.pingLate(a.listeningTime()) || a.forwardQueue(true) != nil {
		return a.endStream(resetCondition, decide.Reset)
	}
	a.Conn.Forward([]byte(streamEndTag))
	return a.endStream(resetCondition, decide.Cancelled)
}
