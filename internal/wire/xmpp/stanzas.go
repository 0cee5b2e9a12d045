package xmpp

import (
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// forwardStanzas passes stanzas until one side ends or the client is to be moved. It alone writes to both ends, so
// whatever it adds stands between two stanzas.
func (at *attempt) forwardStanzas() decide.Status {
	for {
		if err := at.forwardQueue(false); err != nil {
			return at.endStream("remote-connection-failed", decide.Reset)
		}
		it, err := at.readItem(at.nextSilenceCheck())
		if moving, silent := at.c.Migrating(); moving {
			return at.migrate(silent)
		}
		switch {
		case err == errWoken && at.e.Closed():
			at.e.Forward([]byte("</stream:stream>"))
			return decide.Cancelled
		case err == errWoken:
		case splice.TimedOut(err):
			if at.dialer.Clock.Now()-at.lastConfirmedAt >= at.dialer.SilenceTimeout {
				return at.endStream("connection-timeout", decide.Reset)
			}
			if at.sendPing() != nil {
				return at.endStream("remote-connection-failed", decide.Reset)
			}
		case err != nil:
			return at.endStream("remote-connection-failed", decide.Reset)
		case it.kind == streamEnd:
			at.e.Forward([]byte("</stream:stream>"))
			return at.endStream("", decide.OK)
		case it.name == "stream:error":
			at.stream.write(it.raw)
			return at.endStream("", decide.Cancelled)
		default:
			at.lastConfirmedAt = at.dialer.Clock.Now()
			if at.takePong(it) {
				continue
			}
			if at.stream.write(it.raw) != nil {
				return decide.Cancelled
			}
		}
	}
}

// forwardQueue writes what the client has queued. While a ping is out and late, and while too much is
// unconfirmed, it stays queued; all does without that.
func (at *attempt) forwardQueue(all bool) error {
	for {
		now := at.dialer.Clock.Now()
		if late := at.pingCovers > 0 && now-at.lastConfirmedAt >= at.dialer.SilenceTimeout*2/5; !all && (late || len(at.unconfirmed) >= maxQueuedItems || totalBytes(at.unconfirmed) >= maxQueuedBytes) {
			return nil
		}
		it, ok := at.stream.pop()
		if !ok {
			return nil
		}
		if len(at.unconfirmed) == 0 {
			at.lastConfirmedAt = now
		}
		at.unconfirmed = append(at.unconfirmed, it)
		if err := at.e.Forward(it.raw); err != nil { // a part of a stanza is none: what was cut off is bounced too
			return err
		}
	}
}

func totalBytes(items []item) (n int) {
	for _, it := range items {
		n += len(it.raw)
	}
	return n
}

// nextSilenceCheck is when the server's silence is to be looked at.
func (at *attempt) nextSilenceCheck() time.Duration {
	switch {
	case len(at.unconfirmed) == 0:
		return 0
	case at.pingCovers > 0:
		return at.lastConfirmedAt + at.dialer.SilenceTimeout
	default:
		return at.lastConfirmedAt + at.dialer.SilenceTimeout/5
	}
}

// sendPing asks the server for a sign of life (XEP-0199). Stanzas are taken in order, so its answer confirms all
// that went before it.
func (at *attempt) sendPing() error {
	at.pingsSent++
	at.pingCovers = len(at.unconfirmed)
	return at.e.Forward(fmt.Appendf(nil, "<iq type='get' id='capersail-%d-%d'><ping xmlns='urn:xmpp:ping'/></iq>", at.c.ID, at.pingsSent))
}

// takePong takes the answer to our own ping; an error is as good as a result.
func (at *attempt) takePong(it item) bool {
	if it.name != "iq" || at.pingCovers == 0 || it.attrs["id"] != fmt.Sprintf("capersail-%d-%d", at.c.ID, at.pingsSent) {
		return false
	}
	at.unconfirmed, at.pingCovers = at.unconfirmed[at.pingCovers:], 0
	return true
}

// endStream ends a stream whose server is gone, silent or done. What the server has not confirmed, and what is
// still queued, comes back to the client as errors: never endStream without a word, never sent twice.
func (at *attempt) endStream(condition string, status decide.Status) decide.Status {
	at.c.ServerClosed() // before the client is told: its goroutine then says that it has left
	back := at.unconfirmed
	if status == decide.OK || status == decide.Cancelled { // it ended its stream in order, after what it had read
		back = nil
	}
	for it, ok := at.stream.pop(); ok; it, ok = at.stream.pop() {
		if it.kind == streamEnd {
			condition = ""
		}
		back = append(back, it)
	}
	for _, it := range back {
		if text := encodeBounce(it); text != "" {
			at.stream.write([]byte(text))
		}
	}
	at.stream.sendOutcome(condition, "")
	at.stream.client.Close(relay.GracefulClose)
	return status
}

// migrate sends the client away, after what it has sent so far.
func (at *attempt) migrate(silent bool) decide.Status {
	if silent || at.pingCovers > 0 || at.forwardQueue(true) != nil {
		return at.endStream("reset", decide.Reset)
	}
	at.e.Forward([]byte("</stream:stream>"))
	return at.endStream("reset", decide.Cancelled)
}
