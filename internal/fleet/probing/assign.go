package probing

import (
	"cmp"
	"slices"
)

// Relay is a relay that takes part in probing.
type Relay struct {
	Name string
	Zone string
}

// Server is a server to be probed.
type Server struct {
	Key     uint64 // identifies the server, with the same value at every relay
	Zone    string
	Started int64 // start time of the server's process in Unix ms; 0 if unknown or long ago
}

// ProbersPerServer is the number of relays that probe each server. With three, the readings of one faulty
// relay are outvoted by the other two.
const ProbersPerServer = 3

// assignmentSlack is the fraction by which a relay's number of servers may exceed the mean. Without slack,
// the servers handled last get whatever relays are left, and adding or removing one relay moves many
// assignments.
const assignmentSlack = 0.25

// Assignment holds the probers of each server.
type Assignment struct {
	relays  []string
	probers [][]int32 // by index of the server: indices of its probers in the order of choice
}

// Assign chooses ProbersPerServer relays for each server, or all relays if there are fewer. Each server takes
// the relays that rank highest in its rendezvous order, first those of its zone, and skips relays that have
// reached their maximum. The load is therefore even, and adding or removing one relay or server changes few
// other assignments. The result does not depend on the order of the lists.
//
// At least one prober is in another zone, if there is one, so that a zone that is cut off is also observed
// from outside. The other two are in the server's zone, where a probe does not cross zones.
func Assign(relays []Relay, servers []Server) *Assignment {
	relays = slices.Clone(relays)
	slices.SortFunc(relays, func(a, b Relay) int { return cmp.Compare(a.Name, b.Name) })
	relays = slices.CompactFunc(relays, func(a, b Relay) bool { return a.Name == b.Name })
	t := &Assignment{probers: make([][]int32, len(servers))}
	for _, r := range relays {
		t.relays = append(t.relays, r.Name)
	}
	probersPerServer := min(ProbersPerServer, len(relays))
	if probersPerServer == 0 {
		return t
	}
	mean := float64(probersPerServer*len(servers)) / float64(len(relays))
	a := assigner{
		relays:           relays,
		seeds:            make([]uint64, len(relays)),
		assignedCount:    make([]int32, len(relays)),
		maxServers:       max(int32(mean*(1+assignmentSlack)+0.999), 1),
		probersPerServer: probersPerServer,
	}
	for i, r := range relays {
		a.seeds[i] = hashName(r.Name)
	}
	order := make([]int, len(servers))
	for i := range order {
		order[i] = i
	}
	byMixedKey := func(a, b int) int { return cmp.Compare(mixBits(servers[a].Key), mixBits(servers[b].Key)) }
	slices.SortFunc(order, byMixedKey)
	for _, s := range order {
		t.probers[s] = a.chooseProbers(servers[s])
	}
	return t
}

// assigner is the state of one call of Assign.
type assigner struct {
	relays           []Relay
	seeds            []uint64 // by relay: hash of its name
	assignedCount    []int32  // by relay: number of servers assigned so far
	maxServers       int32    // per relay
	probersPerServer int      // probers of a server
}

// chooseProbers chooses the probers of a server: up to probersPerServer-1 in its zone, then relays of other
// zones, then relays of any zone. Only relays below the maximum are considered, unless rounding leaves too
// few of them.
func (a *assigner) chooseProbers(s Server) []int32 {
	picked := make([]int32, 0, a.probersPerServer)
	near := func(i int) bool { return a.relays[i].Zone == s.Zone }
	hasCapacity := func(i int) bool { return a.assignedCount[i] < a.maxServers }
	picked = a.pick(picked, max(a.probersPerServer-1, 1), s,
		func(i int) bool { return near(i) && hasCapacity(i) })
	picked = a.pick(picked, a.probersPerServer, s, func(i int) bool { return !near(i) && hasCapacity(i) })
	picked = a.pick(picked, a.probersPerServer, s, hasCapacity)
	return a.pick(picked, a.probersPerServer, s, func(int) bool { return true })
}

// pick adds the highest-ranked eligible relays for a server until want relays are picked.
func (a *assigner) pick(picked []int32, want int, s Server, eligible func(i int) bool) []int32 {
	for len(picked) < want {
		best, top := int32(-1), uint64(0)
		for i := range a.relays {
			rank := mixBits(a.seeds[i] ^ s.Key)
			if (best < 0 || rank > top) && eligible(i) && !slices.Contains(picked, int32(i)) {
				best, top = int32(i), rank
			}
		}
		if best < 0 {
			break
		}
		a.assignedCount[best]++
		picked = append(picked, best)
	}
	return picked
}

// Probers returns the names of a server's probers. The server is given by its index in the list passed to
// Assign.
func (t *Assignment) Probers(server int) []string {
	out := make([]string, len(t.probers[server]))
	for i, r := range t.probers[server] {
		out[i] = t.relays[r]
	}
	return out
}

// rank returns the position of a relay among a server's probers, or -1 if the relay is not one of them.
func (t *Assignment) rank(server int, relay string) int {
	for i, r := range t.probers[server] {
		if t.relays[r] == relay {
			return i
		}
	}
	return -1
}

// hashName returns the FNV-1a hash of a name.
func hashName(s string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 0x100000001b3
	}
	return h
}

// mixBits is the finalizer of splitmix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
