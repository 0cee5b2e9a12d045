package cellplan

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// newCell returns a cell with one contact.
func newCell(name, region, zone string, relays int) Cell {
	return Cell{Name: name, Region: region, Zone: zone, Relays: relays, Contacts: []string{"10.0.0.1:7946"}}
}

// threeCellPlan returns a valid plan with two cells in region a and one in region b.
func threeCellPlan() Plan {
	return Plan{Number: 1, Cells: []Cell{newCell("a1", "a", "a-1", 30), newCell("a2", "a", "a-2", 10),
		newCell("b1", "b", "b-1", 40)}}
}

// The budget shares follow the formula: the home share by weight within the region, the rest by weight among
// all cells with a region.
func TestBudgetSharesOfCells(t *testing.T) {
	moving := Plan{Number: 2, HomeShare: 0.8,
		Cells: []Cell{newCell("flat", "", "", 300), newCell("a1", "a", "a-1", 30),
			newCell("b1", "b", "b-1", 30), newCell("gone", "b", "b-2", 0)}}
	for _, c := range []struct {
		plan      Plan
		cell      string
		near, far float64
		zones     string
	}{
		{threeCellPlan(), "a1", 0.9*30/40 + 0.1*30/80, 0.1 * 30 / 80, "a-1 a-2"},
		{threeCellPlan(), "a2", 0.9*10/40 + 0.1*10/80, 0.1 * 10 / 80, "a-1 a-2"},
		{threeCellPlan(), "b1", 0.9 + 0.1*40/80, 0.1 * 40 / 80, "b-1"},
		{threeCellPlan(), "nobody", 0, 0, ""},
		{moving, "flat", 300.0 / 360, 300.0 / 360, ""},
		{moving, "a1", 60.0 / 360 * (0.8 + 0.1), 60.0 / 360 * 0.1, "a-1"},
		{moving, "gone", 0, 0, "b-1 b-2"},
	} {
		near, far, zones := c.plan.BudgetShares(c.cell)
		if math.Abs(float64(near)/float64(FullBudget)-c.near) > 1e-9 ||
			math.Abs(float64(far)/float64(FullBudget)-c.far) > 1e-9 || strings.Join(zones, " ") != c.zones {
			t.Errorf("BudgetShares(%s): near %.4f, far %.4f, zones %q; want near %.4f, far %.4f, zones %q",
				c.cell, float64(near)/float64(FullBudget),
				float64(far)/float64(FullBudget), zones, c.near, c.far, c.zones)
		}
	}
}

// Check reports every invalid value, each with its key.
func TestCheckTellsEveryProblem(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *Plan)
		keys   string
	}{
		{"good", func(*Plan) {}, ""},
		{"single cell without contacts",
			func(p *Plan) { p.Cells = p.Cells[:1]; p.Cells[0].Contacts = nil }, ""},
		{"flat fleet being moved", func(p *Plan) { p.Cells = append(p.Cells, newCell("flat", "", "", 300)) },
			""},
		{"no number", func(p *Plan) { p.Number = 0 }, "number"},
		{"number too high", func(p *Plan) { p.Number = 1 << 63 }, "number"},
		{"home share over 1", func(p *Plan) { p.HomeShare = 1.1 }, "home_share"},
		{"home share below 0", func(p *Plan) { p.HomeShare = -0.1 }, "home_share"},
		{"home share not a number", func(p *Plan) { p.HomeShare = math.NaN() }, "home_share"},
		{"no cells", func(p *Plan) { p.Cells = nil }, "cells"},
		{"too many cells", func(p *Plan) {
			for i := range MaxCells {
				p.Cells = append(p.Cells, newCell(fmt.Sprint("c", i), "a", "a-1", 1))
			}
		}, "cells"},
		{"no relays in any cell", func(p *Plan) {
			for i := range p.Cells {
				p.Cells[i].Relays = 0
			}
		}, "cells"},
		{"empty name", func(p *Plan) { p.Cells[1].Name = "" }, "cells[1].name"},
		{"long name", func(p *Plan) { p.Cells[1].Name = strings.Repeat("x", 65) }, "cells[1].name"},
		{"name with a control character", func(p *Plan) { p.Cells[1].Name = "a\n" }, "cells[1].name"},
		{"name taken", func(p *Plan) { p.Cells[2].Name = "a1" }, "cells[2].name"},
		{"zone without region", func(p *Plan) { p.Cells[1].Region = "" }, "cells[1].region"},
		{"region without zone", func(p *Plan) { p.Cells[1].Zone = "" }, "cells[1].zone"},
		{"zone in two regions", func(p *Plan) { p.Cells[2].Zone = "a-1" }, "cells[2].zone"},
		{"relays below 0", func(p *Plan) { p.Cells[0].Relays = -1 }, "cells[0].relays"},
		{"too many relays", func(p *Plan) { p.Cells[0].Relays = 65 }, "cells[0].relays"},
		{"too many relays of a flat cell", func(p *Plan) {
			p.Cells = append(p.Cells,
				newCell("flat", "", "", 4097))
		}, "cells[3].relays"},
		{"no contacts", func(p *Plan) { p.Cells[0].Contacts = nil }, "cells[0].contacts"},
		{"too many contacts", func(p *Plan) { p.Cells[0].Contacts = make([]string, 17) },
			"cells[0].contacts"},
		{"host name", func(p *Plan) { p.Cells[0].Contacts = []string{"10.0.0.1:1", "relay-1:7946"} },
			"cells[0].contacts[1]"},
		{"no port", func(p *Plan) { p.Cells[0].Contacts = []string{"10.0.0.1"} }, "cells[0].contacts[0]"},
		{"port 0", func(p *Plan) { p.Cells[0].Contacts = []string{"10.0.0.1:0"} }, "cells[0].contacts[0]"},
		{"no address", func(p *Plan) { p.Cells[0].Contacts = []string{"0.0.0.0:7946"} },
			"cells[0].contacts[0]"},
		{"several at once", func(p *Plan) {
			p.Number = 0
			p.HomeShare = 2
			p.Cells[0].Relays = -1
			p.Cells[2].Name = "a1"
		},
			"number home_share cells[0].relays cells[2].name"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := threeCellPlan()
			c.change(&p)
			if keys := strings.Join(problemKeys(p.Check()), " "); keys != c.keys {
				t.Errorf("Check() reports keys %q, want %q; errors: %v", keys, c.keys, p.Check())
			}
		})
	}
}

// problemKeys returns the keys of the errors that Check has joined.
func problemKeys(err error) (keys []string) {
	if err == nil {
		return nil
	}
	for _, e := range err.(interface{ Unwrap() []error }).Unwrap() {
		var problem *FieldError
		if errors.As(e, &problem) {
			keys = append(keys, problem.Key)
		}
	}
	return keys
}

// The hash differs for plans with different contents, and ignores what does not change the budget shares.
func TestHashTellsTablesApart(t *testing.T) {
	base := threeCellPlan().Hash()
	same := threeCellPlan()
	slices.Reverse(same.Cells)
	same.HomeShare = DefaultHomeShare
	same.Cells[0].Contacts = []string{"10.9.9.9:1"}
	if same.Hash() != base {
		t.Error("hash changed with the cell order, contacts or explicit default home share; want the same")
	}
	for i, change := range []func(p *Plan){
		func(p *Plan) { p.Number++ }, func(p *Plan) { p.HomeShare = 0.5 },
		func(p *Plan) { p.Cells = p.Cells[1:] },
		func(p *Plan) { p.Cells[0].Name = "x" }, func(p *Plan) { p.Cells[0].Region = "b" },
		func(p *Plan) { p.Cells[0].Zone = "a-2" },
		func(p *Plan) { p.Cells[0].Relays++ },
	} {
		p := threeCellPlan()
		change(&p)
		if p.Hash() == base {
			t.Error("change", i, "of the plan left the hash unchanged, want a different one")
		}
	}
}

// A plan that omits a cell holding a budget share is rejected with the omitted cells' names.
func TestSuccessorNamesAllHolders(t *testing.T) {
	p := threeCellPlan()
	if err := p.CheckSuccessor([]string{"a1", "b1"}); err != nil {
		t.Error("CheckSuccessor of cells that the plan names:", err)
	}
	var missing *MissingCellsError
	if err := p.CheckSuccessor([]string{"z", "a1", "c1", "z"}); !errors.As(err, &missing) ||
		strings.Join(missing.Cells, " ") != "c1 z" {
		t.Error("CheckSuccessor with unknown cells c1 and z: want a *MissingCellsError that lists them, got",
			err)
	}
}

// In no zone do the cells' budget shares add up to more than the full budget. In zones that have cells, at
// least 97% of it is shared out if all cells have relays.
func TestTotalShareOfRandomPlans(t *testing.T) {
	least, most := FullBudget, uint64(0)
	for seed := range uint64(500) {
		draw := rand.New(rand.NewPCG(seed, 7))
		p := randomPlan(draw)
		if err := p.Check(); err != nil {
			t.Fatal("random plan of seed", seed, "is invalid:", err)
		}
		zones := map[string]bool{"elsewhere": true}
		positive := true
		for _, c := range p.Cells {
			zones[c.Zone] = true
			positive = positive && c.Relays > 0
			if near, far, _ := p.BudgetShares(c.Name); near < far {
				t.Fatal(seed, c.Name, "has a smaller budget share near than far")
			}
		}
		for zone := range zones {
			sum := p.TotalShare(zone)
			if most = max(most, sum); sum > FullBudget {
				t.Fatalf("seed %d: budget shares add up to %d, more than the full budget %d, in zone %q",
					seed, sum, FullBudget, zone)
			}
			if !positive || zone == "elsewhere" || zone == "" {
				continue
			}
			if least = min(least, sum); float64(sum) < 0.97*float64(FullBudget) {
				t.Fatalf("seed %d: budget shares add up to %.3f of the budget in zone %q, want at least 0.97",
					seed, float64(sum)/float64(FullBudget), zone)
			}
		}
	}
	t.Logf("budget shares add up to between %.9f and %.9f of the budget in a zone",
		float64(least)/float64(FullBudget), float64(most)/float64(FullBudget))
}

// randomPlan returns a random valid plan.
func randomPlan(draw *rand.Rand) Plan {
	p := Plan{Number: 1 + draw.Uint64N(9), HomeShare: draw.Float64()}
	lowest := draw.IntN(2)
	for i := range 1 + draw.IntN(MaxCells-1) {
		region := fmt.Sprint("r", draw.IntN(6))
		p.Cells = append(p.Cells, newCell(fmt.Sprint("c", i), region, fmt.Sprint(region, "-", draw.IntN(4)),
			lowest+draw.IntN(MaxRegionalRelays+1-lowest)))
	}
	if draw.IntN(3) == 0 {
		p.Cells = append(p.Cells, newCell("flat", "", "", 1+draw.IntN(1100)))
	}
	if p.regionWeights("").total == 0 {
		p.Cells[0].Relays = 1
	}
	return p
}
