package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"capersail/decide"
)

// Tally is what all relays did together.
type Tally struct {
	Counts map[string]int
	// most that a server in slow start was sent, as a part of what overloads it
	SlowStartOverrun   float64
	LatestDrainForward time.Duration   // longest after a drain was known that something new was sent
	ServedTime         time.Duration   // connection time in all
	OverloadedTime     time.Duration   // and on servers asked for more than they can do
	SetupWaits         []time.Duration // from a client's first attempt to its connection
	DiscoveryCalls     []time.Duration // when discovery was called
	MaxBudgetShares    float64         // the greatest sum of the relays' shares of a budget
	// longest that a server held nothing while clients were rejected for want of capacity
	LongestIdle time.Duration
}

// MaxCallRate is the greatest number of calls to discovery in any second.
func (t *Tally) MaxCallRate() (most int) {
	for i, at := range t.DiscoveryCalls {
		n := 0
		for _, other := range t.DiscoveryCalls[i:] {
			if other-at < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// OverloadedPart is the part of connection time on servers asked for more than they can do.
func (t *Tally) OverloadedFraction() float64 {
	return t.OverloadedTime.Seconds() / max(t.ServedTime.Seconds(), 1e-9)
}

// String is the Tally in a line.
func (t *Tally) String() string {
	return fmt.Sprintf("counts %v; overrun %.2f; late send %s; hot %.3f; idle %s; shares %.3f",
		t.Counts, t.SlowStartOverrun, t.LatestDrainForward, t.OverloadedFraction(), t.LongestIdle, t.MaxBudgetShares)
}

// noteSlowStartSend counts what a server in slow start is sent, as the operators' stricter acceptance has the
// rule: within a window, against a multiple of what fills it over its warm-up, with two roots and two put
// down to chance.
func (f *Fleet) recordSlowStartForward(s *Server) {
	rules := f.settings.Rules
	uptime := f.Now - s.StartedAt
	if s.StartedAt == 0 || uptime > rules.SlowStartWindow {
		return
	}
	s.recentForwards = append(s.recentForwards, f.Now)
	past := func(at time.Duration) bool { return f.Now-at > rules.OverloadWindow }
	s.recentForwards = slices.DeleteFunc(s.recentForwards, past)
	window, warmUp := rules.OverloadWindow.Seconds(), rules.SlowStartWindow.Seconds()
	allowed := rules.OverloadFactor * f.slowStartFactor(s) * window / (f.connectionLoad * warmUp)
	allowed += 2*math.Sqrt(allowed) + 2
	f.Tally.SlowStartOverrun = max(f.Tally.SlowStartOverrun, float64(len(s.recentForwards))/allowed)
}

// noteRejection counts a rejection, and how long servers have stood idle that could have taken it.
func (f *Fleet) recordRejection(why decide.RejectReason) {
	f.count("refused: " + why.String())
	for _, s := range f.Servers {
		if why == decide.NoCapacity && s.idleSince >= 0 && s.State == decide.Ready && s.state == Healthy {
			f.Tally.LongestIdle = max(f.Tally.LongestIdle, f.Now-s.idleSince)
		}
	}
}

// noteBudgetShares notes the sum of what all relays may take of a budget.
func (f *Fleet) recordBudgetShares() {
	sum := 0.0
	for _, r := range f.Relays {
		if r.up {
			sum += r.node.BudgetShare(r.localTime())
		}
	}
	f.Tally.MaxBudgetShares = max(f.Tally.MaxBudgetShares, sum)
}
