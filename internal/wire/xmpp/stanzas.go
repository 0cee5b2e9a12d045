package xmpp

import (
	"errors"
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// A server that confirms nothing is sent a ping after 1/5 of SilenceTimeout. From 2/5 of SilenceTimeout
// without an answer to the ping, no more stanzas are forwarded to it. At SilenceTimeout it counts as lost.
const (
	pingAfterParts      = 1
	pingOverdueParts    = 2
	silenceTimeoutParts = 5
)

// forwardStanzas forwards stanzas until one side closes or the client is migrated. Nothing else writes to
// either connection, so what it adds never splits a stanza.
func (a *attempt) forwardStanzas() decide.Status {
	for {
		if a.forwardQueue(false) != nil {
			return a.endStream(remoteConnectionFailed, decide.Reset)
		}
		it, err := a.readItem(a.nextSilenceCheck())
		if migrating, serverSilent := a.Request.Migrating(); migrating {
			return a.migrate(serverSilent)
		}
		woken := errors.Is(err, errWoken)
		switch {
		case woken && a.Conn.Closed():
			a.Conn.Forward([]byte(streamEndTag))
			return decide.Cancelled
		case woken:
		case splice.TimedOut(err):
			if a.dialer.Clock.Now()-a.lastConfirmedAt >= a.dialer.SilenceTimeout {
				return a.endStream(connectionTimeout, decide.Reset)
			}
			if a.sendPing() != nil {
				return a.endStream(remoteConnectionFailed, decide.Reset)
			}
		case err != nil:
			return a.endStream(remoteConnectionFailed, decide.Reset)
		case it.kind == streamEnd:
			a.Conn.Forward([]byte(streamEndTag))
			return a.endStream(noCondition, decide.OK)
		case it.name == "stream:error":
			a.stream.write(it.raw)
			return a.endStream(noCondition, decide.Cancelled)
		default:
			a.lastConfirmedAt = a.dialer.Clock.Now()
			if a.takePong(it) {
				continue
			}
			if err := a.stream.write(it.raw); err != nil {
				a.logLostClient(err)
				return decide.Cancelled
			}
		}
	}
}

// logLostClient logs that a write to the client failed because the client does not read.
func (a *attempt) logLostClient(err error) {
	if !splice.TimedOut(err) {
		return
	}
	a.dialer.Log.Warn().
		Str("to", a.stream.host).
		Str("server", a.Server.ID).
		Dur("timeout_ms", splice.WriteTimeout).
		Msg("client does not read, its connection was reset; check the client and its network")
}

// forwardQueue forwards the client's queued items. While mustHoldQueue holds, the items stay queued unless
// all is set. Errors are errors of the connection.
func (a *attempt) forwardQueue(all bool) error {
	for {
		now := a.dialer.Clock.Now()
		if !all && a.mustHoldQueue(now) {
			return nil
		}
		it, ok := a.stream.pop()
		if !ok {
			return nil
		}
		if len(a.unconfirmed) == 0 {
			a.lastConfirmedAt = now
		}
		a.unconfirmed = append(a.unconfirmed, it)
		if err := a.Conn.Forward(it.raw); err != nil { // a partly written stanza is bounced too
			return err
		}
	}
}

// mustHoldQueue reports whether forwarding must wait for the server to confirm items: a ping is overdue or
// too many items are unconfirmed.
func (a *attempt) mustHoldQueue(now time.Duration) bool {
	overdue := a.dialer.SilenceTimeout * pingOverdueParts / silenceTimeoutParts
	pingLate := a.pingCovers > 0 && now-a.lastConfirmedAt >= overdue
	return pingLate || len(a.unconfirmed) >= maxQueuedItems || totalBytes(a.unconfirmed) >= maxQueuedBytes
}

func totalBytes(items []item) (n int) {
	for _, it := range items {
		n += len(it.raw)
	}
	return n
}

// nextSilenceCheck returns the time at which the server must be checked for silence; 0 means never.
func (a *attempt) nextSilenceCheck() time.Duration {
	switch {
	case len(a.unconfirmed) == 0:
		return 0
	case a.pingCovers > 0:
		return a.lastConfirmedAt + a.dialer.SilenceTimeout
	default:
		return a.lastConfirmedAt + a.dialer.SilenceTimeout*pingAfterParts/silenceTimeoutParts
	}
}

// sendPing sends the server a ping (XEP-0199). A server processes stanzas in order, so the answer confirms
// all stanzas sent before the ping. Errors are errors of the connection.
func (a *attempt) sendPing() error {
	a.pingsSent++
	a.pingCovers = len(a.unconfirmed)
	ping := fmt.Sprintf("<iq type='get' id='%s'><ping xmlns='urn:xmpp:ping'/></iq>", a.pingID())
	return a.Conn.Forward([]byte(ping))
}

// pingID returns the id of the latest ping.
func (a *attempt) pingID() string { return fmt.Sprintf("capersail-%d-%d", a.Request.ID, a.pingsSent) }

// takePong handles the answer to the relay's ping and returns whether the item is one. An error answer
// confirms as much as a result.
func (a *attempt) takePong(it item) bool {
	if it.name != "iq" || a.pingCovers == 0 || it.attrs["id"] != a.pingID() {
		return false
	}
	a.unconfirmed, a.pingCovers = a.unconfirmed[a.pingCovers:], 0
	return true
}

// endStream ends a stream whose server is lost, silent or has closed it. Unconfirmed and queued stanzas are
// returned to the client as errors, so that none is lost silently or sent twice.
func (a *attempt) endStream(c condition, status decide.Status) decide.Status {
	// Before the client sees the end of its stream, after which its goroutine reports a close by the client.
	a.Request.ServerClosed()
	bounced := a.unconfirmed
	if status == decide.OK || status == decide.Cancelled { // it had processed what it read
		bounced = nil
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
	if serverSilent || a.pingCovers > 0 || a.forwardQueue(true) != nil {
		return a.endStream(resetCondition, decide.Reset)
	}
	a.Conn.Forward([]byte(streamEndTag))
	return a.endStream(resetCondition, decide.Cancelled)
}
