// Package cellplan is the table by which the cells of a fleet divide its budgets. A cell is a group of
// relays that agree among themselves on their shares; what the cell as a whole may take is written in a
// numbered plan in the operators' file. The package checks plans and does their sums, in whole units so
// that no rounding can take the sum over one. It keeps no state and does no I/O; internal/lifecycle reads
// plans, internal/fleet/membership acts by them.
package cellplan

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"strings"
)

// FullBudget is a fleet-wide budget in the units that parts are counted in.
const FullBudget uint64 = 1 << 40

// DefaultHomeShare is the home share of a plan that names none.
const DefaultHomeShare = 0.9

// Plan divides every budget among cells. For a server in a zone of some region, HomeShare of its budget
// is divided by weight among the cells of that region, and the rest by weight among all cells with a
// region. Of a server in a zone where no region's cell stands only that rest is divided.
type Plan struct {
	// Number is from 1, and higher with each change of names, regions, zones, weights or home share.
	Number uint64 `toml:"number"`
	// HomeShare is over 0 and at most 1; 0 for DefaultHomeShare.
	HomeShare float64 `toml:"home_share"`
	Cells     []Cell  `toml:"cells"`
}

// Cell is one cell of a plan.
type Cell struct {
	Name string `toml:"name"`
	// Region and Zone say where its relays stand. A cell with neither spans all regions, as a flat fleet
	// does while it is moved into cells: it takes its weight's part of every budget, and the other cells
	// divide what is left.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// Relays is how many relays the cell is bootstrapped with, and its weight; 0 for a cell that is going
	// away.
	Relays int `toml:"relays"`
	// Contacts are where its relays can be reached at first, "ip:port". They are not part of the Hash: no
	// part follows from them.
	Contacts []string `toml:"contacts"`
}

// SpansRegions tells whether the cell spans all regions.
func (c Cell) SpansRegions() bool { return c.Region == "" }

// FindCell returns the cell of a name.
func (p Plan) FindCell(name string) (Cell, bool) {
	i := slices.IndexFunc(p.Cells, func(c Cell) bool { return c.Name == name })
	if i < 0 {
		return Cell{}, false
	}
	return p.Cells[i], true
}

// CellNames are the names of all cells, in order, also of those that are going away.
func (p Plan) CellNames() []string {
	names := make([]string, 0, len(p.Cells))
	for _, c := range p.Cells {
		names = append(names, c.Name)
	}
	slices.Sort(names)
	return names
}

// Zones are the zones in which cells of a region stand, in order.
func (p Plan) Zones(region string) []string {
	var zones []string
	for _, c := range p.Cells {
		if !c.SpansRegions() && c.Region == region && !slices.Contains(zones, c.Zone) {
			zones = append(zones, c.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// BudgetShares is what a cell may take of the budget of a server: near where the server's zone is one of
// nearZones, far elsewhere. Near is never less than far. All are zero for a cell that the plan doesn't
// name. The plan must have passed Check.
func (p Plan) BudgetShares(name string) (near, far uint64, nearZones []string) {
	cell, ok := p.FindCell(name)
	if !ok {
		return 0, 0, nil
	}
	part := p.cellShare(cell, p.regionWeights(cell.Region))
	return part.near, part.far, part.nearZones
}

// TotalShare is what all cells together may take of the budget of a server in a zone; never over FullBudget.
func (p Plan) TotalShare(zone string) uint64 { return sumShares(p.cellShares(), zone) }

// cellShare is what one cell may take: near in its zones, far elsewhere.
type cellShare struct {
	near, far uint64
	nearZones []string
}

// cellShare is what a cell may take, by the weights around it.
func (p Plan) cellShare(cell Cell, weights weights) cellShare {
	weight := uint64(cell.Relays)
	switch {
	case weights.total == 0:
		return cellShare{}
	case cell.SpansRegions():
		everywhere := MulDiv(FullBudget, weight, weights.total)
		return cellShare{near: everywhere, far: everywhere}
	case weight == 0:
		return cellShare{nearZones: weights.zones}
	}
	rest := MulDiv(FullBudget, weights.regional, weights.total)
	home := MulDiv(rest, p.homeUnits(), FullBudget)
	far := MulDiv(rest-home, weight, weights.regional)
	return cellShare{near: MulDiv(home, weight, weights.inRegion) + far, far: far, nearZones: weights.zones}
}

// cellShares are those of all cells, in the order of the plan.
func (p Plan) cellShares() []cellShare {
	regions := map[string]weights{}
	parts := make([]cellShare, 0, len(p.Cells))
	for _, c := range p.Cells {
		w, known := regions[c.Region]
		if !known {
			w = p.regionWeights(c.Region)
			regions[c.Region] = w
		}
		parts = append(parts, p.cellShare(c, w))
	}
	return parts
}

// sumShares is what all parts together are of the budget of a server in a zone.
func sumShares(parts []cellShare, zone string) (total uint64) {
	for _, part := range parts {
		if slices.Contains(part.nearZones, zone) {
			total += part.near
		} else {
			total += part.far
		}
	}
	return total
}

// Hash tells two different tables apart that have been given one number by mistake. The order of the
// cells, and their contacts, do not matter.
func (p Plan) Hash() uint64 {
	h := fnv.New64a()
	put := func(s string) {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	put(strconv.FormatUint(p.Number, 10))
	put(strconv.FormatUint(p.homeUnits(), 10))
	byName := func(a, b Cell) int { return cmp.Compare(a.Name, b.Name) }
	cells := slices.SortedFunc(slices.Values(p.Cells), byName)
	for _, c := range cells {
		put(c.Name)
		put(c.Region)
		put(c.Zone)
		put(strconv.Itoa(c.Relays))
	}
	return h.Sum64()
}

// CheckSuccessor tells whether the plan may follow on one, or two, by which the current cells hold parts:
// it has to name them all, those that are to go with no relays, because a cell that is not named is never
// waited for. The error is a *MissingCells.
func (p Plan) CheckSuccessor(current []string) error {
	var missing []string
	for _, name := range current {
		if _, ok := p.FindCell(name); !ok {
			missing = append(missing, name)
		}
	}
	if missing == nil {
		return nil
	}
	slices.Sort(missing)
	return &MissingCellsError{Plan: p.Number, Cells: slices.Compact(missing)}
}

// MissingCellsError says that a plan doesn't name cells that hold parts by the plan before.
type MissingCellsError struct {
	Plan  uint64
	Cells []string
}

// Error names the plan and the cells.
func (e *MissingCellsError) Error() string {
	return "plan " + strconv.FormatUint(e.Plan, 10) +
		" doesn't name cells that hold a part: " + strings.Join(e.Cells, ", ") +
		" (name those that go away with relays = 0)"
}

// weights are sums over cells: of all, of those that have a region, and of those of one region, which
// stand in zones.
type weights struct {
	total, regional, inRegion uint64
	zones                     []string
}

// regionWeights sums the weights around a region.
func (p Plan) regionWeights(region string) (w weights) {
	for _, c := range p.Cells {
		weight := uint64(c.Relays)
		w.total += weight
		if c.SpansRegions() {
			continue
		}
		w.regional += weight
		if c.Region == region {
			w.inRegion += weight
		}
	}
	w.zones = p.Zones(region)
	return w
}

// homeUnits is the home share in units of FullBudget.
func (p Plan) homeUnits() uint64 {
	share := p.HomeShare
	if share == 0 {
		share = DefaultHomeShare
	}
	return uint64(math.Floor(share * float64(FullBudget)))
}

// MulDiv is amount*part/of, rounded down. Part must not be over of, and of not 0.
func MulDiv(amount, part, of uint64) uint64 {
	high, low := bits.Mul64(amount, part)
	quotient, _ := bits.Div64(high, low, of)
	return quotient
}
