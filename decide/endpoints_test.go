package decide

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestDrainingAndRemovedServersGetNothingNew(t *testing.T) {
	for _, state := range []EndpointState{Draining, Removed} {
		r := newRelay(t, settings(), 5, 3)
		loads := map[ServerID]float64{0: 0.1, 1: 0.6, 2: 0.6}
		r.place(newRequest(1), loads)
		r.handle(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 0, State: state}}})
		for id := RequestID(2); id < 30; id++ {
			if got := r.advance(100*ms).place(newRequest(id), loads); got == 0 {
				t.Fatalf("server in state %d: request %d was forwarded to it", state, id)
			}
		}
	}
	r := newRelay(t, settings(), 5, 3)
	r.handle(WatchEvent{Kind: Snapshot, Endpoints: []Endpoint{{Server: 1, State: Ready}}})
	for id := RequestID(1); id < 10; id++ {
		if got := r.advance(time.Second).place(newRequest(id), map[ServerID]float64{1: 0.3}); got != 1 {
			t.Fatalf("a snapshot lists only server 1, but a request was forwarded to %d", got)
		}
	}
}

// checkEndpoints checks the invariant of endpointSet: a server is listed if and only if it is ready in a zone
// of the settings.
func checkEndpoints(t *testing.T, set *endpointSet) {
	t.Helper()
	listed := 0
	for i := range set.servers {
		s := &set.servers[i]
		want := s.State == Ready && int(s.Zone) < len(set.serversByZone)
		if want != (s.zoneIndex >= 0) {
			t.Fatalf(
				"server %d, state %d, zone %d: listed at index %d, other than its state and zone require",
				i, s.State, s.Zone, s.zoneIndex)
		}
		if !want {
			continue
		}
		listed++
		if got := set.serversByZone[s.Zone][s.zoneIndex]; got != ServerID(i) {
			t.Fatalf("the zone index of server %d is that of server %d", i, got)
		}
	}
	if n := set.listedCount(); n != listed {
		t.Fatalf("%d servers are ready in a zone of the settings, but listedCount() = %d", listed, n)
	}
}

func TestEndpointSetListsExactlyTheReady(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	set := newEndpointSet(3)
	for range 2000 {
		kind := []WatchKind{Delta, Delta, Delta, LocalDelta, Snapshot, CachedSnapshot}[rng.IntN(6)]
		var list []Endpoint
		for range rng.IntN(8) {
			list = append(list, Endpoint{
				Server:        ServerID(rng.IntN(20)),
				State:         EndpointState(rng.IntN(3)),
				Zone:          Zone(rng.IntN(4)), // zone 3 is not in the settings
				RendezvousKey: uint64(rng.IntN(3)),
			})
		}
		set.apply(WatchEvent{Kind: kind, Endpoints: list}, time.Hour, time.Second)
		checkEndpoints(t, set)
	}
}

// Data cached by listing version must not be used after the listing changes.
func TestListingVersionRisesWithEachChange(t *testing.T) {
	set := newEndpointSet(2)
	ready := Endpoint{Server: 1, State: Ready, RendezvousKey: 7}
	moved, rekeyed, draining := ready, ready, ready
	moved.Zone, rekeyed.RendezvousKey, draining.State = 1, 8, Draining
	for i, step := range []struct {
		endpoint Endpoint
		rises    bool
	}{{ready, true}, {ready, false}, {rekeyed, true}, {draining, true}, {draining, false}, {moved, true}} {
		before := set.listingVersion
		set.updateEndpoint(step.endpoint)
		if rose := set.listingVersion > before; rose != step.rises {
			t.Errorf("step %d: listing version rises %v, want %v", i, rose, step.rises)
		}
	}
}

// A server that started within the window is in slow start, and its reading, taken from its earlier process,
// is dropped.
func TestRestartedServerIsInSlowStart(t *testing.T) {
	const now, window = time.Hour, 8 * time.Second
	for name, c := range map[string]struct {
		startedAt time.Duration
		want      bool
	}{
		"long ago":          {now - window, false},
		"just now":          {now - time.Second, true},
		"at no known time":  {0, false},
		"within the window": {now - window + 1, true},
	} {
		set := newEndpointSet(1)
		set.updateEndpoint(Endpoint{Server: 0, State: Ready})
		set.stateOf(0).reading.at = now
		set.apply(WatchEvent{Endpoints: []Endpoint{{State: Ready, StartedAt: c.startedAt}}}, now, window)
		s := set.stateOf(0)
		if got := s.slowStart.startedAt >= 0; got != c.want || s.reading.usable() == c.want {
			t.Errorf("started %s: in slow start %v, reading usable %v, other than in the table",
				name, got, s.reading.usable())
		}
	}
}

func TestStateOfMakesServersThatGetNothing(t *testing.T) {
	set := newEndpointSet(1)
	if s := set.stateOf(4); s.zoneIndex >= 0 || s.reading.usable() || s.slowStart.startedAt >= 0 {
		t.Errorf("a server not in any list is listed, readable or in slow start: %+v", s)
	}
	listed := func(s serverState) bool { return s.zoneIndex >= 0 }
	if len(set.servers) != 5 || slices.ContainsFunc(set.servers, listed) {
		t.Errorf("%d servers created, want 5, none of them listed", len(set.servers))
	}
}
