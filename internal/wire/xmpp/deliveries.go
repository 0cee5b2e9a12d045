package xmpp

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// A server that confirms nothing is sent a ping after 1/5 of the silence timeout. From 2/5 of it without an
// answer to the ping, no more stanzas are forwarded to it. At the silence timeout it counts as lost.
const (
	pingAfterParts      = 1
	pingOverdueParts    = 2
	silenceTimeoutParts = 5
)

// pingAtFill is the part of the limits on unconfirmed items at which a ping is sent at once, so that a server
// that answers promptly confirms them before forwarding has to pause.
const pingAtFill = 0.5

// deliveries tracks which of the items that were written to a server the server has confirmed. A server
// processes stanzas in order (RFC 6120, section 10.1), so its answer to a ping (XEP-0199) or to an iq of the
// client confirms all items that were written before that ping or iq. What a server sends of its own accord
// confirms nothing.
//
// It is a state machine without I/O and without a clock. Instants are those of attempt.listeningTime.
type deliveries struct {
	pingPrefix       string // of the ids of pings; they end with a number from 1
	silenceTimeout   time.Duration
	unconfirmed      []sentItem // oldest first
	unconfirmedBytes int
	written          int           // items written so far
	confirmedAt      time.Duration // when the server last confirmed something, 0 for never
	pings            int           // pings sent so far
	pingCovers       int           // items that had been written when the latest ping was sent
}

// sentItem is an item that was written to a server.
type sentItem struct {
	item
	writtenAt time.Duration
	isRequest bool   // it is an iq that the server must answer
	id        string // of a request
}

// recordWrite records an item that is about to be written to the server, as a failed write may write it in
// part.
func (d *deliveries) recordWrite(it item, now time.Duration) {
	sent := sentItem{item: it, writtenAt: now}
	if it.name == "iq" && !isResponse(it) {
		sent.isRequest, sent.id = true, it.attribute("id")
	}
	d.unconfirmed = append(d.unconfirmed, sent)
	d.unconfirmedBytes += len(it.raw)
	d.written++
}

// recordReceived records an item that the server has sent. It reports whether it answers a ping, which the
// client must not receive. An error as the answer confirms as much as a result.
func (d *deliveries) recordReceived(it item, now time.Duration) (answersPing bool) {
	if it.name != "iq" {
		return false
	}
	id := it.attribute("id")
	if number, ok := d.pingNumber(id); ok {
		if number == d.pings {
			d.confirm(d.pingCovers, now)
		}
		return true
	}
	if isResponse(it) {
		d.confirmRequest(id, now)
	}
	return false
}

// pingNumber returns the number of the ping with an id, if one was sent.
func (d *deliveries) pingNumber(id string) (number int, ok bool) {
	digits, found := strings.CutPrefix(id, d.pingPrefix)
	if !found {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return number, err == nil && 0 < number && number <= d.pings
}

// isResponse reports whether a stanza answers another one.
func isResponse(it item) bool {
	kind := it.attribute("type")
	return kind == "result" || kind == "error"
}

// confirmRequest confirms the oldest unconfirmed iq request with an id, and all items written before it.
func (d *deliveries) confirmRequest(id string, now time.Duration) {
	for i, it := range d.unconfirmed {
		if it.isRequest && it.id == id {
			d.confirm(d.firstUnconfirmed()+i+1, now)
			return
		}
	}
}

// firstUnconfirmed returns how many items are confirmed, which is the index of the first one that is not.
func (d *deliveries) firstUnconfirmed() int { return d.written - len(d.unconfirmed) }

// confirm records at an instant that the first count items are confirmed.
func (d *deliveries) confirm(count int, now time.Duration) {
	d.confirmedAt = now
	for d.firstUnconfirmed() < count {
		d.unconfirmedBytes -= len(d.unconfirmed[0].raw)
		d.unconfirmed[0] = sentItem{} // the array behind the slice must not keep its text
		d.unconfirmed = d.unconfirmed[1:]
	}
}

// awaitsPing reports whether a ping that covers an unconfirmed item has no answer yet.
func (d *deliveries) awaitsPing() bool { return d.pings > 0 && d.pingCovers > d.firstUnconfirmed() }

// silentSince returns since when the server should have confirmed something. There must be an unconfirmed
// item.
func (d *deliveries) silentSince() time.Duration {
	return max(d.unconfirmed[0].writtenAt, d.confirmedAt)
}

// part returns a number of fifths of the silence timeout.
func (d *deliveries) part(parts time.Duration) time.Duration {
	return d.silenceTimeout * parts / silenceTimeoutParts
}

// pingDue reports whether the server must be sent a ping now.
func (d *deliveries) pingDue(now time.Duration) bool {
	if len(d.unconfirmed) == 0 || d.awaitsPing() {
		return false
	}
	return now-d.unconfirmed[0].writtenAt >= d.part(pingAfterParts) || d.fill() >= pingAtFill
}

// fill returns which part of the limits on unconfirmed items is used.
func (d *deliveries) fill() float64 {
	return max(float64(len(d.unconfirmed))/maxQueuedItems, float64(d.unconfirmedBytes)/maxQueuedBytes)
}

// nextPing records that a ping is sent, and returns it.
func (d *deliveries) nextPing() []byte {
	d.pings++
	d.pingCovers = d.written
	return fmt.Appendf(nil, "<iq type='get' id='%s%d'><ping xmlns='urn:xmpp:ping'/></iq>",
		d.pingPrefix, d.pings)
}

// pingLate reports whether a ping should have been answered by now.
func (d *deliveries) pingLate(now time.Duration) bool {
	return d.awaitsPing() && now-d.silentSince() >= d.part(pingOverdueParts)
}

// mustPause reports whether forwarding must wait until the server confirms items: a ping is late, or too many
// items are unconfirmed.
func (d *deliveries) mustPause(now time.Duration) bool { return d.pingLate(now) || d.fill() >= 1 }

// serverLost reports whether the server has confirmed nothing for the silence timeout.
func (d *deliveries) serverLost(now time.Duration) bool {
	return len(d.unconfirmed) > 0 && now-d.silentSince() >= d.silenceTimeout
}

// nextCheck returns the instant at which a ping becomes due or the server counts as lost; 0 means never.
func (d *deliveries) nextCheck() time.Duration {
	switch {
	case len(d.unconfirmed) == 0:
		return 0
	case d.awaitsPing():
		return d.silentSince() + d.silenceTimeout
	default:
		return d.unconfirmed[0].writtenAt + d.part(pingAfterParts)
	}
}
