package connlimit

import (
	"time"

	"golang.org/x/time/rate"
)

// Input is counted in units: one for each line or stanza, and one for each inputUnitBytes of their text. A
// client that sends faster than its own rate shares the rest with all others that do, so that however many
// they are, the processor is left to the others.
const (
	inputUnitBytes       = 128
	ownUnitsPerSecond    = 100 // an ordinary client sends a line in two seconds
	ownUnitsBurst        = 512
	sharedUnitsPerSecond = 4000
	sharedUnitsBurst     = 1000
)

// Clients that reconnect as soon as they are turned away wait in the queue of the listening socket instead of
// using up the processor.
const (
	acceptsPerSecond = 1000
	acceptBurst      = 500
)

// Pace waits until the relay may process input of the client: a number of lines or stanzas, or of bytes. It
// returns early if the connection is woken or closed. If the client has left, the error is that of
// splice.Conn.PeerGone, and the input must not be processed. Only the goroutine that reads the client calls
// it.
func (p *Permit) Pace(messages, bytes int) error {
	units := messages + bytes/inputUnitBytes
	now := time.Now()
	if units > 0 && !p.ownRate.AllowN(now, units) {
		p.Conn.Pause(p.limiter.sharedRate.ReserveN(now, units).DelayFrom(now))
	}
	return p.Conn.PeerGone()
}

// paceAccept waits until one more connection may be accepted.
func (l *Limiter) paceAccept() {
	now := time.Now()
	time.Sleep(l.acceptRate.ReserveN(now, 1).DelayFrom(now))
}

func newOwnRate() *rate.Limiter { return rate.NewLimiter(ownUnitsPerSecond, ownUnitsBurst) }
