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
