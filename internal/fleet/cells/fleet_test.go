package cells

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// maxDeathPropagation is how long after a cell's view has changed every other cell may take to know it.
const maxDeathPropagation = 20 * second

// A death is known in all other cells within 20 s of its cell's view, also where it is the
// representative's and a packet in a hundred is lost. A cell that has lost its representative has a whole
// directory again within three rounds.
func TestDeathIsKnownInOtherCells(t *testing.T) {
	slowest, whole, deaths := time.Duration(0), time.Duration(0), 0
	for seed := range uint64(6) {
		n := newFleet(t, seed, largeLayout, 2, 4)
		n.lossRate, n.duplicateRate = 0.01, 0.02
		if n.advanceUntil(60*second, n.converged) > 40*second {
			t.Fatal("no agreement at the start")
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
			slowest, whole = max(slowest, took), max(whole, all)
			if took > maxDeathPropagation || all > 3*RoundDuration(len(n.cells)) {
				t.Errorf("seed %d: the death of %s is known after %.1f s, "+
					"all directories are whole after %.1f s",
					seed, victim.name, took.Seconds(), all.Seconds())
			}
		}
	}
	t.Logf("%d deaths: known in every other cell after %.1f s at most, all directories whole after %.1f s",
		deaths, slowest.Seconds(), whole.Seconds())
}

// A region that was cut off for ten minutes, both ways or one way, is agreed with everywhere within 20 s,
// and no representative sends more than three times of what it does at rest in any second.
func TestRegionComesBack(t *testing.T) {
	in := func(r *relay) bool { return r.cell.region == "region-0" }
	for name, cut := range map[string]func(from, to *relay) bool{
		"both ways": func(from, to *relay) bool { return in(from) != in(to) },
		"out":       func(from, to *relay) bool { return in(from) && !in(to) },
		"in":        func(from, to *relay) bool { return !in(from) && in(to) },
	} {
		t.Run(name, func(t *testing.T) { testRegionComesBack(t, cut) })
	}
}

func testRegionComesBack(t *testing.T, cut func(from, to *relay) bool) {
	n := newFleet(t, 5, largeLayout, 2, 4)
	n.advance(120 * second)
	if !n.converged() {
		t.Fatal("no agreement at the start")
	}
	rest := n.now
	n.advance(120 * second)
	n.isCut = cut
	n.advance(10 * second)
	n.kill(n.cells[0].representative())
	n.kill(n.cells[20].representative())
	n.advance(590 * second)
	if n.converged() || n.changes[CellLost] == 0 {
		t.Fatal("the cut isn't seen")
	}
	n.isCut = nil
	heal := n.now
	took := n.advanceUntil(60*second, n.converged)
	fresh := n.advanceUntil(60*second, func() bool { return n.allSummariesSince(heal) })
	n.advance(30 * second)
	most, packets, directories := 0.0, 0, 0
	for _, g := range n.cells {
		calm := maxPerSecond(g.sent, rest, rest+120*second)
		after := maxPerSecond(g.sent, heal, n.now)
		most = max(most, float64(after)/float64(max(calm, 1)))
		packets = max(packets, after)
		directories = max(directories, maxPerSecond(g.published, heal, n.now))
	}
	t.Logf("agreed %.1f s after the heal, all summaries fresh %.1f s after that; "+
		"a representative's busiest second %d packets and %d directories, %.2f of its busiest at rest",
		took.Seconds(), fresh.Seconds(), packets, directories, most)
	if took+fresh > 20*second {
		t.Errorf("agreed after %.1f s, fresh %.1f s later", took.Seconds(), fresh.Seconds())
	}
	if most > 3 || directories > 1 {
		t.Errorf("%.2f times the packets of the rest, %d directories in a second", most, directories)
	}
}

// allSummariesSince tells whether every representative has a summary of every cell since a moment.
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

// A representative's packets a second hardly grow with the number of cells.
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
		t.Logf("%d cells: %.2f packets a second of a representative, at most %d in one; a round takes %.1f s",
			len(n.cells), rates[len(n.cells)],
			maxPerSecond(n.cells[0].sent, from, n.now), RoundDuration(len(n.cells)).Seconds())
	}
	if most := float64(second) / float64(roundPerCell); rates[10] > 2 || rates[34] > most*1.01 ||
		rates[128] > most*1.01 {
		t.Error(rates)
	}
}

// What goes between cells and inside one fits its packet, with long names and large numbers.
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
		t.Fatal(err, rows)
	}
	t.Logf("a summary with %d departed: %d bytes; a directory of %d regions: %d bytes",
		len(summary.DepartedRelays),
		encodedSize(t, summary), len(rows), encodedSize(t, directory))
	if encodedSize(t, summary) > 400 || encodedSize(t, directory) > 600 {
		t.Error("too large")
	}
	if len(summary.Contacts) != MaxContacts || len(summary.DepartedRelays) < 4 ||
		strings.Join(summary.Contacts,
			" ") != "100.100.100.100:17946 100.100.100.101:17946 100.100.100.102:17946" {
		t.Error(summary)
	}
}
