package probing

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// newFleet returns relays and servers spread evenly over zones.
func newFleet(relays, servers, zones int) (rs []Relay, ss []Server) {
	for i := range relays {
		rs = append(rs, Relay{fmt.Sprintf("r%d", i), fmt.Sprintf("z%d", i%zones)})
	}
	for i := range servers {
		ss = append(ss, Server{Key: hashName(fmt.Sprintf("s%d", i)), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return rs, ss
}

// checkAssignment reports a server with duplicate or missing probers, and a relay with many more servers than
// the mean.
func checkAssignment(t interface{ Errorf(string, ...any) }, rs []Relay, ss []Server, table *Assignment) {
	zone, assigned, inZone := map[string]string{}, map[string]int{}, map[string]int{}
	for _, r := range rs {
		zone[r.Name] = r.Zone
		inZone[r.Zone]++
	}
	each := min(ProbersPerServer, len(rs))
	for i, s := range ss {
		probers := table.Probers(i)
		near := 0
		for j, name := range probers {
			assigned[name]++
			if zone[name] == s.Zone {
				near++
			}
			if slices.Contains(probers[:j], name) {
				t.Errorf("%d relays, %d servers: relay %s is listed twice among a server's probers %v",
					len(rs), len(ss), name, probers)
			}
		}
		if len(probers) != each {
			t.Errorf("%d relays, %d servers: a server has %d probers, want %d", len(rs), len(ss),
				len(probers), each)
		}
	}
	mean := float64(each*len(ss)) / float64(len(rs))
	for name, n := range assigned {
		if float64(n) > math.Ceil(mean*(1+assignmentSlack)+0.001)+1 {
			t.Errorf("%d relays, %d servers: relay %s probes %d servers, too many for a mean of %.1f",
				len(rs), len(ss), name, n, mean)
		}
	}
}

// For any numbers of relays and servers, and zones of any size, each server has the same number of probers,
// and no relay has many more servers to probe than the mean.
func TestAssignIsFair(t *testing.T) {
	for _, size := range [][3]int{{1, 3, 1}, {2, 3, 1}, {3, 5000, 3}, {9, 12, 3}, {300, 90, 3}, {1000, 3, 3},
		{1000, 5000, 5}} {
		rs, ss := newFleet(size[0], size[1], size[2])
		checkAssignment(t, rs, ss, Assign(rs, ss))
	}
	rapid.Check(t, func(r *rapid.T) {
		rs, ss := newFleet(rapid.IntRange(1, 60).Draw(r, "relays"), rapid.IntRange(3, 120).Draw(r, "servers"),
			1)
		for i := range rs {
			rs[i].Zone = rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(r, "zone")
		}
		for i := range ss {
			ss[i].Zone = rapid.SampledFrom([]string{"a", "b", "b", "d"}).Draw(r, "zone")
		}
		table := Assign(rs, ss)
		checkAssignment(r, rs, ss, table)
		other := Assign(rapid.Permutation(rs).Draw(r, "order"), ss)
		for i := range ss {
			if !slices.Equal(table.Probers(i), other.Probers(i)) {
				r.Errorf("probers of a server are %v in one order of the relays and %v in another",
					table.Probers(i), other.Probers(i))
			}
		}
	})
}

// If zones have enough relays, a server has probers in its own zone and in another one.
func TestAssignKeepsZones(t *testing.T) {
	rs, ss := newFleet(30, 60, 3)
	table, zone := Assign(rs, ss), map[string]string{}
	for _, r := range rs {
		zone[r.Name] = r.Zone
	}
	for i, s := range ss {
		near := 0
		for _, name := range table.Probers(i) {
			if zone[name] == s.Zone {
				near++
			}
		}
		if near == 0 || near == ProbersPerServer {
			t.Errorf("%d of the probers %v are in the server's zone %s, want some but not all", near,
				table.Probers(i), s.Zone)
		}
	}
}

// Adding or removing one relay or one server changes the probers of few other servers.
func TestAssignChangesLittle(t *testing.T) {
	for _, size := range [][2]int{{9, 60}, {30, 90}, {300, 90}, {300, 2000}} {
		rs, ss := newFleet(size[0], size[1], 3)
		before := Assign(rs, ss)
		moved := func(table *Assignment, ss []Server, gone string) (n int) {
			for i := range ss {
				for _, name := range before.Probers(i) {
					if name != gone && !slices.Contains(table.Probers(i), name) {
						n++
					}
				}
			}
			return n
		}
		// The removed relay's own assignments have to move, and about as many others may.
		fair := ProbersPerServer * size[1] / size[0]
		if n := moved(Assign(rs[1:], ss), ss, rs[0].Name); n > 3*fair+6 {
			t.Errorf("%v: removing one relay moves %d assignments of other relays, of %d; it had %d itself",
				size, n,
				ProbersPerServer*size[1], fair)
		}
		if n := moved(Assign(rs, ss[:len(ss)-1]), ss[:len(ss)-1], ""); n > 3*ProbersPerServer+6 {
			t.Errorf("%v: removing one server moves %d assignments of %d", size, n, ProbersPerServer*size[1])
		}
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, size := range [][2]int{{300, 90}, {1000, 5000}} {
		rs, ss := newFleet(size[0], size[1], 3)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				Assign(rs, ss)
			}
		})
	}
}
