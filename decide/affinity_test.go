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
	spots := map[ServerID]bool{}
	for group := uint64(1); group < 9; group++ {
		at := map[ServerID]bool{}
		for seed := range uint64(10) {
			r := newRelay(t, set, seed, 12)
			req := newRequest(1)
			req.Group = group
			on := r.place(req, loads)
			at[on], spots[on] = true, true
		}
		if len(at) != 1 {
			t.Errorf("group %d was spread over %d servers by ten relays", group, len(at))
		}
	}
	if len(spots) < 3 {
		t.Errorf("eight groups share %d servers", len(spots))
	}
	// In an overload a group must not take whatever has room: each further server pays for it again.
	for i := range loads {
		loads[i] = 0.62
	}
	at := map[ServerID]bool{}
	for seed := range uint64(60) {
		r := newRelay(t, set, seed, 12)
		for i := range ServerID(12) { // everything is in the pool, all but the group's own with more room
			r.do(ProbeResult{Server: i, Report: loadReport(0.3, 6)})
		}
		req := newRequest(1)
		req.Group = 5
		for _, id := range slices.Clone(r.b.dispatch.affinity.groupSubset(5, 1)) {
			r.do(ProbeResult{Server: id, Report: loadReport(0.62, 12)})
		}
		if on := r.place(req, loads); on >= 0 {
			at[on] = true
		}
	}
	if len(at) == 0 || len(at) > probesPerPlacement {
		t.Errorf("a loaded group was spread over %d servers", len(at))
	}
}

// A group whose subset is full goes on to the next four of its order before it is rejected: on the days of
// 300 relays half of all servers stood under half of their load while 300 requests a second were rejected
// for want of room.
func TestFullSubsetIsWidened(t *testing.T) {
	set := settings()
	set.GroupAffinity, set.Zones = true, 1
	set.Tenants[0].ConnectionQuota, set.Tenants[1].ConnectionQuota = 100, 100
	for _, room := range []bool{true, false} {
		on := map[ServerID]bool{}
		for seed := range uint64(20) {
			r := newRelay(t, set, seed, 12)
			order, loads := r.b.dispatch.affinity.rankServers(5, groupOrderLen, false), map[ServerID]float64{}
			for i, id := range order {
				loads[id] = 0.95
				if i >= probesPerPlacement && (room || i >= 2*probesPerPlacement) {
					loads[id] = 0.3
				}
			}
			req := newRequest(1)
			req.Group = 5
			got := r.place(req, loads)
			if got >= 0 {
				on[got] = true
			}
			if i := slices.Index(order, got); room != (i >= probesPerPlacement && i < 2*probesPerPlacement) {
				t.Errorf("room in the next four %v: placed at %d of the order", room, i)
			}
		}
		if room && len(on) > 1 { // and all relays take the same one first
			t.Errorf("spread over %v", on)
		}
	}
}

// A group's subset is the first four by weight of all servers that are listed and well, whatever has been
// kept of it: through lists that change, failures and their ends.
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
			t.Fatalf("group %d: %v, want %v", group, b.dispatch.affinity.groupSubset(group, 1), want)
		}
	}
}

// A server that comes or goes must not move groups that it is not in the subset of.
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
			t.Fatalf("group %d: %v, want %v", group, got, want)
		}
	}
}
