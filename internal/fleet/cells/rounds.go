package cells

import (
	"time"

	"capersail/internal/fleet/duration"
)

// The pace between cells.
const (
	minRound              = 5 * time.Second
	roundPerCell          = 300 * time.Millisecond // a round gets longer with the fleet, so that a speaker's packets a second don't grow
	minExpeditedRound     = 2 * time.Second
	expeditedPart         = 0.4 // of a round, for a quick one: 2.5 times the packets a second, for one round
	contactRotationRounds = 2
	lostCheckInterval     = time.Second // for cells that have become unheard
	// UnknownAfterRounds without a word make a cell unheard.
	UnknownAfterRounds  = 3
	informedAfterRounds = 1.2 // a new speaker has heard of all that can be heard
)

// pacer spreads summaries evenly over a round: one cell at a time, in turn.
type pacer struct {
	nextSummaryAt  time.Duration // when the next summary goes
	position       int           // whose turn it is
	expeditedLeft  int           // so many summaries are left of a quick round
	nextExpediteAt time.Duration // no other quick round before
	expediteAgain  bool          // one is due then
	outOfTurn      bool          // the last summary was
}

// Round is how long it takes a speaker to tell each other cell once, by the number of all cells.
func Round(cells int) time.Duration { return max(minRound, roundPerCell*time.Duration(cells)) }

func (c *Coordinator) round() time.Duration { return Round(len(c.cellNames) + 1) }

// summaryInterval is the time between two summaries.
func (c *Coordinator) summaryInterval() time.Duration {
	round := c.round()
	if c.pace.expeditedLeft > 0 {
		round = max(minExpeditedRound, duration.Scale(round, expeditedPart))
	}
	cells := time.Duration(max(len(c.cellNames), 1))
	return (round + cells - 1) / cells // rounded up: a cell's next turn comes no sooner than a round later
}

// expedite starts a quick round, at most one in the time of a round: what comes sooner after is told in the ordinary round first.
func (c *Coordinator) expedite(now time.Duration) {
	if now < c.pace.nextExpediteAt {
		c.pace.expediteAgain = true
		return
	}
	c.pace.expediteAgain = false
	c.pace.expeditedLeft = len(c.cellNames)
	c.pace.nextExpediteAt = now + c.round()
	c.pace.nextSummaryAt = min(c.pace.nextSummaryAt, now+c.summaryInterval())
}

// sendSummaryDue sends what is due. After a pause it doesn't make up for what it has missed.
func (c *Coordinator) sendSummaryDue(now time.Duration, out []Action) []Action {
	if len(c.cellNames) == 0 || now < c.pace.nextSummaryAt {
		return out
	}
	if c.pace.expediteAgain && now >= c.pace.nextExpediteAt {
		c.expedite(now)
	}
	out = c.sendNextSummary(now, out)
	if c.pace.nextSummaryAt += c.summaryInterval(); c.pace.nextSummaryAt <= now {
		c.pace.nextSummaryAt = now + c.summaryInterval()
	}
	return out
}

func (c *Coordinator) sendNextSummary(now time.Duration, out []Action) []Action {
	c.pace.outOfTurn = !c.pace.outOfTurn // at most every other one, so that the round goes on
	for _, name := range c.cellNames {
		if r := c.remotes[name]; r.expedited && c.pace.outOfTurn {
			r.sentEarly = true
			return c.sendSummaryTo(now, r, out)
		}
	}
	c.pace.outOfTurn = false
	return c.sendSummaryTo(now, c.nextInTurn(), out)
}

// nextInTurn is the cell whose turn it is. One that was told out of turn is passed over once, so that a round takes no longer.
func (c *Coordinator) nextInTurn() *remote {
	for {
		if c.pace.expeditedLeft > 0 {
			c.pace.expeditedLeft--
		}
		c.pace.position = (c.pace.position + 1) % len(c.cellNames)
		r := c.remotes[c.cellNames[c.pace.position]]
		if !r.sentEarly {
			return r
		}
		r.sentEarly = false
	}
}

func (c *Coordinator) sendSummaryTo(now time.Duration, r *remote, out []Action) []Action {
	r.expedited = false
	r.sentTo = r.address(now, c.round(), c.representingSince)
	if r.sentTo == "" {
		return out
	}
	c.summarySeq++
	return append(out, SendSummary{Address: r.sentTo, Cell: r.name, Summary: c.summary()})
}

// Next is when the Coordinator wants a Tick; duration.Forever for not before the next event.
func (c *Coordinator) Next() time.Duration {
	if !c.representing {
		return duration.Forever
	}
	next := c.directoryDue()
	if len(c.cellNames) > 0 {
		next = min(next, c.pace.nextSummaryAt)
	}
	return next
}
