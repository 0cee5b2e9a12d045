package decide

import (
	"slices"
	"time"
)

// This file decides which backends are probed for a request, and what is learnt from their readings.

// ready places a request at once if the pool is fresh; else the pool is topped up first.
func (b *Balancer) ready(r *request) {
	r.need = b.ask(r.Group)
	b.holdOrPlace(r)
}

// ask tops up the pool for a connection of a group, or of none, and returns how many answers will come.
func (b *Balancer) ask(group uint64) int {
	switch {
	case !b.set.Probes:
		return 0
	case group != 0:
		return b.topUp(b.circle(group, 1), probesPerPick, false)
	}
	return b.topUp(b.zones[b.set.Zone], probesPerPick-b.fresh(), true)
}

func (b *Balancer) holdOrPlace(r *request) {
	wait := min((r.deadline-b.now)/4, 2*b.probeRTT+2*b.set.Tick)
	if r.need == 0 || wait < b.set.Tick {
		b.place(r)
		return
	}
	r.phase = holding
	b.waiting = append(b.waiting, r)
	r.wakeAt = b.now + wait
	b.wake(wakeRequest, uint64(r.ID), wait)
}

// circle lists a group's backends in an order that all relays agree on, so that its connections, which
// share work where they meet, meet on few; wide is 1, or 2 for twice as many. Only where groups share.
func (b *Balancer) circle(group uint64, wide int) []Backend {
	b.round = b.round[:0]
	for _, id := range b.ring(group) {
		if s := &b.fleet[id]; (!s.bad || b.now >= s.badTill) && len(b.round) < wide*probesPerPick {
			b.round = append(b.round, id)
		}
	}
	return b.round
}

// rank returns the first n of all listed backends in a group's order, or of those that are well.
func (b *Balancer) rank(group uint64, n int, well bool) (out []Backend) {
	top := make([]uint64, n)
	for _, zone := range b.zones {
		for _, id := range zone {
			if s := &b.fleet[id]; well && s.bad && b.now < s.badTill {
				continue
			}
			rank := (b.fleet[id].Spot ^ group) * 0x9e3779b97f4a7c15
			rank = (rank ^ rank>>29) * 0xbf58476d1ce4e5b9
			if len(out) < n {
				out = append(out, -1)
			}
			for j := range out { // keep the best in order
				if rank > top[j] || out[j] < 0 {
					rank, top[j] = top[j], rank
					id, out[j] = out[j], id
				}
			}
		}
	}
	return out
}

// topUp probes up to n backends of a list, at random or in order, and returns how many answers are worth
// waiting for. A bad one met on the way is probed too once its time is up, but nobody waits for it.
func (b *Balancer) topUp(list []Backend, n int, random bool) (need int) {
	for i := 0; i < len(list) && need < n; i++ {
		if random {
			b.swap(list, i, i+b.rng.IntN(len(list)-i))
		}
		s := &b.fleet[list[i]]
		if s.bad && b.now < s.badTill || s.readAt >= 0 && b.now-s.readAt <= b.usable() {
			continue
		}
		b.probe(list[i])
		if !s.bad {
			need++
		}
	}
	return need
}

func (b *Balancer) probed(e Probed) {
	s := b.server(e.Backend)
	s.probeTill = 0
	switch {
	case e.Status == OK:
		if s.bad && s.errs == 0 && e.Report.Load < b.mean/2 {
			s.chill(b.now) // it holds next to nothing: a new process, which the list will tell of later
		}
		s.settle(b.now - reportLag)
		if s.silent, s.mute = 0, 0; s.errs == 0 || b.now >= s.badTill {
			s.bad = false
		}
		b.probeRTT = max(e.Took, b.probeRTT-b.probeRTT/4)
		b.read(s, e)
	case e.Status == Full || e.Status == Moot: // too many probes; it says nothing of its health
	default:
		b.leave(s, e.Status)
		if s.silent++; e.Status == Errored {
			s.mute = 0
		} else {
			s.mute++
		}
		// It is probed again after a back-off, not on every arrival that meets it.
		s.badTill = b.now + b.jittered(freshFor/2, s.silent-stillFor, errorHold)
	}
	if len(s.held) > 0 && (e.Status == OK || s.mute > 0) { // one that answers with an error still serves them
		b.look(e.Backend, s)
	}
	for _, r := range slices.Clone(b.waiting) { // some wait on meanwhile, for another zone's answers
		if r.need--; r.need < 1 {
			b.unwait(r)
			b.place(r)
		}
	}
}

func (b *Balancer) read(s *server, e Probed) {
	s.load = max(e.Report.Load, e.Report.Busy)
	if s.guess = s.load < 0; s.guess {
		s.load = b.guessed(s, e.Took)
	} else {
		b.learn(s, e.Report)
	}
	if s.bad || s.pos < 0 {
		return
	}
	s.readAt = b.now
	if !s.pooled {
		s.pooled = true
		b.pool = append(b.pool, e.Backend)
	}
}

// guessed is a load that no report tells. One that answers probes late is overdriven; else what this
// relay holds there is all there is, as at a start, or where no quota says what that adds, its part of it.
func (b *Balancer) guessed(s *server, took time.Duration) float64 {
	own := func(n int) float64 { return float64(n) + fewHeld }
	if b.slow(took) && b.loads == 0 {
		return 1
	} else if b.quota > 0 {
		return min(float64(len(s.held)*b.set.Relays)*b.supposed(), easeLoad)
	}
	return min(busyLoad*own(len(s.held))/own(b.held/max(b.listed(), 1)), easeLoad)
}

// learn follows what a connection adds to a warm backend's load: mean load over mean connections held, or
// what all relays hold where no report counts them. Quotas bound it, as who holds few has seen too little.
func (b *Balancer) learn(s *server, report Report) {
	if b.warmth(s) < 1 {
		return
	}
	conns := report.Inflight
	if conns < 0 {
		conns = b.all() / float64(max(b.listed(), 1))
	}
	b.loads += (s.load - b.loads) / 8
	b.conns += (conns - b.conns) / 8
	if b.conns >= 1 {
		b.perConn = b.loads / b.conns
	}
	if mean := b.supposed(); mean > 0 {
		b.perConn = min(b.perConn, overQuota*mean)
	}
}

// supposed is what a connection adds by what the tenants' quotas make of it, 0 where those are not told.
func (b *Balancer) supposed() float64 {
	b.most = max(b.most, b.listed()) // not fewer: a quota does not follow a crash
	if b.quota == 0 {
		return 0
	}
	return quotaOfAll * float64(b.most) / b.quota
}

// adds is what one more connection is taken to add. A relay that holds few has seen few.
func (b *Balancer) adds() float64 { return max(b.perConn, b.supposed()) }
