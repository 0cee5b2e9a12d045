package cells

import (
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// minRound is the shortest round. A round gets longer by roundPerCell, so that a representative's
	// packets a second don't grow with the fleet.
	minRound     = 5 * time.Second
	roundPerCell = 300 * time.Millisecond
	// expeditedRoundFraction of a round is an expedited one, at least minExpeditedRound: 2.5 times the packets a
	// second, once.
	expeditedRoundFraction = 0.4
	minExpeditedRound      = 2 * time.Second
	// contactRotationRounds without a word let a cell's next contact be taken.
	contactRotationRounds = 2
	// UnknownAfterRounds without a word make a cell unknown.
	UnknownAfterRounds = 3
	// lostCheckInterval is the time between two checks for cells that have become unknown.
	lostCheckInterval = time.Second
	// readyToPublishAfterRounds a new representative has the summaries of all cells that can be reached.
	readyToPublishAfterRounds = 1.2
)

// pacer spreads summaries evenly over a round: one cell at a time, in turn.
//
// Invariants: of two summaries at most one is out of turn, so that the round goes on; an expedited round
// begins at most once in the time of a round.
type pacer struct {
	nextSummaryAt   time.Duration
	position        int           // in the names of the cells: whose turn it was last
	expeditedLeft   int           // so many summaries are left of an expedited round
	nextExpediteAt  time.Duration // no other expedited round before this
	expeditePending bool          // one is due then
	lastOutOfTurn   bool          // the last summary was
}

// RoundDuration is how long it takes a representative to tell each other cell once, by the number of all cells.
func RoundDuration(cells int) time.Duration { return max(minRound, roundPerCell*time.Duration(cells)) }

func (c *Coordinator) round() time.Duration { return RoundDuration(len(c.cellNames) + 1) }

// summaryInterval is the time between two summaries.
func (c *Coordinator) summaryInterval() time.Duration {
	round := c.round()
	if c.pacer.expeditedLeft > 0 {
		round = max(minExpeditedRound, duration.Scale(round, expeditedRoundFraction))
	}
	cells := time.Duration(max(len(c.cellNames), 1))
	return (round + cells - 1) / cells // rounded up: a cell's next turn comes no sooner than a round later
}

// expedite starts an expedited round, at most one in the time of a round: what comes sooner after is sent
// in the ordinary round first.
func (c *Coordinator) expedite(now time.Duration) {
	if now < c.pacer.nextExpediteAt {
		c.pacer.expeditePending = true
		return
	}
	c.pacer.expeditePending = false
	c.pacer.expeditedLeft = len(c.cellNames)
	c.pacer.nextExpediteAt = now + c.round()
	c.pacer.nextSummaryAt = min(c.pacer.nextSummaryAt, now+c.summaryInterval())
}

// sendSummaryDue sends what is due. After a pause it doesn't make up for what it has missed.
func (c *Coordinator) sendSummaryDue(now time.Duration, out []Action) []Action {
	if len(c.cellNames) == 0 || now < c.pacer.nextSummaryAt {
		return out
	}
	if c.pacer.expeditePending && now >= c.pacer.nextExpediteAt {
		c.expedite(now)
	}
	out = c.sendNextSummary(now, out)
	c.pacer.nextSummaryAt += c.summaryInterval()
	if c.pacer.nextSummaryAt <= now {
		c.pacer.nextSummaryAt = now + c.summaryInterval()
	}
	return out
}

// sendNextSummary sends to a cell out of turn, if one is waiting and the last was in turn, else to the
// next in turn.
func (c *Coordinator) sendNextSummary(now time.Duration, out []Action) []Action {
	c.pacer.lastOutOfTurn = !c.pacer.lastOutOfTurn
	for _, name := range c.cellNames {
		if r := c.remotes[name]; r.expedited && c.pacer.lastOutOfTurn {
			r.sentOutOfTurn = true
			return c.sendSummaryTo(now, r, out)
		}
	}
	c.pacer.lastOutOfTurn = false
	return c.sendSummaryTo(now, c.nextInTurn(), out)
}

// nextInTurn is the cell whose turn it is. One that was sent to out of turn is passed over once, so that a
// round takes no longer.
func (c *Coordinator) nextInTurn() *remoteCell {
	for {
		if c.pacer.expeditedLeft > 0 {
			c.pacer.expeditedLeft--
		}
		c.pacer.position = (c.pacer.position + 1) % len(c.cellNames)
		r := c.remotes[c.cellNames[c.pacer.position]]
		if !r.sentOutOfTurn {
			return r
		}
		r.sentOutOfTurn = false
	}
}

// sendSummaryTo sends a summary to a cell, if there is an address for it.
func (c *Coordinator) sendSummaryTo(now time.Duration, r *remoteCell, out []Action) []Action {
	r.expedited = false
	r.lastAddress = r.nextAddress(now, c.round(), c.election.representingSince)
	if r.lastAddress == "" {
		return out
	}
	c.summarySeq++
	return append(out, SendSummary{Address: r.lastAddress, Cell: r.name, Summary: c.summary()})
}

// NextTickAt is when the Coordinator wants a Tick; duration.Forever for not before the next event.
func (c *Coordinator) NextTickAt() time.Duration {
	if !c.election.isRepresentative {
		return duration.DistantFuture
	}
	next := c.directory.publishDueAt()
	if len(c.cellNames) > 0 {
		next = min(next, c.pacer.nextSummaryAt)
	}
	return next
}
