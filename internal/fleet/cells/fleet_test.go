package cells

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// maxDeathPropagation is the maximum time for a change of a cell's view to reach every other cell.
const maxDeathPropagation = 20 * second

// The failure of a relay is known in all other cells within 20 s of the change of its cell's view, even if
// the relay was the representative and 1% of packets are lost. A cell that has lost its representative has a
// complete directory again within three rounds.
func TestDeathIsKnownInOtherCells(t *testing.T) {
	slowestKnown, slowestConverged, deaths := time.Duration(0), time.Duration(0), 0
	for seed := range uint64(6) {
		n := newFleet(t, seed, largeLayout, 2, 4)
		n.lossRate, n.duplicateRate = 0.01, 0.02
		if n.advanceUntil(60*second, n.converged) > 40*second {
			t.Fatal("cells did not converge within 40 s of the start")
		}
		for i := range 10 {
			g := n.cells[n.rng.IntN(len(n.cells))]
			n.advance(duration.Scale(15*second, n.rng.Float64()))
			victim := g.representative()
			if i%2 == 1 {
				victim = g.relays[len(g.relays)-1]
			}
			if !victim.running || g.members() < g.padding+2 {
				continue
			}
			n.kill(victim)
			deaths++
			took := n.advanceUntil(60*second, func() bool { return n.knownEverywhere(g) })
			all := took + n.advanceUntil(60*second, n.converged)
			slowestKnown, slowestConverged = max(slowestKnown, took), max(slowestConverged, all)
			if took > maxDeathPropagation || all > 3*RoundDuration(len(n.cells)) {
				t.Errorf("seed %d: the failure of %s is known in all cells after %.1f s, "+
					"all directories are complete after %.1f s, want at most 20 s and three rounds",
					seed, victim.name, took.Seconds(), all.Seconds())
			}
		}
	}
	t.Logf("%d failures: known in all cells after at most %.1f s, all directories complete after %.1f s",
		deaths, slowestKnown.Seconds(), slowestConverged.Seconds())
}

// After a region was cut off for ten minutes, in both directions or in one, all cells converge within 20 s,
// and no representative sends more than three times its steady packet rate in any second.
func TestRegionComesBack(t *testing.T) {
	inRegion := func(r *relay) bool { return r.cell.region == "region-0" }
	for name, cut := range map[string]func(from, to *relay) bool{
		"both ways": func(from, to *relay) bool { return inRegion(from) != inRegion(to) },
		"out":       func(from, to *relay) bool { return inRegion(from) && !inRegion(to) },
		"in":        func(from, to *relay) bool { return !inRegion(from) && inRegion(to) },
	} {
		t.Run(name, func(t *testing.T) { testRegionRecovery(t, cut) })
	}
}

// testRegionRecovery cuts and heals the network with one kind of cut.
func testRegionRecovery(t *testing.T, cut func(from, to *relay) bool) {
	n := newFleet(t, 5, largeLayout, 2, 4)
	n.advance(120 * second)
	if !n.converged() {
		t.Fatal("cells did not converge within 120 s of the start")
	}
	steadyFrom := n.now
	n.advance(120 * second)
	n.isCut = cut
	n.advance(10 * second)
	n.kill(n.cells[0].representative())
	n.kill(n.cells[20].representative())
	n.advance(590 * second)
	if n.converged() || n.changes[CellLost] == 0 {
		t.Fatal("cut region was not reported as lost")
	}
	n.isCut = nil
	healedAt := n.now
	took := n.advanceUntil(60*second, n.converged)
	allRenewed := n.advanceUntil(60*second, func() bool { return n.allSummariesSince(healedAt) })
	n.advance(30 * second)
	most, packets, directories := 0.0, 0, 0
	for _, g := range n.cells {
		steadyMax := maxPerSecond(g.sent, steadyFrom, steadyFrom+120*second)
		healedMax := maxPerSecond(g.sent, healedAt, n.now)
		most = max(most, float64(healedMax)/float64(max(steadyMax, 1)))
		packets = max(packets, healedMax)
		directories = max(directories, maxPerSecond(g.published, healedAt, n.now))
	}
	t.Logf("converged %.1f s after the cut ended, all summaries renewed %.1f s after that; "+
		"at most %d packets and %d directories in a second, %.2f times the steady maximum",
		took.Seconds(), allRenewed.Seconds(), packets, directories, most)
	if took+allRenewed > 20*second {
		t.Errorf("converged after %.1f s and all summaries renewed %.1f s later, want 20 s together",
			took.Seconds(), allRenewed.Seconds())
	}
	if most > 3 || directories > 1 {
		t.Errorf("%.2f times the steady packet rate and %d directories in a second, want at most 3 and 1",
			most, directories)
	}
}

// allSummariesSince reports whether every representative has a summary of every cell that arrived at or after
// since.
func (n *network) allSummariesSince(since time.Duration) bool {
	for _, g := range n.cells {
		for _, r := range g.representative().coordinator.remotes {
			if r.summaryAt < since {
				return false
			}
		}
	}
	return true
}

// The packet rate of a representative hardly grows with the number of cells.
func TestPaceByNumberOfCells(t *testing.T) {
	rates := map[int]float64{}
	for _, c := range []struct {
		zones   []int
		perZone int
	}{{[]int{2, 2, 1}, 2}, {largeLayout, 2}, {[]int{8, 8, 8, 8}, 4}} {
		n := newFleet(t, 2, c.zones, c.perZone, 1)
		n.advance(30 * second)
		from := n.now
		n.advance(100 * second)
		sent := countBetween(n.cells[0].sent, from, n.now)
		rates[len(n.cells)] = float64(sent) / 100
		t.Logf("%d cells: %.2f packets per second of a representative, at most %d in one; round takes %.1f s",
			len(n.cells), rates[len(n.cells)],
			maxPerSecond(n.cells[0].sent, from, n.now), RoundDuration(len(n.cells)).Seconds())
	}
	if most := float64(second) / float64(roundPerCell); rates[10] > 2 || rates[34] > most*1.01 ||
		rates[128] > most*1.01 {
		t.Error("packets per second of a representative, by number of cells:", rates)
	}
}

// Summaries and directories fit their packets, even with long names and large numbers.
func TestMessagesFitTheirPackets(t *testing.T) {
	plan := cellplan.Plan{Number: 1234}
	for region := range 5 {
		for i := range 7 {
			name := fmt.Sprintf("eu-north-%d-hall-%c-%d", region, 'a'+i/2, i%2)
			plan.Cells = append(plan.Cells, cellplan.Cell{Name: name,
				Region: fmt.Sprintf("eu-north-%d", region),
				Zone:   name, Relays: 64, Contacts: []string{"100.100.100.100:17946"}})
		}
	}
	if err := plan.Check(); err != nil {
		t.Fatal(err)
	}
	c := New(0, Config{Name: "relay-eu-north-0-001", Cell: plan.Cells[0].Name, Incarnation: 1 << 40,
		Plan: plan})
	l := LocalCell{Members: 64, ServingMembers: 64, Epoch: 1 << 30, Plan: 1234, JoinedPlan: 1234,
		PlanHash: plan.Hash(), RequestRate: 12345.678, OpenConnections: 123456789, DrainRate: 123.456}
	for i := range 7 {
		name := fmt.Sprintf("relay-eu-north-0-%03d", i+1)
		l.Voters = append(l.Voters, Voter{Name: name, Address: fmt.Sprintf("100.100.100.%d:17946", 100+i),
			Alive: true})
	}
	for i := range 64 {
		l.DepartedRelays = append(l.DepartedRelays, fmt.Sprintf("relay-eu-north-0-%03d", i+1))
	}
	c.Handle(0, l, nil)
	c.summarySeq = 1 << 40
	summary := c.summary()
	if err := summary.Check(); err != nil {
		t.Fatal(err)
	}
	for i, cell := range plan.Cells[1:] {
		other := summary
		other.Cell, other.Region, other.Representative, other.Seq = cell.Name, cell.Region,
			fmt.Sprintf("%s-%d", cell.Name, i), 1
		c.Handle(second, SummaryReceived{Summary: other}, nil)
	}
	rows := c.regionTotals(second)
	directory := Directory{Cell: c.cfg.Cell, Representative: c.cfg.Name, Incarnation: 1 << 40, Seq: 1 << 40,
		Epoch: 1 << 30, ActivatedPlan: 1234, Regions: rows}
	if err := directory.Check(); err != nil || len(rows) != 5 || rows[1].Relays != 7*64 {
		t.Fatal("directory of 5 regions with 7*64 relays each: got", err, rows)
	}
	t.Logf("summary with %d departed relays: %d bytes; directory of %d regions: %d bytes",
		len(summary.DepartedRelays), encodedSize(t, summary), len(rows), encodedSize(t, directory))
	if encodedSize(t, summary) > 400 || encodedSize(t, directory) > 600 {
		t.Error("encoded summary or directory is too large, want at most 400 and 600 bytes")
	}
	if len(summary.Contacts) != MaxContacts || len(summary.DepartedRelays) < 4 ||
		strings.Join(summary.Contacts,
			" ") != "100.100.100.100:17946 100.100.100.101:17946 100.100.100.102:17946" {
		t.Error("summary has wrong contacts or too few departed relays:", summary)
	}
}
