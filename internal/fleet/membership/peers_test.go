package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// The peers are sorted by name whatever order they are added in, this relay is not among them, and a relay
// keeps its entry.
func TestPeersAreInTheOrderOfNames(t *testing.T) {
	table := peerTable{self: relayName(5), byName: map[string]*Peer{}}
	for _, i := range rand.New(rand.NewPCG(1, 1)).Perm(20) {
		if p := table.entry(relayName(i), time.Second); p != table.entry(relayName(i), 2*time.Second) ||
			p.hasStatus() {
			t.Errorf("%s: got a second entry, or an entry with a status: %+v", p.Name, p)
		}
	}
	inOrder := slices.IsSortedFunc(table.sorted,
		func(a, b *Peer) int { return strings.Compare(a.Name, b.Name) })
	if len(table.sorted) != 19 || !inOrder || slices.Contains(table.sorted, table.byName[relayName(5)]) {
		t.Errorf("got %d peers, sorted %v; want 19, sorted and without this relay",
			len(table.sorted), inOrder)
	}
	if !table.isAlive(relayName(5)) || table.isAlive(relayName(1)) || table.isAlive("stranger") ||
		table.anyAlive() {
		t.Error("before any event: want only this relay to count as alive")
	}
	table.byName[relayName(1)].Health = HealthSuspected
	if !table.isAlive(relayName(1)) || table.anyAlive() {
		t.Error("with a suspected peer: want isAlive to be true for it, and anyAlive to be false")
	}
}

// A status counts only if it is newer than the last one. It sets since when its relay has reported its epoch
// and its slot. New load figures alone are no change of state.
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
			t.Errorf("status %s: newerThan is %v, want the opposite", what, !c.newer)
		}
	}
	p := Peer{StatusAt: -1}
	if !p.setStatus(old, time.Second) || p.EpochSince != time.Second {
		t.Errorf("after the first status: got %+v, want a change and its epoch since 1 s", p)
	}
	figures := old
	figures.RequestRate = 7
	if p.setStatus(figures, 2*time.Second) || p.EpochSince != time.Second || p.StatusAt != 2*time.Second {
		t.Errorf("after new load figures: got %+v, want no change, its epoch since 1 s, the status at 2 s", p)
	}
	released := figures
	released.SlotReleased = true
	if !p.setStatus(released, 3*time.Second) || p.SlotReleasedAt != 3*time.Second ||
		p.EpochSince != time.Second {
		t.Errorf("after the slot release: got %+v, want a change, the release at 3 s, its epoch since 1 s",
			p)
	}
}
