package decide

import "time"

// PooledServer is a server of the probe pool, with the values that a placement uses.
type PooledServer struct {
	Server        ServerID
	EstimatedLoad float64       // at present, as a fraction of the server's capacity
	ReadingAge    time.Duration // time since its reading was taken
	InSlowStart   bool
}

// ProbePool appends the servers with usable readings to out, up to the capacity of out. It does not change
// the Balancer.
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

// EjectedCount is the number of listed servers that are ejected: they failed, answered with errors or did not
// answer.
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
