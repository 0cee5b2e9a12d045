package decide

import "time"

// PooledServer is a server of the probe pool as a placement sees it.
type PooledServer struct {
	Server        ServerID
	EstimatedLoad float64       // now, as a part of its capacity
	ReadingAge    time.Duration // how long ago its reading was taken
	InSlowStart   bool
}

// ProbePool appends the servers with usable readings to out, up to its capacity. It changes nothing.
func (b *Balancer) ProbePool(out []PooledServer) []PooledServer {
	for _, id := range b.pool.pool {
		if len(out) == cap(out) {
			break
		}
		s := &b.endpoints.servers[id]
		if !s.reading.usable() {
			continue
		}
		out = append(out, PooledServer{
			Server:        id,
			EstimatedLoad: b.load.estimatedLoad(s),
			ReadingAge:    b.now - s.reading.at,
			InSlowStart:   b.capacityFraction(s) < 1,
		})
	}
	return out
}

// EjectedCount is how many of the listed servers get nothing now because they failed, answered with errors or
// were silent.
func (b *Balancer) EjectedCount() (n int) {
	for _, zone := range b.endpoints.serversByZone {
		for _, id := range zone {
			if b.endpoints.servers[id].health.ejected {
				n++
			}
		}
	}
	return n
}
