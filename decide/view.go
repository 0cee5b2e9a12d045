package decide

import "time"

// View is a backend as a placement sees it.
type View struct {
	Backend Backend
	Load    float64       // as estimated now
	Age     time.Duration // of its reading
	Cold    bool
}

// Pool appends the backends with usable readings to out, up to its capacity. It changes nothing.
func (b *Balancer) Pool(out []View) []View {
	for _, id := range b.pool {
		if len(out) == cap(out) {
			break
		}
		if s := &b.fleet[id]; s.readAt >= 0 {
			out = append(out, View{Backend: id, Load: b.estimate(s), Age: b.now - s.readAt, Cold: b.warmth(s) < 1})
		}
	}
	return out
}

// Shunned is how many of the listed backends get nothing now because they failed, erred or were silent.
func (b *Balancer) Shunned() (n int) {
	for _, zone := range b.zones {
		for _, id := range zone {
			if b.fleet[id].bad {
				n++
			}
		}
	}
	return n
}
