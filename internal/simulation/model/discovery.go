package model

import (
	"slices"
	"time"

	"capersail/decide"
)

// discovery is the discovery service: one queue for all relays' calls; those given up are worked through too.
type discovery struct {
	serviceTime time.Duration // for one call
	callTimeout time.Duration // a call that waits longer fails
	busyUntil   time.Duration // when it is done with all calls that came
	list        []decide.Endpoint
}

// List is the list of servers as discovery has it.
func (f *Fleet) EndpointList() []decide.Endpoint { return slices.Clone(f.discovery.list) }

// Announce tells discovery, and a while later all who watch.
func (f *Fleet) AnnounceServer(s *Server, mode decide.EndpointState) {
	if s.State = mode; mode == decide.Ready && len(s.connections) == 0 {
		s.idleSince = f.Now
	}
	f.discovery.list[s.Server] = s.Endpoint
	for _, r := range f.Relays {
		if life := r.incarnation; r.up && r.watching {
			changed := []decide.Endpoint{s.Endpoint}
			f.After(f.RandomDuration(20*ms, 400*ms), func() {
				if r.up && r.incarnation == life {
					f.deliverList(r, decide.Delta, changed)
				}
			})
		}
	}
}

// pollDiscovery queues a relay's call to discovery, which answers with the list in its turn or fails.
func (f *Fleet) pollDiscovery(r *Relay) {
	f.count("calls")
	f.Tally.DiscoveryCalls = append(f.Tally.DiscoveryCalls, f.Now)
	f.discovery.busyUntil = max(f.discovery.busyUntil, f.Now) + f.discovery.serviceTime
	wait, life := f.discovery.busyUntil-f.Now, r.incarnation
	if wait > f.discovery.callTimeout {
		f.count("calls failed")
		f.deliverLater(r, f.discovery.callTimeout, decide.WatchEvent{Kind: decide.WatchFailed})
		return
	}
	f.After(wait, func() {
		if r.up && r.incarnation == life {
			r.watching = true
			f.deliverList(r, decide.Snapshot, f.EndpointList())
		}
	})
}
