package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"capersail/decide"
)

// Tally counts what all relays did together.
type Tally struct {
	Counts map[string]int
	// greatest number of requests that a server in slow start got within the overload window, as a fraction
	// of what overloads it
	SlowStartOverrun   float64
	LatestDrainForward time.Duration   // longest time from a relay's notice of a drain to a forward
	ServedTime         time.Duration   // connection time in all
	OverloadedTime     time.Duration   // connection time on servers whose load exceeded their capacity
	SetupWaits         []time.Duration // times from a client's first attempt to its connection
	DiscoveryCalls     []time.Duration // times of the calls to discovery
	MaxBudgetShares    float64         // the greatest sum of the relays' budget shares
	// longest time that a healthy server had no connections when a request was rejected for want of capacity
	LongestIdle time.Duration
}

// MaxCallRate returns the greatest number of calls to discovery in any second.
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

// OverloadedFraction returns the fraction of connection time on servers whose load exceeded their capacity.
func (t *Tally) OverloadedFraction() float64 {
	return t.OverloadedTime.Seconds() / max(t.ServedTime.Seconds(), 1e-9)
}

// String returns the Tally in a line.
func (t *Tally) String() string {
	return fmt.Sprintf("counts %v; overrun %.2f; late send %s; hot %.3f; idle %s; shares %.3f",
		t.Counts, t.SlowStartOverrun, t.LatestDrainForward, t.OverloadedFraction(), t.LongestIdle,
		t.MaxBudgetShares)
}

// recordSlowStartForward records a forward to a server in slow start and updates SlowStartOverrun. It follows
// the operators' stricter acceptance rule: the forwards within OverloadWindow are compared with N, which is
// OverloadFactor times the forwards that fill the server over its slow start. Two roots of N and two more are
// allowed for chance.
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

// recordRejection counts a rejection and, if it was for want of capacity, updates LongestIdle from the
// servers that could have taken the request.
func (f *Fleet) recordRejection(why decide.RejectReason) {
	f.count("refused: " + why.String())
	for _, s := range f.Servers {
		if why == decide.NoCapacity && s.idleSince >= 0 && s.State == decide.Ready && s.state == Healthy {
			f.Tally.LongestIdle = max(f.Tally.LongestIdle, f.Now-s.idleSince)
		}
	}
}

// recordBudgetShares updates MaxBudgetShares with the present sum of all relays' budget shares.
func (f *Fleet) recordBudgetShares() {
	sum := 0.0
	for _, r := range f.Relays {
		if r.up {
			sum += r.node.BudgetShare(r.localTime())
		}
	}
	f.Tally.MaxBudgetShares = max(f.Tally.MaxBudgetShares, sum)
}
