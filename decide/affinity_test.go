package decide

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestGroupsMeetOnFewServers(t *testing.T) {
	set := settings()
	set.GroupAffinity = true
	loads := map[ServerID]float64{}
	for i := range ServerID(12) {
		loads[i] = 0.1 + float64(i)/100
	}
	allServers := map[ServerID]bool{}
	for group := uint64(1); group < 9; group++ {
		used := map[ServerID]bool{}
		for seed := range uint64(10) {
			r := newRelay(t, set, seed, 12)
			req := newRequest(1)
			req.Group = group
			on := r.place(req, loads)
			used[on], allServers[on] = true, true
		}
		if len(used) != 1 {
			t.Errorf("ten relays placed group %d on %d servers, want 1", group, len(used))
		}
	}
	if len(allServers) < 3 {
		t.Errorf("eight groups were placed on %d servers in all, want at least 3", len(allServers))
	}
	// In an overload a group must not spread to all servers with capacity: each further server bears the
	// group's shared work again.
	for i := range loads {
		loads[i] = 0.62
	}
	used := map[ServerID]bool{}
	for seed := range uint64(60) {
		r := newRelay(t, set, seed, 12)
		for i := range ServerID(12) { // all are in the pool, the group's own with a higher load
			r.handle(ProbeResult{Server: i, Report: loadReport(0.3, 6)})
		}
		req := newRequest(1)
		req.Group = 5
		for _, id := range slices.Clone(r.b.dispatch.affinity.groupSubset(5, 1)) {
			r.handle(ProbeResult{Server: id, Report: loadReport(0.62, 12)})
		}
		if on := r.place(req, loads); on >= 0 {
			used[on] = true
		}
	}
	if len(used) == 0 || len(used) > probesPerPlacement {
		t.Errorf("a group with loaded servers was placed on %d servers, want 1 to 4", len(used))
	}
}

// A group whose subset is full uses the next four servers of its order before a request is rejected. Without
// that, in simulations of 300 relays half of all servers stood below half of their capacity while 300
// requests per second were rejected with NoCapacity.
func TestFullSubsetIsWidened(t *testing.T) {
	set := settings()
	set.GroupAffinity, set.Zones = true, 1
	set.Tenants[0].ConnectionQuota, set.Tenants[1].ConnectionQuota = 100, 100
	for _, spare := range []bool{true, false} {
		used := map[ServerID]bool{}
		for seed := range uint64(20) {
			r := newRelay(t, set, seed, 12)
			order, loads := r.b.dispatch.affinity.rankServers(5, groupOrderLen, false), map[ServerID]float64{}
			for i, id := range order {
				loads[id] = 0.95
				if i >= probesPerPlacement && (spare || i >= 2*probesPerPlacement) {
					loads[id] = 0.3
				}
			}
			req := newRequest(1)
			req.Group = 5
			got := r.place(req, loads)
			if got >= 0 {
				used[got] = true
			}
			if i := slices.Index(order, got); spare != (i >= probesPerPlacement && i < 2*probesPerPlacement) {
				t.Errorf("spare capacity in the next four servers: %v, index in the order: %d",
					spare, i)
			}
		}
		if spare && len(used) > 1 { // all relays use the same server first
			t.Errorf("relays placed the group on servers %v, want one server", used)
		}
	}
}

// A group's subset is the first four by weight of all servers that are listed and not ejected, whatever part
// of its order is cached, through changes of the list, ejections and their ends.
func TestGroupSubsetIsTheBeginningOfTheRendezvousOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	b := New(Settings{Relays: 1, Zones: 3, GroupAffinity: true, Probes: true, Tick: ms}, 1)
	now := time.Hour
	for range 3000 {
		now += ms
		id := ServerID(rng.IntN(60))
		switch rng.IntN(4) {
		case 0:
			b.Handle(now, WatchEvent{Kind: Delta, Endpoints: []Endpoint{{
				Server:        id,
				State:         EndpointState(rng.IntN(3)),
				Zone:          Zone(rng.IntN(3)),
				RendezvousKey: uint64(id)*7919 + 1,
			}}}, nil)
		case 1:
			b.now = now
			s := b.endpoints.stateOf(id)
			s.health.ejected, s.health.ejectedUntil = rng.IntN(5) > 0, now+time.Duration(rng.IntN(300))*ms
		}
		b.now = now
		group := 1 + uint64(rng.IntN(20))
		var want []ServerID
		for i := range b.endpoints.servers {
			s := &b.endpoints.servers[i]
			if s.zoneIndex >= 0 && !(s.health.ejected && now < s.health.ejectedUntil) {
				want = append(want, ServerID(i))
			}
		}
		rank := func(id ServerID) uint64 {
			r := (b.endpoints.servers[id].RendezvousKey ^ group) * 0x9e3779b97f4a7c15
			return (r ^ r>>29) * 0xbf58476d1ce4e5b9
		}
		slices.SortFunc(want, func(x, y ServerID) int { return cmp.Compare(rank(y), rank(x)) })
		want = want[:min(len(want), probesPerPlacement)]
		if !slices.Equal(b.dispatch.affinity.groupSubset(group, 1), want) {
			t.Fatalf("group %d: subset %v, want %v", group, b.dispatch.affinity.groupSubset(group, 1), want)
		}
	}
}

// A server that joins or leaves must not move groups whose subset it is not in.
func TestRendezvousOrderKeepsWhenAServerGoes(t *testing.T) {
	set := newEndpointSet(1)
	for i := range ServerID(20) {
		set.updateEndpoint(Endpoint{Server: i, State: Ready, RendezvousKey: uint64(i+1) * 7919})
	}
	a := &groupAffinity{environment: testEnvironment(settings()), endpoints: set}
	before := map[uint64][]ServerID{}
	for group := range uint64(50) {
		before[group] = a.rankServers(group, 20, false)
	}
	set.updateEndpoint(Endpoint{Server: 7})
	for group, order := range before {
		want := slices.DeleteFunc(order, func(id ServerID) bool { return id == 7 })
		if got := a.rankServers(group, 19, false); !slices.Equal(got, want) {
			t.Fatalf("group %d: order %v, want %v", group, got, want)
		}
	}
}
