package decide

import "time"

// PooledServer is a backend as a placement sees it.
type PooledServer struct {
	Server        ServerID
	EstimatedLoad float64       // as estimated now
	ReadingAge    time.Duration // of its reading
	InSlowStart   bool
}

// ProbePool appends the backends with usable readings to out, up to its capacity. It changes nothing.
func (b *Balancer) ProbePool(out []PooledServer) []PooledServer {
	for _, id := range b.pool {
		if len(out) == cap(out) {
			break
		}
		if s := &b.servers[id]; s.readAt >= 0 {
			out = append(out, PooledServer{Server: id, EstimatedLoad: b.estimatedLoad(s), ReadingAge: b.now - s.readAt, InSlowStart: b.capacityFraction(s) < 1})
		}
	}
	return out
}

// EjectedCount is how many of the listed backends get nothing now because they failed, erred or were silent.
func (b *Balancer) EjectedCount() (n int) {
	for _, zone := range b.serversByZone {
		for _, id := range zone {
			if b.servers[id].ejected {
				n++
			}
		}
	}
	return n
}
