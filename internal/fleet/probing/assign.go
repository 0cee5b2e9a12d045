package probing

import (
	"cmp"
	"slices"
)

// Relay is one that takes part.
type Relay struct {
	Name string
	Zone string
}

// Server is one that is to be probed.
type Server struct {
	Key     uint64 // its number, the same at every relay
	Zone    string
	Started int64 // when its process started, Unix ms; 0 for long ago
}

// ProbersPerServer is how many relays probe each server: three, so that one that reports nonsense is
// outvoted by two.
const ProbersPerServer = 3

// assignmentSlack is how much more than the mean a relay may be given to probe, as a part of the mean.
// With none, whoever comes last gets what is left over, and one relay more or less moves much.
const assignmentSlack = 0.25

// Assignment says who probes which server.
type Assignment struct {
	relays  []string
	probers [][]int32 // by server, as given: the relays that probe it, in the order in which they were chosen
}

// Assign gives each server ProbersPerServer relays, or all where there are fewer. Each server takes the
// relays that rank highest in an order of its own (rendezvous hashing), those of its zone first, but none
// that has its fill: so the relays' parts are even, and one relay or server more or less changes few
// others. Whoever is given the same lists gets the same Assignment, whatever the order they come in.
//
// At least one prober is of another zone where there is one: a zone that is cut off is seen by those
// outside as what it is, and two of three are near, where a probe costs no crossing.
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
		relays:     relays,
		seeds:      make([]uint64, len(relays)),
		assigned:   make([]int32, len(relays)),
		maxServers: max(int32(mean*(1+assignmentSlack)+0.999), 1),
		each:       probersPerServer,
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

// assigner is an Assignment in the making.
type assigner struct {
	relays     []Relay
	seeds      []uint64 // by relay: the hash of its name
	assigned   []int32  // by relay: servers so far
	maxServers int32    // servers that a relay is to be given
	each       int      // probers of a server
}

// chooseProbers picks a server's probers: up to each-1 of its zone, the rest of others, what is short
// from anywhere; all of relays that have capacity first. The last resort, a relay that has none, is
// needed only where rounding leaves none elsewhere.
func (a *assigner) chooseProbers(s Server) []int32 {
	picked := make([]int32, 0, a.each)
	near := func(i int) bool { return a.relays[i].Zone == s.Zone }
	hasCapacity := func(i int) bool { return a.assigned[i] < a.maxServers }
	picked = a.pick(picked, max(a.each-1, 1), s, func(i int) bool { return near(i) && hasCapacity(i) })
	picked = a.pick(picked, a.each, s, func(i int) bool { return !near(i) && hasCapacity(i) })
	picked = a.pick(picked, a.each, s, hasCapacity)
	return a.pick(picked, a.each, s, func(int) bool { return true })
}

// pick adds the relays that rank highest for a server among those that are eligible, until there are so many.
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
		a.assigned[best]++
		picked = append(picked, best)
	}
	return picked
}

// Probers returns the names of a server's probers, by its place in the list that Assign was given.
func (t *Assignment) Probers(server int) []string {
	out := make([]string, len(t.probers[server]))
	for i, r := range t.probers[server] {
		out[i] = t.relays[r]
	}
	return out
}

// rank is a relay's place among a server's probers, negative if it is none.
func (t *Assignment) rank(server int, relay string) int {
	for i, r := range t.probers[server] {
		if t.relays[r] == relay {
			return i
		}
	}
	return -1
}

// hashName is FNV-1a of a name.
func hashName(s string) uint64 {
	h := uint64(0xcbf29ce484222325)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 0x100000001b3
	}
	return h
}

// mixBits spreads a number's bits (the finish of splitmix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
