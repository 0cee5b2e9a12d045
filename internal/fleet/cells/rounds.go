package cells

import (
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// minRound is the minimum duration of a round. Beyond it a round takes roundPerCell for each cell, so
	// that a representative's packet rate does not grow with the fleet.
	minRound     = 5 * time.Second
	roundPerCell = 300 * time.Millisecond
	// expeditedRoundFraction is the duration of an expedited round as a fraction of a normal round; it takes
	// at least minExpeditedRound. For one round this sends 2.5 times as many packets per second.
	expeditedRoundFraction = 0.4
	minExpeditedRound      = 2 * time.Second
	// contactRotationRounds is the number of rounds without a summary from a cell after which its next
	// contact is used.
	contactRotationRounds = 2
	// UnknownAfterRounds is the number of rounds without a summary after which a cell is unknown.
	UnknownAfterRounds = 3
	// lostCheckInterval is the time between two checks for lost cells.
	lostCheckInterval = time.Second
	// readyToPublishAfterRounds is the number of rounds after which a new representative has received the
	// summaries of all cells that can be reached.
	readyToPublishAfterRounds = 1.2
)

// pacer spreads summaries evenly over a round: it sends to one cell at a time, in turn.
//
// Invariants: of two consecutive summaries at most one is out of turn, so that the round makes progress; at
// most one expedited round starts within the duration of a round.
type pacer struct {
	nextSummaryAt   time.Duration
	lastIndex       int           // in the names of the cells: the last one that had its turn
	expeditedLeft   int           // number of summaries left in an expedited round
	nextExpediteAt  time.Duration // earliest start of the next expedited round
	expeditePending bool          // another expedited round is due at nextExpediteAt
	lastOutOfTurn   bool          // the last summary was sent out of turn
}

// RoundDuration returns how long a representative takes to send one summary to each other cell, given the
// number of all cells.
func RoundDuration(cells int) time.Duration { return max(minRound, roundPerCell*time.Duration(cells)) }

func (c *Coordinator) round() time.Duration { return RoundDuration(len(c.cellNames) + 1) }

// summaryInterval returns the time between two summaries.
func (c *Coordinator) summaryInterval() time.Duration {
	round := c.round()
	if c.pacer.expeditedLeft > 0 {
		round = max(minExpeditedRound, duration.Scale(round, expeditedRoundFraction))
	}
	cells := time.Duration(max(len(c.cellNames), 1))
	return (round + cells - 1) / cells // rounded up, so that a cell's next turn is at least a round later
}

// expedite starts an expedited round, at most once within the duration of a round. A change that follows
// sooner is sent in the normal round first, and in another expedited round as soon as one may start.
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

// sendSummaryDue sends a summary if one is due. Summaries missed during a pause are not made up for.
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

// sendNextSummary sends a summary to a cell that is due out of turn, if there is one and the last summary was
// in turn, and otherwise to the next cell in turn.
func (c *Coordinator) sendNextSummary(now time.Duration, out []Action) []Action {
	c.pacer.lastOutOfTurn = !c.pacer.lastOutOfTurn
	for _, name := range c.cellNames {
		if r := c.remotes[name]; r.summaryDueEarly && c.pacer.lastOutOfTurn {
			r.sentOutOfTurn = true
			return c.sendSummaryTo(now, r, out)
		}
	}
	c.pacer.lastOutOfTurn = false
	return c.sendSummaryTo(now, c.nextInTurn(), out)
}

// nextInTurn returns the cell whose turn it is. A cell that was sent a summary out of turn is skipped once,
// so that the round does not take longer.
func (c *Coordinator) nextInTurn() *remoteCell {
	for {
		if c.pacer.expeditedLeft > 0 {
			c.pacer.expeditedLeft--
		}
		c.pacer.lastIndex = (c.pacer.lastIndex + 1) % len(c.cellNames)
		r := c.remotes[c.cellNames[c.pacer.lastIndex]]
		if !r.sentOutOfTurn {
			return r
		}
		r.sentOutOfTurn = false
	}
}

// sendSummaryTo sends a summary to a cell, if an address is known.
func (c *Coordinator) sendSummaryTo(now time.Duration, r *remoteCell, out []Action) []Action {
	r.summaryDueEarly = false
	r.lastAddress = r.nextAddress(now, c.round(), c.election.representingSince)
	if r.lastAddress == "" {
		return out
	}
	c.summarySeq++
	return append(out, SendSummary{Address: r.lastAddress, Cell: r.name, Summary: c.summary()})
}

// NextTickAt returns when the Coordinator needs a Tick, or duration.DistantFuture if it needs none before the
// next event.
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
