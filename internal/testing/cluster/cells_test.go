package cluster

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"capersail/internal/testing/faultpoint"
)

// regions are those of the tests, each with a zone and a cell; zones are in the regions' order.
var (
	regions = []string{"east", "north", "west"}
	zones   = []string{"east-a", "north-a", "west-a"}
)

// regionCells are cells of four relays, one in each region.
func regionCells() (cells []Cell) {
	for i, region := range regions {
		cells = append(cells, Cell{
			Name:   region + "-1",
			Region: region,
			Zone:   region + "-a",
			Relays: []int{4 * i, 4*i + 1, 4*i + 2, 4*i + 3},
			Weight: 4,
		})
	}
	return cells
}

// shortCellTimings has leases last 2 s, and cells hear of each other four times as often. The long run goes by the
// program's own pace.
func shortCellTimings() faultpoint.Rules {
	if longRun() {
		return faultpoint.Rules{}
	}
	return faultpoint.Rules{LeaseMs: 2000, CellRate: 4}
}

// cellWaitLimit is waitLimit for leases of 8 s, and rounds of 5 s between cells.
func cellWaitLimit() time.Duration { return 45 * time.Second }

// newRegionCluster lays out twelve relays in three regions and starts them, by plan 1.
func newRegionCluster(t *testing.T) (*Cluster, []Cell) {
	t.Helper()
	cells := regionCells()
	fleet := newCluster(t, Layout{
		Relays: 12,
		Zones:  zones,
		ZoneOf: func(i int) string { return zones[i/4] },
		Faults: shortCellTimings(),
		Admin:  true,
	}, 0)
	if err := fleet.WritePlan(1, cells); err != nil {
		t.Fatal(err)
	}
	startAll(t, fleet)
	formed := awaitCells(t, fleet, "at first", 1, cells)
	known := await(t, cellWaitLimit(), "cells know of each other", func() error {
		return fleet.CheckKnownCells(2)
	})
	t.Logf("agreed %.1f s after the start, and all cells were known %.1f s later",
		formed.Seconds(), known.Seconds())
	checkFullShares(t, fleet, zones...)
	return fleet, cells
}

// awaitCells waits until the relays agree within each cell and have joined a plan.
func awaitCells(t *testing.T, fleet *Cluster, what string, number uint64, cells []Cell) time.Duration {
	t.Helper()
	return await(t, cellWaitLimit(), what, func() error { return fleet.CheckCellAgreement(number, cells) })
}

// awaitCellsKnown waits for the same by plan 1, and until all relays know of the two other cells.
func awaitCellsKnown(t *testing.T, fleet *Cluster, what string, cells []Cell) time.Duration {
	t.Helper()
	return await(t, cellWaitLimit(), what, func() error {
		return errors.Join(fleet.CheckCellAgreement(1, cells), fleet.CheckKnownCells(2))
	})
}

// checkFullShares checks that the relays take nearly all of the budgets of zones now; newCluster checks that
// they never take more.
func checkFullShares(t *testing.T, fleet *Cluster, zones ...string) {
	t.Helper()
	latest, err := fleet.Latest()
	if err != nil {
		t.Fatal(err)
	}
	for _, zone := range zones {
		sum := 0.0
		for _, n := range latest {
			sum += n.BudgetShareIn(zone, n.AtMillis)
		}
		if math.Abs(sum-1) > 0.001 {
			t.Errorf("the relays take %v of the budgets in %s", sum, zone)
			for _, name := range slices.Sorted(maps.Keys(latest)) {
				t.Logf("last noted: %+v", latest[name])
			}
		}
	}
}

// A region of three is cut off: its relays go on serving and keep their near shares all the while, as do all
// others; after the heal every relay knows of all cells again. Then a cell's representative is killed, and a
// cell restarted.
func TestRegionCutOff(t *testing.T) {
	t.Parallel()
	fleet, cells := newRegionCluster(t)
	cutFor, within := 8*time.Second, cellWaitLimit()
	if longRun() {
		cutFor, within = 10*time.Minute, 20*time.Second
	}
	if text := os.Getenv("CAPERSAIL_CUT"); text != "" { // another length, as "90s"
		var err error
		if cutFor, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	from := Now()
	fleet.Split([]int{1, 1, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	fleet.ApplyCuts()
	end := time.Now().Add(cutFor)
	await(t, cutFor, "the cut is noticed", func() error {
		latest, err := fleet.Latest()
		if err != nil {
			return err
		}
		for i, r := range fleet.Relays {
			want := 1
			if i < 4 {
				want = 0
			}
			if n := latest[r.Name].KnownCells; n != want {
				return fmt.Errorf("%s knows of %d other cells", r.Name, n)
			}
		}
		return nil
	})
	for time.Now().Before(end) {
		for _, i := range []int{0, 3, 4, 11} {
			checkAnswersProbe(t, fleet.Relays[i])
		}
		time.Sleep(time.Second)
	}
	if err := fleet.CheckCellAgreement(1, cells); err != nil {
		t.Errorf("in the cut: %v", err)
	}
	if err := fleet.Heal(); err != nil {
		t.Fatal(err)
	}
	healed := await(t, within, "all cells are known again", func() error { return fleet.CheckKnownCells(2) })
	t.Logf("a cut of %v; all relays knew of all cells %.2f s after the heal", cutFor, healed.Seconds())
	all, err := fleet.History()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range fleet.Relays {
		if least := LowestNearShare(all, r.Name, from, Now()); least < 0.9/4 {
			t.Errorf("%s had a near share of %.4f in the cut", r.Name, least)
		}
	}
	killRepresentative(t, fleet, cells)
	restartCell(t, fleet, cells)
}

// checkAnswersProbe checks that a relay answers a client.
func checkAnswersProbe(t *testing.T, r *Relay) {
	t.Helper()
	c, err := net.Dial("tcp", r.Listen)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitLimit()))
	fmt.Fprint(c, "PING\r\n")
	answer := make([]byte, 4)
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "PONG" {
		t.Errorf("%s: %q, %v", r.Name, answer, err)
	}
}

// representativeOf returns the number of the relay that all relays of a cell that run have for its
// representative. It fails if they differ, or have a given one still.
func representativeOf(fleet *Cluster, cell Cell, not string) (representative int, err error) {
	latest, err := fleet.Latest()
	if err != nil {
		return 0, err
	}
	agreed := ""
	for _, i := range cell.Relays {
		r := fleet.Relays[i]
		if !r.Running() {
			continue
		}
		name := latest[r.Name].Representative
		if name == "" || name == not || agreed != "" && name != agreed {
			return 0, fmt.Errorf("%s has %q for its representative", r.Name, name)
		}
		agreed = name
	}
	return slices.IndexFunc(fleet.Relays, func(r *Relay) bool { return r.Name == agreed }), nil
}

// killRepresentative kills the representative of the first cell, and starts it again: another takes over, the
// log has the cause, and another cell knows of it.
func killRepresentative(t *testing.T, fleet *Cluster, cells []Cell) {
	t.Helper()
	old, err := representativeOf(fleet, cells[0], "")
	if err != nil {
		t.Fatal(err)
	}
	fleet.Kill(old)
	var next int
	took := await(t, cellWaitLimit(), "another takes over", func() error {
		next, err = representativeOf(fleet, cells[0], fleet.Relays[old].Name)
		return err
	})
	cause := fmt.Sprintf(`"speaker":"%s","cause":"%s has failed"`,
		fleet.Relays[next].Name, fleet.Relays[old].Name)
	await(t, waitLimit(), "the log has it", func() error {
		if !strings.Contains(fleet.Relays[next].Log(), cause) {
			return fmt.Errorf("no %s", cause)
		}
		return nil
	})
	other, err := representativeOf(fleet, cells[1], "")
	if err != nil {
		t.Fatal(err)
	}
	known := await(t, cellWaitLimit(), "another cell knows of it", func() error {
		return checkListed(fleet.Relays[other], cells[0].Name, fleet.Relays[next].Name)
	})
	t.Logf("another took over %.1f s after the representative's end, and another cell knew of it %.1f s later",
		took.Seconds(), known.Seconds())
	fleet.Start(old)
	awaitCellsKnown(t, fleet, "the old one is back", cells)
}

// checkListed fails unless a relay's `members list` has a cell as heard, by a representative.
func checkListed(r *Relay, cell, representative string) error {
	out, err := runProgram("members", "list", "--socket", r.Socket)
	for line := range strings.Lines(out) {
		f := strings.Fields(line)
		if len(f) > 4 && f[0] == cell && f[2] == "heard" && f[4] == representative {
			return nil
		}
	}
	return fmt.Errorf("%v: %s", err, out)
}

// restartCell kills all relays of a cell at once and starts them again.
func restartCell(t *testing.T, fleet *Cluster, cells []Cell) {
	t.Helper()
	for _, i := range cells[1].Relays {
		fleet.Kill(i)
	}
	for _, i := range cells[1].Relays {
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	took := awaitCellsKnown(t, fleet, "after the restart of a cell", cells)
	t.Logf("a cell agreed, and was known, %.1f s after the restart of all its relays", took.Seconds())
	checkFullShares(t, fleet, zones...)
}

// All relays are restarted in turn, one of each cell at a time. The fleet goes by its plan again after each,
// and operators' list says so.
func TestCellsRestartedInTurn(t *testing.T) {
	t.Parallel()
	fleet, cells := newRegionCluster(t)
	for place := range 4 {
		for _, c := range cells {
			fleet.Terminate(c.Relays[place])
		}
		for _, c := range cells {
			if err := fleet.Start(c.Relays[place]); err != nil {
				t.Fatal(err)
			}
		}
		awaitCells(t, fleet, fmt.Sprintf("after the restart of each cell's relay %d", place), 1, cells)
	}
	await(t, cellWaitLimit(), "cells know of each other", func() error { return fleet.CheckKnownCells(2) })
	checkFullShares(t, fleet, zones...)
	list, err := runProgram("members", "list", "--socket", fleet.Relays[5].Socket)
	if err != nil || strings.Contains(list, "r11") {
		t.Errorf("%v\n%s", err, list)
	}
	if err := checkContains(list, "cell north-1 of north: speaker r", "\neast ", "\nwest "); err != nil {
		t.Error(err)
	}
}

// A cell is split in two and made one again while the fleet runs, by four plans and SIGHUP.
func TestPlanChanges(t *testing.T) {
	t.Parallel()
	fleet, cells := newRegionCluster(t)
	move := func(i int) { // the relay's file has its new cell already
		fleet.Terminate(i)
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	step := func(what string, number uint64, cells []Cell) {
		t.Helper()
		took := awaitCells(t, fleet, what, number, cells)
		t.Logf("%s: %.1f s", what, took.Seconds())
		checkFullShares(t, fleet, zones...)
	}
	split := regionCells()
	split[2].Relays = []int{8, 9}
	split[2].Weight = 2
	second := Cell{Name: "west-2", Region: "west", Zone: "west-a", Relays: []int{10, 11}, Weight: 2}
	split = append(split, second)
	if err := fleet.Replan(2, split); err != nil {
		t.Fatal(err)
	}
	await(t, cellWaitLimit(), "plan 2 is joined", func() error {
		return fleet.checkPlanJoined(2, cells[0], cells[1])
	})
	move(10)
	move(11)
	step("a cell is split in two", 2, split)
	merging := slices.Clone(split)
	merging[2].Weight = 4
	merging[3].Weight = 0
	if err := fleet.Replan(3, merging); err != nil {
		t.Fatal(err)
	}
	step("one of them holds nothing", 3, merging)
	merged := slices.Clone(merging)
	merged[2].Relays = []int{8, 9, 10, 11}
	merged[3].Relays = nil
	if err := fleet.WritePlan(3, merged); err != nil {
		t.Fatal(err)
	}
	move(10)
	move(11)
	step("its relays are in the other", 3, merged)
	if err := fleet.Replan(4, regionCells()); err != nil {
		t.Fatal(err)
	}
	step("it is gone from the plan", 4, regionCells())
}

// checkPlanJoined fails unless all relays of cells that run have joined a plan, or a later one.
func (fleet *Cluster) checkPlanJoined(number uint64, cells ...Cell) error {
	latest, err := fleet.Latest()
	if err != nil {
		return err
	}
	for _, c := range cells {
		for _, i := range c.Relays {
			if n := latest[fleet.Relays[i].Name]; fleet.Relays[i].running && n.Plan < number {
				return fmt.Errorf("%s has joined plan %d", n.Name, n.Plan)
			}
		}
	}
	return nil
}

// checkMovedOut fails while a relay of a cell has one in its view that has left the cell.
func (fleet *Cluster) checkMovedOut(gone int, cell Cell) error {
	latest, err := fleet.Latest()
	if err != nil {
		return err
	}
	for _, i := range cell.Relays {
		if n := latest[fleet.Relays[i].Name]; slices.Contains(n.Members, fleet.Relays[gone].Name) {
			return fmt.Errorf("%s has %s in its view", n.Name, fleet.Relays[gone].Name)
		}
	}
	return nil
}

// A flat fleet is moved into a cell without a stop. While one relay has no plan the others do not join it,
// and they can go back.
func TestFlatFleetIsMovedIntoCells(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, Layout{
		Relays: 4,
		Zones:  zones[:1],
		ZoneOf: func(int) string { return zones[0] },
		Faults: shortCellTimings(),
	}, 4)
	await(t, cellWaitLimit(), "at first", fleet.checkSettled)
	flat := Cell{Name: "flat", Relays: []int{0, 1, 2}, Weight: 2}
	cell := Cell{Name: "east-1", Region: "east", Zone: "east-a", Contacts: []int{3, 2}, Weight: 2}
	if err := fleet.Replan(2, []Cell{flat, cell}); err != nil { // relay 3 has no plan
		t.Fatal(err)
	}
	await(t, cellWaitLimit(), "the plan waits for the relay without one", func() error {
		const want = "a member's program is too old"
		out, err := runProgram("members", "list", "--socket", fleet.Relays[0].Socket)
		if err != nil || !strings.Contains(out, want) {
			return fmt.Errorf("no %q: %v: %s", want, err, out)
		}
		return nil
	})
	time.Sleep(2 * time.Second)
	latest, err := fleet.Latest()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range latest {
		if n.Plan != 0 || math.Abs(n.NearShare-0.25) > 0.001 {
			t.Errorf("%s has a share of %v by plan %d", n.Name, n.NearShare, n.Plan)
		}
	}
	removePlans(t, fleet)
	moveIntoCell(t, fleet, flat, cell)
}

// removePlans takes the plan out of the three relays again.
func removePlans(t *testing.T, fleet *Cluster) {
	t.Helper()
	for i := range 3 {
		if err := fleet.RemovePlan(i); err != nil {
			t.Fatal(err)
		}
		fleet.Terminate(i)
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
		await(t, cellWaitLimit(), "a relay goes back", fleet.checkAgreed)
	}
	await(t, cellWaitLimit(), "all are flat", fleet.checkSettled)
}

// moveIntoCell moves the four relays of a flat fleet into a cell.
func moveIntoCell(t *testing.T, fleet *Cluster, flat, cell Cell) {
	t.Helper()
	replan := func(number uint64, cells ...Cell) {
		t.Helper()
		if err := fleet.Replan(number, cells); err != nil {
			t.Fatal(err)
		}
	}
	move := func(number uint64, i int, cells ...Cell) {
		t.Helper()
		if err := fleet.WritePlan(number, cells); err != nil {
			t.Fatal(err)
		}
		fleet.Terminate(i)
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
		// A SIGHUP before it listens for signals would end it.
		await(t, cellWaitLimit(), "a relay is back", func() error {
			latest, err := fleet.Latest()
			if err != nil {
				return err
			}
			if _, ok := latest[fleet.Relays[i].Name]; !ok {
				return errors.New("it has noted nothing yet")
			}
			return nil
		})
		await(t, cellWaitLimit(), "a relay is moved", func() error { return fleet.checkMovedOut(i, flat) })
	}
	flat.Relays = []int{0, 1, 2, 3}
	replan(2, flat, cell)
	await(t, cellWaitLimit(), "plan 2 is joined", func() error { return fleet.checkPlanJoined(2, flat) })
	flat.Relays, cell.Relays = []int{0, 1, 2}, []int{3}
	move(2, 3, flat, cell)
	flat.Relays, cell.Relays = []int{0, 1}, []int{3, 2}
	move(2, 2, flat, cell)
	awaitCells(t, fleet, "plan 2", 2, []Cell{flat, cell})
	checkFullShares(t, fleet, zones[0])
	flat.Weight, cell.Weight = 0, 4
	replan(3, flat, cell)
	awaitCells(t, fleet, "plan 3", 3, []Cell{flat, cell})
	checkFullShares(t, fleet, zones[0])
	flat.Relays, cell.Relays = []int{0}, []int{3, 2, 1}
	move(3, 1, flat, cell)
	flat.Relays, cell.Relays = nil, []int{3, 2, 1, 0}
	move(3, 0, flat, cell)
	replan(4, cell)
	awaitCells(t, fleet, "plan 4", 4, []Cell{cell})
	checkFullShares(t, fleet, zones[0])
}
