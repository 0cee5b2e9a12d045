package model

import (
	"slices"
	"time"

	"capersail/decide"
)

// discovery is the simulated discovery service: one queue for the calls of all relays. A call that its relay
// has given up still takes its service time.
type discovery struct {
	serviceTime time.Duration // time to serve one call
	callTimeout time.Duration // a call that waits longer fails
	busyUntil   time.Duration // when all queued calls are served
	list        []decide.Endpoint
}

// EndpointList returns a copy of discovery's present endpoint list.
func (f *Fleet) EndpointList() []decide.Endpoint { return slices.Clone(f.discovery.list) }

// AnnounceServer changes a server's state in discovery's list, and notifies each watching relay after a
// random delay.
func (f *Fleet) AnnounceServer(s *Server, mode decide.EndpointState) {
	if s.State = mode; mode == decide.Ready && len(s.connections) == 0 {
		s.idleSince = f.Now
	}
	f.discovery.list[s.Server] = s.Endpoint
	for _, r := range f.Relays {
		if incarnation := r.incarnation; r.up && r.watching {
			changed := []decide.Endpoint{s.Endpoint}
			f.After(f.RandomDuration(20*ms, 400*ms), func() {
				if r.up && r.incarnation == incarnation {
					f.deliverList(r, decide.Delta, changed)
				}
			})
		}
	}
}

// pollDiscovery queues a relay's call to discovery. The call returns the list when its turn comes, or fails
// after callTimeout.
func (f *Fleet) pollDiscovery(r *Relay) {
	f.count("calls")
	f.Tally.DiscoveryCalls = append(f.Tally.DiscoveryCalls, f.Now)
	f.discovery.busyUntil = max(f.discovery.busyUntil, f.Now) + f.discovery.serviceTime
	wait, incarnation := f.discovery.busyUntil-f.Now, r.incarnation
	if wait > f.discovery.callTimeout {
		f.count("calls failed")
		f.deliverLater(r, f.discovery.callTimeout, decide.WatchEvent{Kind: decide.WatchFailed})
		return
	}
	f.After(wait, func() {
		if r.up && r.incarnation == incarnation {
			r.watching = true
			f.deliverList(r, decide.Snapshot, f.EndpointList())
		}
	})
}
