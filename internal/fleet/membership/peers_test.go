package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// The peers are in the order of names whatever order they come in, this relay is none of them, and an
// entry stays the same.
func TestPeersAreInTheOrderOfNames(t *testing.T) {
	table := peerTable{self: relayName(5), byName: map[string]*Peer{}}
	for _, i := range rand.New(rand.NewPCG(1, 1)).Perm(20) {
		if p := table.entry(relayName(i), time.Second); p != table.entry(relayName(i), 2*time.Second) || p.hasStatus() {
			t.Errorf("%s has two entries, or a status: %+v", p.Name, p)
		}
	}
	inOrder := slices.IsSortedFunc(table.sorted,
		func(a, b *Peer) int { return strings.Compare(a.Name, b.Name) })
	if len(table.sorted) != 19 || !inOrder || slices.Contains(table.sorted, table.byName[relayName(5)]) {
		t.Errorf("%d peers, in order %v", len(table.sorted), inOrder)
	}
	if !table.isAlive(relayName(5)) || table.isAlive(relayName(1)) || table.isAlive("stranger") || table.anyAlive() {
		t.Error("alive before anything is known")
	}
	table.byName[relayName(1)].Health = HealthSuspected
	if !table.isAlive(relayName(1)) || table.anyAlive() {
		t.Error("a suspected peer counts as there, and not as alive")
	}
}

// A status counts if it is newer, and says since when its relay has named its epoch and its slot; figures
// alone change nothing.
func TestNewestStatusCounts(t *testing.T) {
	old := Status{Incarnation: 2, Seq: 5, Epoch: 1}
	for what, c := range map[string]struct {
		status Status
		newer  bool
	}{
		"the same":                {old, false},
		"a later one":             {Status{Incarnation: 2, Seq: 6}, true},
		"of a later process":      {Status{Incarnation: 3, Seq: 1}, true},
		"of an earlier process":   {Status{Incarnation: 1, Seq: 9}, false},
		"overtaken on its way":    {Status{Incarnation: 2, Seq: 4}, false},
		"the first of all, empty": {Status{}, false},
	} {
		if c.status.newerThan(old) != c.newer {
			t.Errorf("%s: newer %v", what, !c.newer)
		}
	}
	p := Peer{StatusAt: -1}
	if !p.setStatus(old, time.Second) || p.EpochSince != time.Second {
		t.Errorf("the first status: %+v", p)
	}
	figures := old
	figures.RequestRate = 7
	if p.setStatus(figures, 2*time.Second) || p.EpochSince != time.Second || p.StatusAt != 2*time.Second {
		t.Errorf("new figures only: %+v", p)
	}
	released := figures
	released.SlotReleased = true
	if !p.setStatus(released, 3*time.Second) || p.SlotReleasedAt != 3*time.Second ||
		p.EpochSince != time.Second {
		t.Errorf("its slot released: %+v", p)
	}
}
