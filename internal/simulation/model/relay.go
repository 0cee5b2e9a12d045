package model

import (
	"fmt"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/probing"
	"capersail/internal/relay"
)

// Relay is a simulated relay: the real decision module and, where peering is configured, the state machines
// of membership and probing, driven as the relay's event loop drives them.
type Relay struct {
	Name   string
	Zone   decide.Zone
	Weight float64 // share of the new clients, relative to the other relays; 1 by default
	// ForgedLoad, if set, is the load that the relay reports to its peers for every server, instead of the
	// load that it read.
	ForgedLoad *float64

	fleet    *Fleet
	index    int
	balancer *decide.Balancer
	up       bool
	// number of the relay's starts; events that were scheduled for an earlier incarnation are dropped
	incarnation     int
	drainKnownAt    []time.Duration   // by server: when this relay learnt of its drain, -1 if none
	list            []decide.Endpoint // the relay's endpoint list, by server
	listChanges     int               // number of changes of list
	watching        bool
	arrivedRequests uint64
	connections     int
	draining        bool
	unreachable     func(*Server) bool // reports the servers that the relay cannot reach; nil for none
	peering
}

// AddRelay adds a relay that is not running yet.
func (f *Fleet) AddRelay() *Relay {
	i := len(f.Relays)
	r := &Relay{fleet: f, Name: fmt.Sprintf("r%d", i), index: i, Zone: decide.Zone(i % 3), Weight: 1}
	r.clockRate = 1 + f.cfg.ClockDrift*(2*f.network.rng.Float64()-1)
	f.Relays = append(f.Relays, r)
	return r
}

// StartRelay starts a relay with a cached endpoint list.
func (f *Fleet) StartRelay(r *Relay, known []decide.Endpoint) {
	set := f.settings
	set.RelayIndex, set.Zone = r.index, r.Zone
	r.up, r.watching, r.draining = true, false, false
	r.drainKnownAt, r.list = nil, nil
	r.arrivedRequests, r.connections = 0, 0
	r.incarnation++
	r.balancer = decide.New(set, uint64(f.Now)+uint64(r.index))
	if f.cfg.Peering {
		r.startPeering()
	}
	f.deliverList(r, decide.CachedSnapshot, known)
}

// KillRelay stops a relay and its connections without notice; its clients reconnect.
func (f *Fleet) KillRelay(r *Relay) {
	r.up = false
	for _, c := range f.sortedClients() {
		if c.relay == r {
			f.disconnect(c)
			f.reconnectLater(c, f.returnDelay())
		}
	}
	f.detectFailures(r)
}

// SetDraining begins or ends a manual drain of a relay.
func (f *Fleet) SetDraining(r *Relay, on bool) { r.draining = on }

func (r *Relay) isUnreachable(s *Server) bool { return r.unreachable != nil && r.unreachable(s) }

// deliver passes an event to a relay's decision module and performs the actions that it returns, unless the
// given incarnation of the relay has ended.
func (f *Fleet) deliver(r *Relay, incarnation int, ev decide.Event) {
	if !r.up || r.incarnation != incarnation {
		return
	}
	if f.cfg.Peering {
		f.deliverFleetStatus(r)
		f.shareEvent(r, ev)
	}
	f.performActions(r, r.balancer.Handle(f.Now, ev, nil))
}

// deliverFleetStatus passes the membership's estimate of the fleet to a relay's decision module.
func (f *Fleet) deliverFleetStatus(r *Relay) {
	own := r.localTime()
	status := relay.ToFleetStatus(f.Now, own, r.node.Estimate(own), nil)
	status.SharesReadings = r.scheduler.HasPeers()
	status.SharesPlacements = status.SharesPlacements && status.SharesReadings && !f.cfg.EstimatePlacements
	f.performActions(r, r.balancer.Handle(f.Now, status, nil))
}

// shareEvent passes the readings and placements in an event to a relay's probing scheduler, which shares them
// with the relay's peers.
func (f *Fleet) shareEvent(r *Relay, ev decide.Event) {
	switch e := ev.(type) {
	case decide.Outcome:
		f.sharePlacement(r, e.Server, -1)
	case decide.ProbeResult:
		if e.Status != decide.OK {
			return
		}
		load := e.Report.Load
		if r.ForgedLoad != nil {
			load = *r.ForgedLoad
		}
		f.handleSchedulerEvent(r, probing.OwnReading{
			ServerKey:  f.Servers[e.Server].RendezvousKey,
			LoadReport: probing.LoadReport{Load: load, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1},
		})
	}
}

// sharePlacement shares with a relay's peers that the relay has placed a connection on a server (delta 1), or
// that a connection has ended there (delta -1).
func (f *Fleet) sharePlacement(r *Relay, id decide.ServerID, delta int) {
	if f.cfg.Peering && !f.cfg.EstimatePlacements {
		f.handleSchedulerEvent(r,
			probing.LocalPlacement{ServerKey: f.Servers[id].RendezvousKey, Delta: delta})
	}
}

// deliverLater delivers an event after a delay, unless the relay has stopped or restarted by then.
func (f *Fleet) deliverLater(r *Relay, d time.Duration, ev decide.Event) {
	incarnation := r.incarnation
	f.After(d, func() { f.deliver(r, incarnation, ev) })
}

// deliverList passes the endpoint list, or changed endpoints of it, to a relay.
func (f *Fleet) deliverList(r *Relay, kind decide.WatchKind, list []decide.Endpoint) {
	for _, e := range list {
		for int(e.Server) >= len(r.drainKnownAt) {
			r.drainKnownAt = append(r.drainKnownAt, -1)
			r.list = append(r.list, decide.Endpoint{})
		}
		r.list[e.Server] = e
		if e.State == decide.Ready {
			r.drainKnownAt[e.Server] = -1
		} else if r.drainKnownAt[e.Server] < 0 {
			r.drainKnownAt[e.Server] = f.Now
		}
	}
	r.listChanges++
	f.deliver(r, r.incarnation, decide.WatchEvent{Kind: kind, Endpoints: list})
}

// performActions performs the actions that a relay's decision module returned.
func (f *Fleet) performActions(r *Relay, actions []decide.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case decide.Timer:
			f.deliverLater(r, a.After, decide.TimerFired{Token: a.Token})
		case decide.Subscribe:
			f.pollDiscovery(r)
		case decide.Probe:
			f.probe(r, f.Servers[a.Server])
		case decide.Forward:
			f.sharePlacement(r, a.Server, 1)
			f.forward(r, a)
		case decide.Migrate:
			f.count("moves")
			c := f.requests[a.ID]
			f.closeConnection(c, decide.Cancelled)
			f.reconnectLater(c, f.returnDelay())
		case decide.Reject:
			f.recordRejection(a.Reason)
			c := f.requests[a.ID]
			f.disconnect(c)
			f.reconnectLater(c, max(f.RandomDuration(20*ms, 160*ms), a.RetryAfter/3))
		case decide.Fail:
			f.Fatal(fmt.Sprintf("at %s: a request that may be retried failed: %+v", f.Now, a))
		}
	}
}
