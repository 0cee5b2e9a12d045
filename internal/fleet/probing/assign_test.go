package probing

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// newFleet is so many relays and servers, evenly over zones.
func newFleet(relays, servers, zones int) (rs []Relay, ss []Server) {
	for i := range relays {
		rs = append(rs, Relay{fmt.Sprintf("r%d", i), fmt.Sprintf("z%d", i%zones)})
	}
	for i := range servers {
		ss = append(ss, Server{Key: hashName(fmt.Sprintf("s%d", i)), Zone: fmt.Sprintf("z%d", i%zones)})
	}
	return rs, ss
}

// checkAssignment tells what of a table is not as promised.
func checkAssignment(t interface{ Errorf(string, ...any) }, rs []Relay, ss []Server, table *Assignment) {
	zone, parts, inZone := map[string]string{}, map[string]int{}, map[string]int{}
	for _, r := range rs {
		zone[r.Name] = r.Zone
		inZone[r.Zone]++
	}
	each := min(ProbersPerServer, len(rs))
	for i, s := range ss {
		of := table.Probers(i)
		near := 0
		for j, name := range of {
			parts[name]++
			if zone[name] == s.Zone {
				near++
			}
			if slices.Contains(of[:j], name) {
				t.Errorf("%d relays, %d servers: %s probes a server twice: %v", len(rs), len(ss), name, of)
			}
		}
		if len(of) != each {
			t.Errorf("%d relays, %d servers: %d probe a server, wanted %d", len(rs), len(ss), len(of), each)
		}
	}
	mean := float64(each*len(ss)) / float64(len(rs))
	for name, n := range parts {
		if float64(n) > math.Ceil(mean*(1+assignmentSlack)+0.001)+1 {
			t.Errorf("%d relays, %d servers: %s probes %d, the mean is %.1f", len(rs), len(ss), name, n, mean)
		}
	}
}

// At any number of relays and servers each server has as many probers as any other, and no relay much
// more to probe than the mean; zones of any sizes.
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
				r.Errorf("the order of names changes who probes a server: %v, %v", table.Probers(i),
					other.Probers(i))
			}
		}
	})
}

// Where zones have enough relays, two of a server's three probers are of its zone and one is not.
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
			t.Errorf("%d of %v are of zone %s", near, table.Probers(i), s.Zone)
		}
	}
}

// One relay more or less, or one server, changes few others' probers.
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
		// What was probed by the one that goes must move, and about as much again may.
		fair := ProbersPerServer * size[1] / size[0]
		if n := moved(Assign(rs[1:], ss), ss, rs[0].Name); n > 3*fair+6 {
			t.Errorf("%v: without one relay %d assignments move that were others', of %d; its own are %d",
				size, n,
				ProbersPerServer*size[1], fair)
		}
		if n := moved(Assign(rs, ss[:len(ss)-1]), ss[:len(ss)-1], ""); n > 3*ProbersPerServer+6 {
			t.Errorf("%v: without one server %d assignments move, of %d", size, n, ProbersPerServer*size[1])
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
