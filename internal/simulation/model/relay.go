package model

import (
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/probing"
	"capersail/internal/relay"
)

// Relay is one relay: the module, and where relays know each other the deciders of membership and probing, as its core loop
// has them.
type Relay struct {
	Name   string
	Zone   decide.Zone
	Weight float64 // of what clients bring, 1 for an even part
	// Lies, if set, is what it tells of every server's load instead of what it read.
	Lies *float64

	fleet        *Fleet
	index        int
	balancer     *decide.Balancer
	up           bool
	incarnation  int               // it was started so many times; what was meant for an earlier life is dropped
	drainKnownAt []time.Duration   // when it was told that a server takes nothing new, -1 if it does
	list         []decide.Endpoint // its list of servers
	listChanges  int               // changes of it
	watches      bool
	arrived      uint64
	connections  int
	draining     bool
	unreachable  func(*Server) bool // servers that it cannot reach
	peering
}

// AddRelay adds a relay that does not run yet.
func (f *Fleet) AddRelay() *Relay {
	i := len(f.Relays)
	r := &Relay{fleet: f, Name: fmt.Sprintf("r%d", i), index: i, Zone: decide.Zone(i % 3), Weight: 1}
	r.clockRate = 1 + f.cfg.ClockDrift*(2*f.network.rng.Float64()-1)
	f.Relays = append(f.Relays, r)
	return r
}

// Start starts a relay with a list that it had once.
func (f *Fleet) Start(r *Relay, known []decide.Endpoint) {
	set := f.settings
	set.RelayIndex, set.Zone = r.index, r.Zone
	r.up, r.watches, r.draining, r.drainKnownAt, r.list, r.arrived, r.connections = true, false, false, nil, nil, 0, 0
	r.incarnation++
	r.balancer = decide.New(set, uint64(f.Now)+uint64(r.index))
	if f.cfg.Peering {
		r.startPeering()
	}
	f.deliverList(r, decide.Cached, known)
}

// Up tells whether it runs.
func (r *Relay) Up() bool { return r.up }

// Connections is how many connections it holds.
func (r *Relay) Connections() int { return r.connections }

// Kill ends a relay with all that it holds; its clients come again.
func (f *Fleet) Kill(r *Relay) {
	r.up = false
	for _, c := range f.sortedClients() {
		if c.relay == r {
			f.disconnect(c)
			f.reconnectLater(c, f.returnDelay())
		}
	}
	f.detectFailures(r)
}

// Drain says that a relay drains by hand, or does no longer.
func (f *Fleet) Drain(r *Relay, on bool) { r.draining = on }

func (r *Relay) isUnreachable(s *Server) bool { return r.unreachable != nil && r.unreachable(s) }

// deliver passes an event to a relay's module, in its present life, and does what it wants.
func (f *Fleet) deliver(r *Relay, life int, ev decide.Event) {
	if !r.up || r.incarnation != life {
		return
	}
	if f.cfg.Peering {
		own := r.localTime()
		word := relay.ToFleetStatus(f.Now, own, r.node.Estimate(own), nil)
		word.SharesReadings = r.scheduler.HasPeers()
		word.SharesPlacements = word.SharesPlacements && word.SharesReadings && !f.cfg.GuessPlacements
		f.carryOut(r, r.balancer.Handle(f.Now, word, nil))
		if o, ok := ev.(decide.Outcome); ok && !f.cfg.GuessPlacements {
			f.stepScheduler(r, probing.LocalPlacement{ServerKey: f.Servers[o.Server].RendezvousKey, Delta: -1})
		}
		if p, ok := ev.(decide.ProbeResult); ok && p.Status == decide.OK {
			load := p.Report.Load
			if r.Lies != nil {
				load = *r.Lies
			}
			f.stepScheduler(r, probing.OwnReading{ServerKey: f.Servers[p.Server].RendezvousKey, LoadReport: probing.LoadReport{Load: load, Inflight: -1, Errors: -1, Busy: -1}})
		}
	}
	f.carryOut(r, r.balancer.Handle(f.Now, ev, nil))
}

func (f *Fleet) deliverLater(r *Relay, d time.Duration, ev decide.Event) {
	life := r.incarnation
	f.After(d, func() { f.deliver(r, life, ev) })
}

func (f *Fleet) deliverList(r *Relay, kind decide.WatchKind, list []decide.Endpoint) {
	for _, e := range list {
		for int(e.Server) >= len(r.drainKnownAt) {
			r.drainKnownAt = append(r.drainKnownAt, -1)
			r.list = append(r.list, decide.Endpoint{})
		}
		if r.list[e.Server] = e; e.State == decide.Ready {
			r.drainKnownAt[e.Server] = -1
		} else if r.drainKnownAt[e.Server] < 0 {
			r.drainKnownAt[e.Server] = f.Now
		}
	}
	r.listChanges++
	f.deliver(r, r.incarnation, decide.WatchEvent{Kind: kind, Endpoints: list})
}

func (f *Fleet) carryOut(r *Relay, acts []decide.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case decide.Timer:
			f.deliverLater(r, a.After, decide.TimerFired{Token: a.Token})
		case decide.Subscribe:
			f.pollDiscovery(r)
		case decide.Probe:
			f.probe(r, f.Servers[a.Server])
		case decide.Forward:
			if f.cfg.Peering && !f.cfg.GuessPlacements {
				f.stepScheduler(r, probing.LocalPlacement{ServerKey: f.Servers[a.Server].RendezvousKey, Delta: 1})
			}
			f.send(r, a)
		case decide.Migrate:
			f.count("moves")
			c := f.requests[a.ID]
			f.closeConnection(c, decide.Cancelled)
			f.reconnectLater(c, f.returnDelay())
		case decide.Reject:
			f.noteRejection(a.Reason)
			c := f.requests[a.ID]
			f.disconnect(c)
			f.reconnectLater(c, max(f.Between(20*ms, 160*ms), a.RetryAfter/3))
		case decide.Fail:
			f.Fatal(fmt.Sprintf("%s: a request that may be repeated failed: %+v", f.Now, a))
		}
	}
}
