package cells

import "math"

// The pace between cells, in milliseconds.
const (
	second                = 1000.0
	minRound              = 5 * second
	roundPerCell          = 0.3 * second // a round gets longer with the fleet, so that a speaker's packets a second don't grow
	minExpeditedRound     = 2 * second
	expeditedPart         = 0.4 // of a round, for a quick one: 2.5 times the packets a second, for one round
	contactRotationRounds = 2
	lostCheckInterval     = second // for cells that have become unheard
	// UnknownAfterRounds without a word make a cell unheard.
	UnknownAfterRounds  = 3
	informedAfterRounds = 1.2 // a new speaker has heard of all that can be heard
)

// pacer spreads summaries evenly over a round: one cell at a time, in turn.
type pacer struct {
	nextSummaryAt  float64 // when the next summary goes
	position       int     // whose turn it is
	expeditedLeft  int     // so many summaries are left of a quick round
	nextExpediteAt float64 // no other quick round before
	expediteAgain  bool    // one is due then
	outOfTurn      bool    // the last summary was
}

// Round is how long it takes a speaker to tell each other cell once, by the number of all cells.
func Round(cells int) float64 { return max(minRound, roundPerCell*float64(cells)) }

func (c *Coordinator) round() float64 { return Round(len(c.cellNames) + 1) }

// summaryInterval is the time between two summaries.
func (c *Coordinator) summaryInterval() float64 {
	round := c.round()
	if c.pace.expeditedLeft > 0 {
		round = max(minExpeditedRound, expeditedPart*round)
	}
	return round / float64(max(len(c.cellNames), 1))
}

// expedite starts a quick round, at most one in the time of a round: what comes sooner after is told in the ordinary round first.
func (c *Coordinator) expedite(now float64) {
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
func (c *Coordinator) sendSummaryDue(now float64, out []Action) []Action {
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

func (c *Coordinator) sendNextSummary(now float64, out []Action) []Action {
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

func (c *Coordinator) sendSummaryTo(now float64, r *remote, out []Action) []Action {
	r.expedited = false
	r.sentTo = r.address(now, c.round(), c.representingSince)
	if r.sentTo == "" {
		return out
	}
	c.summarySeq++
	return append(out, SendSummary{Address: r.sentTo, Cell: r.name, Summary: c.summary()})
}

// Next is when the Coordinator wants a Tick; infinite for not before the next event.
func (c *Coordinator) Next() float64 {
	if !c.representing {
		return math.Inf(1)
	}
	next := c.directoryDue()
	if len(c.cellNames) > 0 {
		next = min(next, c.pace.nextSummaryAt)
	}
	return next
}
