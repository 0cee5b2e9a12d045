package cells

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// smallLayout gives three cells in two regions.
var smallLayout = []int{2, 1}

// If two relays both act as representative of their cell, all cells stay converged, and no change is reported
// repeatedly.
func TestTwoRepresentativesAtOnceAgree(t *testing.T) {
	n := newFleet(t, 3, smallLayout, 1, 3)
	n.lossRate, n.duplicateRate = 0.05, 0.1
	n.advance(60 * second)
	g := n.cells[0]
	first := g.relays[0]
	g.relays[1].believesAlive = func(r *relay) bool { return r != first }
	n.updateCell(g)
	n.advance(20 * second)
	if !g.relays[0].coordinator.election.isRepresentative ||
		!g.relays[1].coordinator.election.isRepresentative {
		t.Fatal("only one relay acts as representative, want two")
	}
	reported := n.changes[RepresentativeChanged]
	for range 30 {
		n.advance(10 * second)
		if !n.converged() {
			for _, r := range n.byName {
				t.Log(n.now, r.name, n.hasTrueDirectory(r), r.coordinator.election.isRepresentative,
					r.coordinator.election.otherRepresentative, r.coordinator.directory.newest)
			}
			t.Fatal("cells did not stay converged with two representatives")
		}
	}
	if more := n.changes[RepresentativeChanged] - reported; more > 0 || n.changes[CellLost] > 0 {
		t.Errorf("%d changes of representative and %d lost cells reported in 300 s, want none", more,
			n.changes[CellLost])
	}
}

// A representative that restarts with lower sequence numbers than it has sent before is accepted again, while
// old packets are not.
func TestRepresentativeWithOldNumbersIsAcceptedAgain(t *testing.T) {
	n := newFleet(t, 4, smallLayout, 1, 1)
	n.advance(60 * second)
	g := n.cells[0]
	n.kill(g.relays[0])
	n.advance(60 * second)
	if n.changes[CellLost] == 0 {
		t.Fatal("cell without representative was not reported as lost")
	}
	g.relays[0].incarnation = 0 // so that its next process has incarnation 1 again
	n.start(g.relays[0])
	n.updateCell(g)
	if took := n.advanceUntil(60*second, n.converged); took > 25*second {
		t.Errorf("cells converged %.1f s after the restart, want at most 25 s", took.Seconds())
	}
}

// An old or duplicated packet neither replaces newer figures nor makes a lost cell known.
func TestOldPacketsDoNotMakeACellKnown(t *testing.T) {
	c, plan := newTestCoordinator(t)
	newest := summaryOf(plan, "b", 5)
	c.Handle(0, SummaryReceived{Summary: newest}, nil)
	for i, s := range []Summary{newest, summaryOf(plan, "b", 4), summaryOf(plan, "b", 3)} {
		s.Members, s.ServingMembers = 3, 3
		c.Handle(second, SummaryReceived{Summary: s}, nil)
		if c.remotes["b"].summary.Members != 32 {
			t.Fatalf("old summary %d replaced a newer one", i)
		}
	}
	if c.drops.Stale != 3 {
		t.Error("want 3 stale drops, got", c.drops)
	}
	// Old packets that arrive much later do not either; only a representative whose numbers rise does.
	late := 1000 * second
	for range 3 {
		c.Handle(late, SummaryReceived{Summary: summaryOf(plan, "b", 2)}, nil)
	}
	if c.remotes["b"].summaryAt != 0 {
		t.Error("duplicated old summary made a lost cell known")
	}
	c.Handle(late, SummaryReceived{Summary: summaryOf(plan, "b", 3)}, nil)
	if c.remotes["b"].summaryAt != late {
		t.Error("representative with reset sequence numbers was not accepted again")
	}
}

// A summary from relays that still have an older view does not replace one of the newer view.
func TestSummaryOfAnOlderViewIsStale(t *testing.T) {
	c, plan := newTestCoordinator(t)
	newer, older := summaryOf(plan, "b", 5), summaryOf(plan, "b", 9)
	newer.Epoch, older.Epoch, older.Representative, older.Members, older.ServingMembers = 8, 7, "b-2", 2, 2
	c.Handle(0, SummaryReceived{Summary: newer}, nil)
	c.Handle(second, SummaryReceived{Summary: older}, nil)
	if c.remotes["b"].summary.Members != 32 {
		t.Error("summary of an older view replaced one of a newer view")
	}
	older.Seq++
	c.Handle(100*second, SummaryReceived{Summary: older}, nil)
	if c.remotes["b"].summary.Members != 2 {
		t.Error("summary of an older view was not accepted after the newer view fell silent")
	}
}

// A relay that is not the representative forwards a summary to the representative, and does not forward one
// that was forwarded already.
func TestSummaryIsForwardedOnce(t *testing.T) {
	c, plan := newTestCoordinator(t)
	c.Handle(0, LocalCell{Voters: []Voter{{Name: "a-0", Alive: true}, {Name: "a-1", Alive: true}},
		Members: 2}, nil)
	out := c.Handle(second, SummaryReceived{Summary: summaryOf(plan, "b", 1)}, nil)
	i := slices.IndexFunc(out, func(a Action) bool { _, is := a.(ForwardSummary); return is })
	if i < 0 || out[i].(ForwardSummary).To != "a-0" || !out[i].(ForwardSummary).Summary.Forwarded {
		t.Fatal("want the summary forwarded to a-0 and marked as forwarded, got", out)
	}
	forwarded := summaryOf(plan, "b", 2)
	forwarded.Forwarded = true
	for _, a := range c.Handle(second, SummaryReceived{Summary: forwarded}, nil) {
		if _, is := a.(ForwardSummary); is {
			t.Error("forwarded summary was forwarded again")
		}
	}
}

// If a cell's contact is dead, the other contacts are tried until one answers.
func TestSilentContactsRotate(t *testing.T) {
	n := newFleet(t, 8, smallLayout, 1, 4)
	n.advance(60 * second)
	g := n.cells[1]
	isolated := func(r *relay) bool { return r.cell == g }
	n.isCut = func(from, to *relay) bool { return isolated(from) != isolated(to) }
	n.advance(20 * second)
	for _, r := range g.relays[:3] {
		n.kill(r)
	}
	n.advance(100 * second)
	// Only packets to the cell pass, so the other cells must find its live contact without hearing from it.
	n.isCut = func(from, to *relay) bool { return isolated(from) && !isolated(to) }
	healedAt := n.now
	took := n.advanceUntil(300*second, func() bool {
		return !slices.ContainsFunc(n.cells, func(o *simulatedCell) bool {
			return o != g &&
				g.relays[3].coordinator.remotes[o.name].summaryAt < healedAt
		})
	})
	t.Logf("three of four contacts dead: all cells known after %.1f s", took.Seconds())
	if took > 5*RoundDuration(3) {
		t.Errorf("all cells known after %.1f s, want at most five rounds", took.Seconds())
	}
}

// A new representative keeps the figures of a cell that has not sent it a summary.
func TestNewRepresentativeInheritsFigures(t *testing.T) {
	n := newFleet(t, 9, smallLayout, 1, 3)
	n.advance(60 * second)
	cutOff := n.cells[2]
	n.isCut = func(from, to *relay) bool { return (from.cell == cutOff) != (to.cell == cutOff) }
	n.advance(60 * second)
	before := n.cells[0].relays[2].coordinator.OtherCellTotals(n.now)
	n.kill(n.cells[0].relays[0])
	for range 60 {
		n.advance(second)
		if got := n.cells[0].relays[1].coordinator.OtherCellTotals(n.now); got != before {
			t.Fatalf("totals of the new representative are %+v, want %+v", got, before)
		}
	}
	row := n.cells[0].relays[2].coordinator.directory.newest.Regions[1]
	if row.KnownCells != 0 || row.Relays != 32 || row.RequestRate != 3200 {
		t.Errorf("region that is cut off is published as %+v, want its last figures and no known cell", row)
	}
}

// A new representative publishes no directory before it has summaries of the other cells.
func TestNewRepresentativeWaitsForSummariesBeforePublishing(t *testing.T) {
	n := newFleet(t, 12, smallLayout, 1, 3)
	n.advance(60 * second)
	g := n.cells[0]
	n.kill(g.relays[0])
	for range 300 {
		n.advance(second / 10)
		if !n.hasTrueDirectory(g.relays[1]) || !n.hasTrueDirectory(g.relays[2]) {
			t.Fatalf("new representative published an incomplete directory: %+v",
				g.relays[2].coordinator.directory.newest)
		}
	}
}

// A representative that was paused does not send the summaries that it missed.
func TestNoBurstAfterAPause(t *testing.T) {
	n := newFleet(t, 10, largeLayout, 2, 1)
	n.advance(60 * second)
	c := n.cells[0].relays[0].coordinator
	now := n.now + 500*second
	sent := 0
	for range 100 {
		for _, a := range c.Handle(now, Tick{}, nil) {
			if _, is := a.(SendSummary); is {
				sent++
			}
		}
	}
	if sent > 1 || c.NextTickAt() <= now {
		t.Errorf("%d summaries at once and next tick in %.1f s, want one summary and a later tick", sent,
			(c.NextTickAt() - now).Seconds())
	}
}

// A change soon after another is sent in a second expedited round, which starts one round after the first.
func TestSecondChangeIsExpeditedAfterARound(t *testing.T) {
	n := newFleet(t, 11, largeLayout, 2, 1)
	n.advance(60 * second)
	g := n.cells[0]
	round := RoundDuration(len(n.cells))
	from := n.now
	g.epoch++
	n.updateCell(g)
	n.advance(second)
	g.epoch++
	n.updateCell(g)
	n.advance(3 * round)
	for i, want := range []int{33, 33, 0} { // expedited round, a second one, a normal one
		start := from + time.Duration(i)*round
		sent := countBetween(g.sent, start, start+duration.Scale(round, 0.45))
		if want == 33 && sent < want || want == 0 && sent > 16 {
			t.Errorf("round %d: %d summaries in the first 0.45 of it", i, sent)
		}
	}
}

// A new representative uses another contact of a silent cell for each summary, because that cell's
// representative may have changed at the same time.
func TestNewRepresentativeTriesEachContact(t *testing.T) {
	plan := cellplan.Plan{Number: 1, Cells: []cellplan.Cell{
		{Name: "a", Region: "r", Zone: "z", Relays: 3, Contacts: []string{"10.0.0.1:1"}},
		{Name: "b", Region: "r", Zone: "z", Relays: 3,
			Contacts: []string{"10.0.1.1:1", "10.0.1.2:1", "10.0.1.3:1"}}}}
	c := New(0, Config{Name: "a-1", Cell: "a", Incarnation: 1, Plan: plan})
	out := c.Handle(0, LocalCell{Voters: []Voter{{Name: "a-1"}}, Members: 3}, nil)
	tried := map[string]bool{}
	for now := time.Duration(0); now < 3*RoundDuration(2); now = c.NextTickAt() {
		for _, a := range c.Handle(now, Tick{}, out) {
			if send, is := a.(SendSummary); is {
				tried[send.Address] = true
			}
		}
		out = nil
	}
	if len(tried) != 3 {
		t.Error("want all 3 contacts tried, got only", tried)
	}
}

// Only cells that a current plan names are kept, whatever messages arrive.
func TestMemoryIsBounded(t *testing.T) {
	c, plan := newTestCoordinator(t)
	for i := range 5000 {
		s := summaryOf(plan, "b", uint64(i+1))
		s.Cell = fmt.Sprint("x", i)
		c.Handle(0, SummaryReceived{Summary: s}, nil)
		s.Cell, s.Representative, s.Plan, s.JoinedPlan, s.PlanHash = "b", fmt.Sprint("s", i), 7, 7, uint64(i)
		c.Handle(0, SummaryReceived{Summary: s}, nil)
		c.Handle(0, DirectoryReceived{Directory: Directory{Cell: "a", Representative: fmt.Sprint("s", i),
			Incarnation: 1, Seq: 1}}, nil)
	}
	r := c.remotes["b"]
	if len(c.remotes) != 2 || len(r.seenMarks) > maxRepresentatives || len(r.planJoins) > maxPlanJoins ||
		len(c.directory.seenMarks) > maxRepresentatives || c.drops.UnknownCell != 5000 {
		t.Error("want 2 cells, bounded marks and plan joins and 5000 unknown drops, got:", len(c.remotes),
			len(r.seenMarks), len(r.planJoins), len(c.directory.seenMarks), c.drops)
	}
	c.Handle(0, PlanChanged{cellplan.Plan{Number: 2, Cells: plan.Cells[:2]}}, nil)
	if len(c.remotes) != 1 || c.remotes["b"] != r {
		t.Error("cell that the plan no longer names was kept, or one that it names was not")
	}
}

// Check rejects invalid summaries and directories.
func TestChecksRejectInvalidMessages(t *testing.T) {
	_, plan := newTestCoordinator(t)
	for i, change := range []func(s *Summary){
		func(s *Summary) { s.Cell = "" }, func(s *Summary) { s.Representative = "" },
		func(s *Summary) { s.Seq = 0 }, func(s *Summary) { s.Incarnation = 0 },
		func(s *Summary) { s.JoinedPlan = s.Plan + 1 }, func(s *Summary) { s.Members = -1 },
		func(s *Summary) { s.ServingMembers = s.Members + 1 },
		func(s *Summary) { s.RequestRate = math.NaN() }, func(s *Summary) { s.RequestRate = math.Inf(1) },
		func(s *Summary) { s.DrainRate = -1 }, func(s *Summary) { s.OpenConnections = -1 },
		func(s *Summary) { s.Contacts = []string{"relay:1"} },
		func(s *Summary) { s.Contacts = make([]string, 4) },
		func(s *Summary) { s.DepartedRelays = make([]string, 9) },
		func(s *Summary) { s.DepartedRelays = []string{"a\nb"} },
	} {
		s := summaryOf(plan, "b", 1)
		if s.Check() != nil {
			t.Fatal("valid summary was rejected:", s.Check())
		}
		change(&s)
		if s.Check() == nil {
			t.Errorf("invalid summary %d was accepted: %+v", i, s)
		}
	}
	for i, change := range []func(d *Directory){
		func(d *Directory) { d.Cell = "" }, func(d *Directory) { d.Seq = 0 },
		func(d *Directory) { d.Regions[0].RequestRate = math.NaN() },
		func(d *Directory) { d.Regions[0].KnownCells = 3 },
		func(d *Directory) { d.Regions = make([]RegionTotals, 17) },
		func(d *Directory) { d.Regions[1].Name = "r" }, func(d *Directory) { d.Regions[0].Cells = 1 << 20 },
		func(d *Directory) { d.ActivatedPlan = math.MaxUint64 },
	} {
		d := Directory{Cell: "a", Representative: "a-0", Incarnation: 1, Seq: 1,
			Regions: []RegionTotals{{Name: "r", Cells: 2, KnownCells: 1}, {Name: "s"}}}
		if d.Check() != nil {
			t.Fatal("valid directory was rejected:", d.Check())
		}
		change(&d)
		if d.Check() == nil {
			t.Errorf("invalid directory %d was accepted: %+v", i, d)
		}
	}
}

// newTestCoordinator returns the Coordinator of a relay in cell a, beside cells b and c, that has received
// nothing.
func newTestCoordinator(t *testing.T) (*Coordinator, cellplan.Plan) {
	plan := cellplan.Plan{Number: 2}
	for i, name := range []string{"a", "b", "c"} {
		plan.Cells = append(plan.Cells, cellplan.Cell{Name: name, Region: "r", Zone: "z", Relays: 32,
			Contacts: []string{fmt.Sprintf("10.0.0.%d:1", i+1)}})
	}
	if err := plan.Check(); err != nil {
		t.Fatal(err)
	}
	return New(0, Config{Name: "a-1", Cell: "a", Incarnation: 1, Plan: plan}), plan
}

// summaryOf returns a summary of a cell that has joined the plan.
func summaryOf(plan cellplan.Plan, cell string, seq uint64) Summary {
	return Summary{Cell: cell, Region: "r", Representative: cell + "-0", Incarnation: 1, Seq: seq, Epoch: 3,
		Plan: plan.Number, PlanHash: plan.Hash(), JoinedPlan: plan.Number,
		Members: 32, ServingMembers: 30, RequestRate: 100, OpenConnections: 1000}
}
