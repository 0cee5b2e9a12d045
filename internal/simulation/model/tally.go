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
	Counts         map[string]int
	Overrun        float64         // most that a cold server was sent, as a part of what makes it fall over
	LateSend       time.Duration   // longest after word of a drain that something new was sent
	Served         time.Duration   // connection time in all
	Overloaded     time.Duration   // and on servers asked for more than they can do
	Waits          []time.Duration // from a client's first try to its connection
	DiscoveryCalls []time.Duration // when discovery was called
	MaxShares      float64         // the greatest sum of the relays' shares of a budget
	LongestIdle    time.Duration   // longest that a server held nothing while clients were refused for want of room
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
func (t *Tally) OverloadedPart() float64 {
	return t.Overloaded.Seconds() / max(t.Served.Seconds(), 1e-9)
}

func (t *Tally) String() string {
	return fmt.Sprintf("counts %v; overrun %.2f; late send %s; hot %.3f; idle %s; shares %.3f", t.Counts, t.Overrun, t.LateSend, t.OverloadedPart(), t.LongestIdle, t.MaxShares)
}

// noteColdSend counts what a cold server is sent, as the operators' stricter acceptance has the rule: within a window, against
// a multiple of what fills it over its warm-up, with two roots and two put down to chance.
func (f *Fleet) noteColdSend(s *Server) {
	rules := f.set.Rules
	cold := f.Now - s.StartedAt
	if s.StartedAt == 0 || cold > rules.SlowStartWindow {
		return
	}
	s.recentSends = append(s.recentSends, f.Now)
	s.recentSends = slices.DeleteFunc(s.recentSends, func(at time.Duration) bool { return f.Now-at > rules.OverloadWindow })
	room := rules.OverloadFactor * f.warmth(s) * rules.OverloadWindow.Seconds() / (f.connectionLoad * rules.SlowStartWindow.Seconds())
	room += 2*math.Sqrt(room) + 2
	f.Tally.Overrun = max(f.Tally.Overrun, float64(len(s.recentSends))/room)
}

// noteRefusal counts a refusal, and how long servers have stood idle that could have taken it.
func (f *Fleet) noteRefusal(why decide.RejectReason) {
	f.count("refused: " + why.String())
	for _, s := range f.Servers {
		if why == decide.NoCapacity && s.idleSince >= 0 && s.State == decide.Ready && s.state == Healthy {
			f.Tally.LongestIdle = max(f.Tally.LongestIdle, f.Now-s.idleSince)
		}
	}
}

// shares notes the sum of what all relays may take of a budget.
func (f *Fleet) shares() {
	sum := 0.0
	for _, r := range f.Relays {
		if r.up {
			sum += r.node.Share(r.localTime())
		}
	}
	f.Tally.MaxShares = max(f.Tally.MaxShares, sum)
}
