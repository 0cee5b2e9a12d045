package decide

import "time"

// This file decides when connections move away from the backends that hold them.

// watch keeps the timer for looking at the backends that hold this relay's connections.
func (b *Balancer) watch() {
	if !b.watching && b.held > 0 {
		b.watching = true
		b.wake(wakeWatch, 0, watchEvery/2+time.Duration(b.jitter*float64(watchEvery/4)))
	}
}

// look judges a backend that holds our connections. All relays that see it overdriven move only their
// part of the excess, drawn at random; off a silent one each goes after its own look. Nothing moves
// unless the pool has a better place: if everything looks bad, it is better to stay.
func (b *Balancer) look(id Backend, s *server) {
	part, load := 1.0, b.estimate(s)
	switch {
	case s.mute > 0:
		if s.mute < stillFor {
			b.probe(id)
			return
		}
	case s.load > hotLoad && b.now < s.lagTill:
		part = (s.load - easeLoad) / s.load
	case !b.set.TellsDelay && load > (hotLoad+easeLoad)/2: // what has left since the reading is not moved again
		part = (load - easeLoad) / load
	default:
		return
	}
	// So many of them, drawn at random. A relay that holds few sees few others: it asks before it moves.
	if s.excess = int(part*float64(len(s.held)) + b.rng.Float64()); s.excess == 0 {
		return
	}
	if r := b.reqs[s.held[0]]; r != nil && b.ask(r.Group) > 0 {
		b.wake(wakeShift, uint64(id), min(2*b.probeRTT+2*b.set.Tick, freshFor/4))
		return
	}
	b.shift(id, s)
}

// shift moves a backend's excess where there is a better place.
func (b *Balancer) shift(id Backend, s *server) {
	n := s.excess
	s.excess = 0
	for i, held := range s.held {
		r := b.reqs[held]
		if r == nil || n < 1 {
			continue
		}
		pick, _ := b.best(&request{Request: Request{Group: r.Group}, ranOn: -1})
		if pick < 0 || pick == id || b.estimate(&b.fleet[pick]) > easeLoad {
			return
		}
		if r.phase == open && b.rng.Float64()*float64(len(s.held)-i) < float64(n) {
			n--
			b.do(Move{ID: held})
			r.phase = done
			b.fleet[pick].placed = append(b.fleet[pick].placed, b.now)
		}
	}
}
