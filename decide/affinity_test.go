package decide

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestGroupsMeet(t *testing.T) {
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
			req := ask(1)
			req.Group = group
			on := r.place(req, loads)
			at[on], spots[on] = true, true
		}
		if len(at) != 1 {
			t.Errorf("group %d was spread over %d backends by ten relays", group, len(at))
		}
	}
	if len(spots) < 3 {
		t.Errorf("eight groups share %d backends", len(spots))
	}
	// In an overload a group must not take whatever has room: each further backend pays for it again.
	for i := range loads {
		loads[i] = 0.62
	}
	at := map[ServerID]bool{}
	for seed := range uint64(60) {
		r := newRelay(t, set, seed, 12)
		for i := range ServerID(12) { // everything is in the pool, all but the group's own with more room
			r.do(ProbeResult{Server: i, Report: LoadReport{Load: 0.3, InFlight: 6, ErrorsPerSecond: -1, CPUUtilization: -1}})
		}
		req := ask(1)
		req.Group = 5
		for _, id := range slices.Clone(r.b.dispatch.affinity.groupSubset(5, 1)) {
			r.do(ProbeResult{Server: id, Report: LoadReport{Load: 0.62, InFlight: 12, ErrorsPerSecond: -1, CPUUtilization: -1}})
		}
		if on := r.place(req, loads); on >= 0 {
			at[on] = true
		}
	}
	if len(at) == 0 || len(at) > probesPerPlacement {
		t.Errorf("a loaded group was spread over %d backends", len(at))
	}
}

// A group whose circle is full goes on to the next four of its order before it is refused: on the days of 300 relays half of
// all servers stood under half of their load while 300 requests a second were refused for want of room.
func TestFullCircleGoesOn(t *testing.T) {
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
			req := ask(1)
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

// A group's circle is the first four by rank of all backends that are listed and well, whatever has been kept of it:
// through lists that change, failures and their ends.
func TestCircleIsTheFirstByRank(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	b := New(Settings{Relays: 1, Zones: 3, GroupAffinity: true, Probes: true, Tick: ms}, 1)
	now := time.Hour
	for range 3000 {
		now += ms
		id := ServerID(rng.IntN(60))
		switch rng.IntN(4) {
		case 0:
			b.Handle(now, WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: id, State: EndpointState(rng.IntN(3)), Zone: Zone(rng.IntN(3)), RendezvousKey: uint64(id)*7919 + 1}}}, nil)
		case 1:
			b.now = now
			s := b.endpoints.stateOf(id)
			s.health.ejected, s.health.ejectedUntil = rng.IntN(5) > 0, now+time.Duration(rng.IntN(300))*ms
		}
		b.now = now
		group := 1 + uint64(rng.IntN(20))
		var want []ServerID
		for i := range b.endpoints.servers {
			if s := &b.endpoints.servers[i]; s.zoneIndex >= 0 && !(s.health.ejected && now < s.health.ejectedUntil) {
				want = append(want, ServerID(i))
			}
		}
		rank := func(id ServerID) uint64 {
			r := (b.endpoints.servers[id].RendezvousKey ^ group) * 0x9e3779b97f4a7c15
			return (r ^ r>>29) * 0xbf58476d1ce4e5b9
		}
		slices.SortFunc(want, func(x, y ServerID) int { return cmp.Compare(rank(y), rank(x)) })
		if want = want[:min(len(want), probesPerPlacement)]; !slices.Equal(b.dispatch.affinity.groupSubset(group, 1), want) {
			t.Fatalf("group %d: %v, want %v", group, b.dispatch.affinity.groupSubset(group, 1), want)
		}
	}
}
