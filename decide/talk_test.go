package decide

import (
	"testing"
	"time"
)

// talk lets the relays of a vast fleet tell each other, each half second, what comes to them, what they hold and, in a
// drain, what they send away, as internal/fleet/member has it: word is there within 0.4 s.
func (v *vast) talk(arrived map[*station]*int, held map[*station]int, draining map[*station]bool) {
	rates := map[*station]float64{}
	serving := 0
	for _, r := range v.relays {
		rates[r] = float64(*arrived[r]) / talkEvery.Seconds()
		if draining[r] {
			rates[r] = -float64(max(held[r]-r.b.held, 0)) / talkEvery.Seconds()
		}
		*arrived[r], held[r] = 0, r.b.held
		if r.up && !draining[r] {
			serving++
		}
	}
	for _, r := range v.relays {
		f := Fleet{Relays: len(v.relays), Share: 1 / float64(max(serving, 1))}
		for _, o := range v.relays {
			if o == r || !o.up {
				continue
			}
			f.Held += o.b.held
			f.Others += max(rates[o], 0)
			f.Sent += max(-rates[o], 0)
		}
		v.later(r, 400*ms, f)
	}
}

const talkEvery = 500 * ms

// drainOf plays a drain by hand of one of two relays and returns how many requests came to the other meanwhile, and how
// many of those it refused for want of room.
func drainOf(t *testing.T, seed uint64, hosts, conns int, part float64, talks bool) (asks, refused int, hot float64) {
	v := newVast(t, seed, 2, hosts, conns, part)
	v.after(0, v.step)
	for _, r := range v.relays {
		v.start(r, v.lister.list)
	}
	v.openAll(conns, hosts)
	arrived, held, draining := map[*station]*int{}, map[*station]int{}, map[*station]bool{}
	for _, r := range v.relays {
		arrived[r] = new(int)
	}
	v.door = func(r *station) bool { // the front sends a client elsewhere
		if draining[r] {
			return false
		}
		*arrived[r]++
		return true
	}
	v.arrivals(float64(conns)/v.life.Seconds(), v.now+time.Hour)
	tick := func() {}
	tick = func() {
		if talks {
			v.talk(arrived, held, draining)
		}
		v.after(talkEvery, tick)
	}
	tick()
	v.run(v.now + 12*time.Second)
	draining[v.relays[0]] = true
	if talks {
		v.talk(arrived, held, draining)
	}
	for _, c := range v.sorted() {
		if c.relay == v.relays[0] && c.at != nil {
			v.after(v.between(300*ms, 2500*ms), func() {
				if c.at != nil {
					v.later(c.relay, 0, Outcome{ID: c.req.ID, Backend: c.at.Backend, Status: Cancelled, Closed: true, Report: NoReport})
					v.part(c)
					v.comeAgain(c, v.between(170*ms, 1400*ms))
				}
			})
		}
	}
	asks, refused = v.counts["asks"], v.counts["refused: no room"]
	v.hot, v.served = 0, 0
	v.run(v.now + 6*time.Second)
	return v.counts["asks"] - asks, v.counts["refused: no room"] - refused, v.hot.Seconds() / v.served.Seconds()
}

// While a relay drains, the other takes what comes to both, and takes nobody else to see as much: it used to refuse
// its peer's clients in bursts, for want of room that nobody else was taking.
func TestDrainingPeerLeavesRoom(t *testing.T) {
	for _, day := range []struct {
		hosts, conns int
		part         float64
	}{{6, 120, 0.5}, {6, 120, 0.6}, {12, 300, 0.6}, {6, 60, 0.6}} {
		var asks, refused [2]int // without word, and with it
		var hot [2]float64
		const seeds = 12
		for seed := range uint64(seeds) {
			for i, talks := range []bool{false, true} {
				a, r, h := drainOf(t, seed, day.hosts, day.conns, day.part, talks)
				asks[i], refused[i], hot[i] = asks[i]+a, refused[i]+r, hot[i]+h/seeds
			}
		}
		t.Logf("%d servers, %d connections, load %.1f: %d of %d refused for want of room without word, %d of %d with it; on overdriven servers %.3f and %.3f of the time",
			day.hosts, day.conns, day.part, refused[0], asks[0], refused[1], asks[1], hot[0], hot[1])
		if refused[1]*4 >= refused[0] {
			t.Errorf("%d refused with word, %d without", refused[1], refused[0])
		}
		if hot[1] > hot[0]+0.02 {
			t.Errorf("%.3f of the time on overdriven servers with word, %.3f without", hot[1], hot[0])
		}
	}
}
