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

// hurried is a fleet in cells whose leases are 2 s long, and in which cells hear of each other four times as often. The long run goes
// by the program's own pace.
func hurried() faultpoint.Rules {
	if long() {
		return faultpoint.Rules{}
	}
	return faultpoint.Rules{LeaseMs: 2000, CellRate: 4}
}

// cellPatience is patience with leases of 8 s, and rounds of 5 s between cells.
func cellPatience() time.Duration { return 45 * time.Second }

// layRegions lays out twelve relays in three regions and starts them, by plan 1.
func layRegions(t *testing.T) (*Cluster, []Cell) {
	t.Helper()
	cells := regionCells()
	zones := []string{"east-a", "north-a", "west-a"}
	g := lay(t, Plan{Relays: 12, Zones: zones, ZoneOf: func(i int) string { return zones[i/4] }, Rules: hurried(), Admin: true}, 0)
	if err := g.Divide(1, cells); err != nil {
		t.Fatal(err)
	}
	for i := range g.Relays {
		if err := g.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	formed := await(t, cellPatience(), "at first", func() error { return g.AgreeInCells(1, cells) })
	heard := await(t, cellPatience(), "cells hear of each other", func() error { return g.HearCells(2) })
	t.Logf("agreed %.1f s after the start, and all cells were heard %.1f s later", formed.Seconds(), heard.Seconds())
	whole(t, g, zones...)
	return g, cells
}

// whole checks that the relays take nearly all of the budgets of zones now. lay checks that they never take more.
func whole(t *testing.T, g *Cluster, zones ...string) {
	t.Helper()
	last, err := g.Last()
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

// The checker adds shares up zone by zone: far ones count elsewhere, near ones in their zones, a flat relay's everywhere.
func TestMostTakenInZones(t *testing.T) {
	line := func(at float64, name string, near, far float64, zones ...string) faultpoint.Noted {
		return faultpoint.Noted{T: at, Name: name, Share: near, Far: far, Zones: zones, Plan: 1}
	}
	for want, all := range map[float64][]faultpoint.Noted{
		1:    {line(0, "a", 0.75, 0.25, "x"), line(1, "b", 0.75, 0.25, "y")},
		1.5:  {line(0, "a", 0.75, 0.25, "x"), line(1, "b", 0.75, 0.25, "x", "y")},
		0.5:  {line(0, "a", 0.5, 0.5), line(1, "a", 0.25, 0.25)},
		1.75: {line(0, "a", 0.75, 0.25, "x"), {T: 1, Name: "b", Share: 1}},
	} {
		if got, _ := MostTaken(all); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	lapses := line(0, "a", 0.5, 0, "x")
	lapses.Until = 4
	if got := LeastNear([]faultpoint.Noted{lapses, line(5, "a", 0.5, 0, "x")}, "a", 1, 9); got != 0 {
		t.Errorf("a share that has lapsed for a while is %v", got)
	}
	if got := LeastNear([]faultpoint.Noted{line(0, "a", 0.5, 0, "x"), line(5, "a", 0.25, 0, "x"), line(6, "a", 0.5, 0, "x")}, "a", 1, 9); got != 0.25 {
		t.Errorf("the least is %v", got)
	}
}

// A region of three is cut off: its relays go on serving and keep their near shares all the while, as do all others; after the heal
// every relay hears of all cells again. Then a speaker is killed, and a whole cell restarted.
func TestRegionCutOff(t *testing.T) {
	t.Parallel()
	g, cells := layRegions(t)
	cutFor, within := 8*time.Second, cellPatience()
	if long() {
		cutFor, within = 10*time.Minute, 20*time.Second
	}
	if text := os.Getenv("CAPERSAIL_CUT"); text != "" { // another length, as "90s"
		var err error
		if cutFor, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	from := Now()
	g.Split([]int{1, 1, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	g.Apply()
	end := time.Now().Add(cutFor)
	await(t, cutFor, "the cut is noticed", func() error {
		last, err := g.Last()
		for i, r := range g.Relays {
			if want := map[bool]int{true: 0, false: 1}[i < 4]; err == nil && last[r.Name].CellsHeard != want {
				err = fmt.Errorf("%s hears of %d cells", r.Name, last[r.Name].CellsHeard)
			}
		}
		return err
	})
	for time.Now().Before(end) {
		for _, i := range []int{0, 3, 4, 11} {
			serves(t, g.Relays[i])
		}
		time.Sleep(time.Second)
	}
	if err := g.AgreeInCells(1, cells); err != nil {
		t.Errorf("in the cut: %v", err)
	}
	if err := g.Heal(); err != nil {
		t.Fatal(err)
	}
	healed := await(t, within, "all cells are heard again", func() error { return g.HearCells(2) })
	t.Logf("a cut of %v; all relays heard of all cells %.2f s after the heal", cutFor, healed.Seconds())
	all, err := g.Histories()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range g.Relays {
		if least := LeastNear(all, r.Name, from, Now()); least < 0.9/4 {
			t.Errorf("%s had a near share of %.4f in the cut", r.Name, least)
		}
	}
	speakerKilled(t, g, cells)
	wholeCellRestarted(t, g, cells)
}

// serves checks that a relay answers a client.
func serves(t *testing.T, r *Relay) {
	t.Helper()
	c, err := net.Dial("tcp", r.Listen)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience()))
	fmt.Fprint(c, "PING\r\n")
	answer := make([]byte, 4)
	if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "PONG" {
		t.Errorf("%s: %q, %v", r.Name, answer, err)
	}
}

// speakerKilled kills the speaker of the first cell, and starts it again: another speaks, the log says why, and another cell's speaker
// hears of it.
func speakerKilled(t *testing.T, g *Cluster, cells []Cell) {
	t.Helper()
	last, err := g.Last()
	if err != nil {
		t.Fatal(err)
	}
	speakerOf := func(cell Cell, not string) (speaker int, err error) {
		last, err := g.Last()
		if err != nil {
			return 0, err
		}
		said := ""
		for _, i := range cell.Relays {
			r := g.Relays[i]
			if !r.Up() {
				continue
			}
			name := last[r.Name].Speaker
			if name == "" || name == not || said != "" && name != said {
				return 0, fmt.Errorf("%s has %q for its speaker", r.Name, name)
			}
			said = name
		}
		return slices.IndexFunc(g.Relays, func(r *Relay) bool { return r.Name == said }), nil
	}
	old, err := speakerOf(cells[0], "")
	if err != nil {
		t.Fatal(err, last)
	}
	g.Kill(old)
	var speaker int
	took := await(t, cellPatience(), "another speaks", func() error {
		speaker, err = speakerOf(cells[0], g.Relays[old].Name)
		return err
	})
	cause := fmt.Sprintf(`"speaker":"%s","cause":"%s has failed"`, g.Relays[speaker].Name, g.Relays[old].Name)
	await(t, patience(), "the log has it", func() error {
		if !strings.Contains(g.Relays[speaker].Log(), cause) {
			return fmt.Errorf("no %s", cause)
		}
		return nil
	})
	other, err := speakerOf(cells[1], "")
	if err != nil {
		t.Fatal(err)
	}
	told := await(t, cellPatience(), "another cell hears of it", func() error {
		out, err := ask("members", "list", "--socket", g.Relays[other].Socket)
		for line := range strings.Lines(out) {
			if f := strings.Fields(line); len(f) > 4 && f[0] == cells[0].Name && f[2] == "heard" && f[4] == g.Relays[speaker].Name {
				return nil
			}
		}
		return fmt.Errorf("%v: %s", err, out)
	})
	t.Logf("another spoke %.1f s after the speaker's end, and another cell heard of it %.1f s later", took.Seconds(), told.Seconds())
	g.Start(old)
	await(t, cellPatience(), "the old one is back", func() error { return errors.Join(g.AgreeInCells(1, cells), g.HearCells(2)) })
}

// wholeCellRestarted kills all relays of a cell at once and starts them again.
func wholeCellRestarted(t *testing.T, g *Cluster, cells []Cell) {
	t.Helper()
	for _, i := range cells[1].Relays {
		g.Kill(i)
	}
	for _, i := range cells[1].Relays {
		if err := g.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	took := await(t, cellPatience(), "after the restart of a cell", func() error { return errors.Join(g.AgreeInCells(1, cells), g.HearCells(2)) })
	t.Logf("a cell agreed, and was heard, %.1f s after the restart of all its relays", took.Seconds())
	whole(t, g, "east-a", "north-a", "west-a")
}

// All relays are restarted in turn, one of each cell at a time. The fleet goes by its plan again after each, and figures and list
// tell of it.
func TestCellsRestartedInTurn(t *testing.T) {
	t.Parallel()
	g, cells := layRegions(t)
	for place := range 4 {
		for _, c := range cells {
			g.Term(c.Relays[place])
		}
		for _, c := range cells {
			if err := g.Start(c.Relays[place]); err != nil {
				t.Fatal(err)
			}
		}
		await(t, cellPatience(), fmt.Sprintf("after the restart of each cell's relay %d", place), func() error { return g.AgreeInCells(1, cells) })
	}
	await(t, cellPatience(), "cells hear of each other", func() error { return g.HearCells(2) })
	whole(t, g, "east-a", "north-a", "west-a")
	list, err := ask("members", "list", "--socket", g.Relays[5].Socket)
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
	g, cells := layRegions(t)
	move := func(i int) { // the relay's file has its new cell already
		g.Term(i)
		if err := g.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	step := func(what string, number uint64, cells []Cell) {
		t.Helper()
		took := await(t, cellPatience(), what, func() error { return g.AgreeInCells(number, cells) })
		t.Logf("%s: %.1f s", what, took.Seconds())
		whole(t, g, "east-a", "north-a", "west-a")
	}
	split := regionCells()
	split[2].Relays, split[2].Weight = []int{8, 9}, 2
	split = append(split, Cell{Name: "west-2", Region: "west", Zone: "west-a", Relays: []int{10, 11}, Weight: 2})
	if err := g.Replan(2, split); err != nil {
		t.Fatal(err)
	}
	await(t, cellPatience(), "plan 2 is entered", func() error { return g.planned(2, cells[0], cells[1]) })
	move(10)
	move(11)
	step("a cell is split in two", 2, split)
	merging := slices.Clone(split)
	merging[2].Weight, merging[3].Weight = 4, 0
	if err := g.Replan(3, merging); err != nil {
		t.Fatal(err)
	}
	step("one of them holds nothing", 3, merging)
	merged := slices.Clone(merging)
	merged[2].Relays, merged[3].Relays = []int{8, 9, 10, 11}, nil
	if err := g.Divide(3, merged); err != nil {
		t.Fatal(err)
	}
	move(10)
	move(11)
	step("its relays are in the other", 3, merged)
	if err := g.Replan(4, regionCells()); err != nil {
		t.Fatal(err)
	}
	step("it is gone from the plan", 4, regionCells())
}

// planned tells whether all relays of cells that run have entered a plan, or a later one.
func (g *Cluster) planned(number uint64, cells ...Cell) error {
	last, err := g.Last()
	if err != nil {
		return err
	}
	for _, c := range cells {
		for _, i := range c.Relays {
			if n := last[g.Relays[i].Name]; g.Relays[i].up && n.Plan < number {
				return fmt.Errorf("%s goes by plan %d", n.Name, n.Plan)
			}
		}
	}
	return nil
}

// movedOut tells whether the relays of a cell have none in their view that has gone.
func (g *Cluster) movedOut(gone int, cell Cell) error {
	last, err := g.Last()
	for _, i := range cell.Relays {
		if n := last[g.Relays[i].Name]; err == nil && slices.Contains(n.Members, g.Relays[gone].Name) {
			err = fmt.Errorf("%s has %s in its view", n.Name, g.Relays[gone].Name)
		}
	}
	return err
}

// A flat fleet is moved into a cell without a stop. While one relay has no plan the others do not enter it, and they can go back.
func TestFlatFleetIsMovedIntoCells(t *testing.T) {
	t.Parallel()
	g := lay(t, Plan{Relays: 4, Zones: []string{"east-a"}, ZoneOf: func(int) string { return "east-a" }, Rules: hurried()}, 4)
	await(t, cellPatience(), "at first", g.settled)
	flat := Cell{Name: "flat", Relays: []int{0, 1, 2}, Weight: 2}
	cell := Cell{Name: "east-1", Region: "east", Zone: "east-a", Contacts: []int{3, 2}, Weight: 2}
	if err := g.Replan(2, []Cell{flat, cell}); err != nil { // relay 3 has no plan
		t.Fatal(err)
	}
	waits := func(i int, want string) func() error {
		return func() error {
			out, err := ask("members", "list", "--socket", g.Relays[i].Socket)
			if err != nil || !strings.Contains(out, want) {
				return fmt.Errorf("no %q: %v: %s", want, err, out)
			}
			return nil
		}
	}
	await(t, cellPatience(), "the plan waits for the relay without one", waits(0, "a member's program is too old"))
	time.Sleep(2 * time.Second)
	last, err := g.Last()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range last {
		if n.Plan != 0 || math.Abs(n.Share-0.25) > 0.001 {
			t.Errorf("%s has a share of %v by plan %d", n.Name, n.Share, n.Plan)
		}
	}
	back(t, g)
	moveFlat(t, g, flat, cell)
}

// back takes the plan out of the three relays again.
func back(t *testing.T, g *Cluster) {
	t.Helper()
	for i := range 3 {
		if err := g.Flatten(i); err != nil {
			t.Fatal(err)
		}
		g.Term(i)
		if err := g.Start(i); err != nil {
			t.Fatal(err)
		}
		await(t, cellPatience(), "a relay goes back", g.agreed)
	}
	await(t, cellPatience(), "all are flat", g.settled)
}

// moveFlat moves the four relays of a flat fleet into a cell.
func moveFlat(t *testing.T, g *Cluster, flat, cell Cell) {
	t.Helper()
	replan := func(number uint64, cells ...Cell) {
		t.Helper()
		if err := g.Replan(number, cells); err != nil {
			t.Fatal(err)
		}
	}
	move := func(number uint64, i int, cells ...Cell) {
		t.Helper()
		if err := g.Divide(number, cells); err != nil {
			t.Fatal(err)
		}
		g.Term(i)
		if err := g.Start(i); err != nil {
			t.Fatal(err)
		}
		await(t, cellPatience(), "a relay is back", func() error { // a SIGHUP before it listens for signals would end it
			last, err := g.Last()
			if _, ok := last[g.Relays[i].Name]; err == nil && !ok {
				err = errors.New("it has said nothing yet")
			}
			return err
		})
		await(t, cellPatience(), "a relay is moved", func() error { return g.movedOut(i, flat) })
	}
	flat.Relays = []int{0, 1, 2, 3}
	replan(2, flat, cell)
	await(t, cellPatience(), "plan 2 is entered", func() error { return g.planned(2, flat) })
	flat.Relays, cell.Relays = []int{0, 1, 2}, []int{3}
	move(2, 3, flat, cell)
	flat.Relays, cell.Relays = []int{0, 1}, []int{3, 2}
	move(2, 2, flat, cell)
	await(t, cellPatience(), "plan 2", func() error { return g.AgreeInCells(2, []Cell{flat, cell}) })
	whole(t, g, "east-a")
	flat.Weight, cell.Weight = 0, 4
	replan(3, flat, cell)
	await(t, cellPatience(), "plan 3", func() error { return g.AgreeInCells(3, []Cell{flat, cell}) })
	whole(t, g, "east-a")
	flat.Relays, cell.Relays = []int{0}, []int{3, 2, 1}
	move(3, 1, flat, cell)
	flat.Relays, cell.Relays = nil, []int{3, 2, 1, 0}
	move(3, 0, flat, cell)
	replan(4, cell)
	await(t, cellPatience(), "plan 4", func() error { return g.AgreeInCells(4, []Cell{cell}) })
	whole(t, g, "east-a")
}
