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
		case it.name == streamErrorName:
			return a.endByStreamError(it)
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
	unconfirmed := a.deliveries.unconfirmedBytes
	answersPing := a.deliveries.recordReceived(it, a.listeningTime())
	a.stream.account.Add(a.deliveries.unconfirmedBytes - unconfirmed)
	if answersPing {
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

// endStream ends a stream whose server is lost, silent or has closed it.
func (a *attempt) endStream(c condition, status decide.Status) decide.Status {
	// Before the client sees the end of its stream, after which its goroutine reports a close by the client.
	a.Request.ServerClosed()
	if clientEnded := a.returnStanzas(status); clientEnded {
		c = noCondition
	}
	a.stream.sendOutcome(c, "")
	a.stream.client.Close(relay.GracefulClose)
	return status
}

// endByStreamError ends a stream with the stream error of its server.
func (a *attempt) endByStreamError(streamError item) decide.Status {
	a.Request.ServerClosed()
	a.returnStanzas(decide.Cancelled)
	a.stream.forwardStreamError(streamError)
	a.stream.client.Close(relay.GracefulClose)
	return decide.Cancelled
}

// returnStanzas returns unconfirmed and queued stanzas to the client as errors, so that none is lost silently
// or sent twice. status is how the attempt ended. It reports whether the client has ended its stream.
func (a *attempt) returnStanzas(status decide.Status) (clientEnded bool) {
	var undelivered []item
	if status != decide.OK && status != decide.Cancelled { // else the server had processed what it read
		for _, sent := range a.deliveries.unconfirmed {
			undelivered = append(undelivered, sent.item)
		}
	}
	for it, ok := a.stream.pop(); ok; it, ok = a.stream.pop() {
		clientEnded = clientEnded || it.kind == streamEnd
		undelivered = append(undelivered, it)
	}
	for _, it := range undelivered {
		if text := encodeBounce(it); text != "" {
			a.stream.write([]byte(text))
		}
	}
	return clientEnded
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
