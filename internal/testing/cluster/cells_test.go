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

// regions are those of the tests, with a zone and a cell in each.
var regions = []string{"east", "north", "west"}

// regionCells are cells of four relays, one in each region.
func regionCells() (cells []Cell) {
	for i, region := range regions {
		cells = append(cells, Cell{Name: region + "-1", Region: region, Zone: region + "-a", Relays: []int{4 * i, 4*i + 1, 4*i + 2, 4*i + 3}, Weight: 4})
	}
	return cells
}

// fastCells is a fleet in cells whose leases are 2 s long, and in which cells hear of each other four times as often. The long run goes
// by the program's own pace.
func fastCells() faultpoint.Rules {
	if longRun() {
		return faultpoint.Rules{}
	}
	return faultpoint.Rules{LeaseMs: 2000, CellRate: 4}
}

// cellWaitLimit is patience with leases of 8 s, and rounds of 5 s between cells.
func cellWaitLimit() time.Duration { return 45 * time.Second }

// newRegionCluster lays out twelve relays in three regions and starts them, by plan 1.
func newRegionCluster(t *testing.T) (*Cluster, []Cell) {
	t.Helper()
	cells := regionCells()
	zones := []string{"east-a", "north-a", "west-a"}
	fleet := newCluster(t, Layout{Relays: 12, Zones: zones, ZoneOf: func(i int) string { return zones[i/4] }, Faults: fastCells(), Admin: true}, 0)
	if err := fleet.WritePlan(1, cells); err != nil {
		t.Fatal(err)
	}
	for i := range fleet.Relays {
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	formed := await(t, cellWaitLimit(), "at first", func() error { return fleet.CheckCellAgreement(1, cells) })
	heard := await(t, cellWaitLimit(), "cells hear of each other", func() error { return fleet.CheckKnownCells(2) })
	t.Logf("agreed %.1f s after the start, and all cells were heard %.1f s later", formed.Seconds(), heard.Seconds())
	checkFullShares(t, fleet, zones...)
	return fleet, cells
}

// checkFullShares checks that the relays take nearly all of the budgets of zones now. lay checks that they never take more.
func checkFullShares(t *testing.T, fleet *Cluster, zones ...string) {
	t.Helper()
	last, err := fleet.Latest()
	if err != nil {
		t.Fatal(err)
	}
	for _, zone := range zones {
		sum := 0.0
		for _, n := range last {
			sum += n.Taken(zone, n.T)
		}
		if math.Abs(sum-1) > 0.001 {
			t.Errorf("the relays take %v of the budgets in %s", sum, zone)
			for _, name := range slices.Sorted(maps.Keys(last)) {
				t.Logf("last noted: %+v", last[name])
			}
		}
	}
}

// A region of three is cut off: its relays go on serving and keep their near shares all the while, as do all others; after the heal
// every relay hears of all cells again. Then a speaker is killed, and a whole cell restarted.
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
		last, err := fleet.Latest()
		for i, r := range fleet.Relays {
			if want := map[bool]int{true: 0, false: 1}[i < 4]; err == nil && last[r.Name].CellsHeard != want {
				err = fmt.Errorf("%s hears of %d cells", r.Name, last[r.Name].CellsHeard)
			}
		}
		return err
	})
	for time.Now().Before(end) {
		for _, i := range []int{0, 3, 4, 11} {
			checkServes(t, fleet.Relays[i])
		}
		time.Sleep(time.Second)
	}
	if err := fleet.CheckCellAgreement(1, cells); err != nil {
		t.Errorf("in the cut: %v", err)
	}
	if err := fleet.Heal(); err != nil {
		t.Fatal(err)
	}
	healed := await(t, within, "all cells are heard again", func() error { return fleet.CheckKnownCells(2) })
	t.Logf("a cut of %v; all relays heard of all cells %.2f s after the heal", cutFor, healed.Seconds())
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

// checkServes checks that a relay answers a client.
func checkServes(t *testing.T, r *Relay) {
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

// killRepresentative kills the speaker of the first cell, and starts it again: another speaks, the log says why, and another cell's speaker
// hears of it.
func killRepresentative(t *testing.T, fleet *Cluster, cells []Cell) {
	t.Helper()
	last, err := fleet.Latest()
	if err != nil {
		t.Fatal(err)
	}
	speakerOf := func(cell Cell, not string) (speaker int, err error) {
		last, err := fleet.Latest()
		if err != nil {
			return 0, err
		}
		said := ""
		for _, i := range cell.Relays {
			r := fleet.Relays[i]
			if !r.Running() {
				continue
			}
			name := last[r.Name].Speaker
			if name == "" || name == not || said != "" && name != said {
				return 0, fmt.Errorf("%s has %q for its speaker", r.Name, name)
			}
			said = name
		}
		return slices.IndexFunc(fleet.Relays, func(r *Relay) bool { return r.Name == said }), nil
	}
	old, err := speakerOf(cells[0], "")
	if err != nil {
		t.Fatal(err, last)
	}
	fleet.Kill(old)
	var speaker int
	took := await(t, cellWaitLimit(), "another speaks", func() error {
		speaker, err = speakerOf(cells[0], fleet.Relays[old].Name)
		return err
	})
	cause := fmt.Sprintf(`"speaker":"%s","cause":"%s has failed"`, fleet.Relays[speaker].Name, fleet.Relays[old].Name)
	await(t, waitLimit(), "the log has it", func() error {
		if !strings.Contains(fleet.Relays[speaker].Log(), cause) {
			return fmt.Errorf("no %s", cause)
		}
		return nil
	})
	other, err := speakerOf(cells[1], "")
	if err != nil {
		t.Fatal(err)
	}
	told := await(t, cellWaitLimit(), "another cell hears of it", func() error {
		out, err := runProgram("members", "list", "--socket", fleet.Relays[other].Socket)
		for line := range strings.Lines(out) {
			if f := strings.Fields(line); len(f) > 4 && f[0] == cells[0].Name && f[2] == "heard" && f[4] == fleet.Relays[speaker].Name {
				return nil
			}
		}
		return fmt.Errorf("%v: %s", err, out)
	})
	t.Logf("another spoke %.1f s after the speaker's end, and another cell heard of it %.1f s later", took.Seconds(), told.Seconds())
	fleet.Start(old)
	await(t, cellWaitLimit(), "the old one is back", func() error { return errors.Join(fleet.CheckCellAgreement(1, cells), fleet.CheckKnownCells(2)) })
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
	took := await(t, cellWaitLimit(), "after the restart of a cell", func() error { return errors.Join(fleet.CheckCellAgreement(1, cells), fleet.CheckKnownCells(2)) })
	t.Logf("a cell agreed, and was heard, %.1f s after the restart of all its relays", took.Seconds())
	checkFullShares(t, fleet, "east-a", "north-a", "west-a")
}

// All relays are restarted in turn, one of each cell at a time. The fleet goes by its plan again after each, and figures and list
// tell of it.
func TestCellsRestartedInTurn(t *testing.T) {
	t.Parallel()
	fleet, cells := newRegionCluster(t)
	for place := range 4 {
		for _, c := range cells {
			fleet.Term(c.Relays[place])
		}
		for _, c := range cells {
			if err := fleet.Start(c.Relays[place]); err != nil {
				t.Fatal(err)
			}
		}
		await(t, cellWaitLimit(), fmt.Sprintf("after the restart of each cell's relay %d", place), func() error { return fleet.CheckCellAgreement(1, cells) })
	}
	await(t, cellWaitLimit(), "cells hear of each other", func() error { return fleet.CheckKnownCells(2) })
	checkFullShares(t, fleet, "east-a", "north-a", "west-a")
	list, err := runProgram("members", "list", "--socket", fleet.Relays[5].Socket)
	if err != nil || !strings.Contains(list, "cell north-1 of north: speaker r") || strings.Contains(list, "r11") {
		t.Errorf("%v\n%s", err, list)
	}
	for _, region := range []string{"\neast ", "\nwest "} {
		if !strings.Contains(list, region) {
			t.Errorf("no row of %s in\n%s", region, list)
		}
	}
}

// A cell is split in two and made one again while the fleet runs, by four plans and SIGHUP.
func TestPlanChanges(t *testing.T) {
	t.Parallel()
	fleet, cells := newRegionCluster(t)
	move := func(i int) { // the relay's file has its new cell already
		fleet.Term(i)
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	step := func(what string, number uint64, cells []Cell) {
		t.Helper()
		took := await(t, cellWaitLimit(), what, func() error { return fleet.CheckCellAgreement(number, cells) })
		t.Logf("%s: %.1f s", what, took.Seconds())
		checkFullShares(t, fleet, "east-a", "north-a", "west-a")
	}
	split := regionCells()
	split[2].Relays, split[2].Weight = []int{8, 9}, 2
	split = append(split, Cell{Name: "west-2", Region: "west", Zone: "west-a", Relays: []int{10, 11}, Weight: 2})
	if err := fleet.Replan(2, split); err != nil {
		t.Fatal(err)
	}
	await(t, cellWaitLimit(), "plan 2 is entered", func() error { return fleet.checkPlanJoined(2, cells[0], cells[1]) })
	move(10)
	move(11)
	step("a cell is split in two", 2, split)
	merging := slices.Clone(split)
	merging[2].Weight, merging[3].Weight = 4, 0
	if err := fleet.Replan(3, merging); err != nil {
		t.Fatal(err)
	}
	step("one of them holds nothing", 3, merging)
	merged := slices.Clone(merging)
	merged[2].Relays, merged[3].Relays = []int{8, 9, 10, 11}, nil
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

// checkPlanJoined tells whether all relays of cells that run have entered a plan, or a later one.
func (fleet *Cluster) checkPlanJoined(number uint64, cells ...Cell) error {
	last, err := fleet.Latest()
	if err != nil {
		return err
	}
	for _, c := range cells {
		for _, i := range c.Relays {
			if n := last[fleet.Relays[i].Name]; fleet.Relays[i].running && n.Plan < number {
				return fmt.Errorf("%s goes by plan %d", n.Name, n.Plan)
			}
		}
	}
	return nil
}

// checkMovedOut tells whether the relays of a cell have none in their view that has gone.
func (fleet *Cluster) checkMovedOut(gone int, cell Cell) error {
	last, err := fleet.Latest()
	for _, i := range cell.Relays {
		if n := last[fleet.Relays[i].Name]; err == nil && slices.Contains(n.Members, fleet.Relays[gone].Name) {
			err = fmt.Errorf("%s has %s in its view", n.Name, fleet.Relays[gone].Name)
		}
	}
	return err
}

// A flat fleet is moved into a cell without a stop. While one relay has no plan the others do not enter it, and they can go back.
func TestFlatFleetIsMovedIntoCells(t *testing.T) {
	t.Parallel()
	fleet := newCluster(t, Layout{Relays: 4, Zones: []string{"east-a"}, ZoneOf: func(int) string { return "east-a" }, Faults: fastCells()}, 4)
	await(t, cellWaitLimit(), "at first", fleet.checkSettled)
	flat := Cell{Name: "flat", Relays: []int{0, 1, 2}, Weight: 2}
	cell := Cell{Name: "east-1", Region: "east", Zone: "east-a", Contacts: []int{3, 2}, Weight: 2}
	if err := fleet.Replan(2, []Cell{flat, cell}); err != nil { // relay 3 has no plan
		t.Fatal(err)
	}
	waits := func(i int, want string) func() error {
		return func() error {
			out, err := runProgram("members", "list", "--socket", fleet.Relays[i].Socket)
			if err != nil || !strings.Contains(out, want) {
				return fmt.Errorf("no %q: %v: %s", want, err, out)
			}
			return nil
		}
	}
	await(t, cellWaitLimit(), "the plan waits for the relay without one", waits(0, "a member's program is too old"))
	time.Sleep(2 * time.Second)
	last, err := fleet.Latest()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range last {
		if n.Plan != 0 || math.Abs(n.Share-0.25) > 0.001 {
			t.Errorf("%s has a share of %v by plan %d", n.Name, n.Share, n.Plan)
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
		fleet.Term(i)
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
		fleet.Term(i)
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
		await(t, cellWaitLimit(), "a relay is back", func() error { // a SIGHUP before it listens for signals would end it
			last, err := fleet.Latest()
			if _, ok := last[fleet.Relays[i].Name]; err == nil && !ok {
				err = errors.New("it has said nothing yet")
			}
			return err
		})
		await(t, cellWaitLimit(), "a relay is moved", func() error { return fleet.checkMovedOut(i, flat) })
	}
	flat.Relays = []int{0, 1, 2, 3}
	replan(2, flat, cell)
	await(t, cellWaitLimit(), "plan 2 is entered", func() error { return fleet.checkPlanJoined(2, flat) })
	flat.Relays, cell.Relays = []int{0, 1, 2}, []int{3}
	move(2, 3, flat, cell)
	flat.Relays, cell.Relays = []int{0, 1}, []int{3, 2}
	move(2, 2, flat, cell)
	await(t, cellWaitLimit(), "plan 2", func() error { return fleet.CheckCellAgreement(2, []Cell{flat, cell}) })
	checkFullShares(t, fleet, "east-a")
	flat.Weight, cell.Weight = 0, 4
	replan(3, flat, cell)
	await(t, cellWaitLimit(), "plan 3", func() error { return fleet.CheckCellAgreement(3, []Cell{flat, cell}) })
	checkFullShares(t, fleet, "east-a")
	flat.Relays, cell.Relays = []int{0}, []int{3, 2, 1}
	move(3, 1, flat, cell)
	flat.Relays, cell.Relays = nil, []int{3, 2, 1, 0}
	move(3, 0, flat, cell)
	replan(4, cell)
	await(t, cellWaitLimit(), "plan 4", func() error { return fleet.CheckCellAgreement(4, []Cell{cell}) })
	checkFullShares(t, fleet, "east-a")
}
