package xmpp

import (
	"errors"
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// A server that confirms nothing is sent a ping after a fifth of the silence that it is given up for, and is
// forwarded no more once the ping is out at two fifths.
const (
	pingAfterParts      = 1
	pingOverdueParts    = 2
	silenceTimeoutParts = 5
)

// forwardStanzas forwards stanzas until one side ends or the client is migrated. It alone writes to both
// ends, so whatever it adds stands between two stanzas.
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
			if !a.takePong(it) && a.stream.write(it.raw) != nil {
				return decide.Cancelled
			}
		}
	}
}

// forwardQueue forwards what the client has queued. While a ping is out and late, and while too much is
// unconfirmed, it stays queued, unless all is set. Its error is the connection's.
func (a *attempt) forwardQueue(all bool) error {
	for {
		now := a.dialer.Clock.Now()
		if !all && a.mustHold(now) {
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
		if err := a.Conn.Forward(it.raw); err != nil { // a part of a stanza is none: it is bounced too
			return err
		}
	}
}

// mustHold tells whether the server has to confirm something before it is forwarded more.
func (a *attempt) mustHold(now time.Duration) bool {
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

// nextSilenceCheck is the instant at which the server's silence is to be checked; 0 is never.
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

// sendPing asks the server for a sign of life (XEP-0199). Stanzas are taken in order, so its answer confirms
// all that went before it. Its error is the connection's.
func (a *attempt) sendPing() error {
	a.pingsSent++
	a.pingCovers = len(a.unconfirmed)
	ping := fmt.Sprintf("<iq type='get' id='%s'><ping xmlns='urn:xmpp:ping'/></iq>", a.pingID())
	return a.Conn.Forward([]byte(ping))
}

// pingID is the id of the ping that was sent last.
func (a *attempt) pingID() string { return fmt.Sprintf("capersail-%d-%d", a.Request.ID, a.pingsSent) }

// takePong takes the answer to the relay's own ping, and returns whether the item is one; an error is as good
// as a result.
func (a *attempt) takePong(it item) bool {
	if it.name != "iq" || a.pingCovers == 0 || it.attrs["id"] != a.pingID() {
		return false
	}
	a.unconfirmed, a.pingCovers = a.unconfirmed[a.pingCovers:], 0
	return true
}

// endStream ends a stream whose server is gone, silent or done. What the server has not confirmed, and what
// is still queued, comes back to the client as errors: never lost silently, never sent twice.
func (a *attempt) endStream(c condition, status decide.Status) decide.Status {
	a.Request.ServerClosed() // before the client sees the end: its goroutine then reports that it has left
	back := a.unconfirmed
	if status == decide.OK || status == decide.Cancelled { // it ended its stream after what it had read
		back = nil
	}
	for it, ok := a.stream.pop(); ok; it, ok = a.stream.pop() {
		if it.kind == streamEnd {
			c = noCondition
		}
		back = append(back, it)
	}
	for _, it := range back {
		if text := encodeBounce(it); text != "" {
			a.stream.write([]byte(text))
		}
	}
	a.stream.sendOutcome(c, "")
	a.stream.client.Close(relay.GracefulClose)
	return status
}

// migrate ends the client's stream with a reset, after what it has sent so far, so that it opens it again.
func (a *attempt) migrate(serverSilent bool) decide.Status {
	if serverSilent || a.pingCovers > 0 || a.forwardQueue(true) != nil {
		return a.endStream(resetCondition, decide.Reset)
	}
	a.Conn.Forward([]byte(streamEndTag))
	return a.endStream(resetCondition, decide.Cancelled)
}
