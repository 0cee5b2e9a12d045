// Package cellplan defines the plan by which the cells of a fleet divide its budgets. A cell is a group of
// relays that agree among themselves on their budget shares; the budget share of the cell as a whole is set
// by a numbered plan in the operators' file.
//
// The package validates plans and computes the cells' budget shares, in integer units so that rounding cannot
// take their sum above the full budget. It keeps no state and does no I/O: internal/lifecycle reads the plans
// and internal/fleet/membership applies them.
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

// FullBudget is a whole fleet-wide budget, in the units of the cells' budget shares.
const FullBudget uint64 = 1 << 40

// DefaultHomeShare is the home share of a plan that sets none.
const DefaultHomeShare = 0.9

// Plan divides every budget among cells. For a server in a zone of a region that has cells, HomeShare of its
// budget is divided by weight among the cells of that region, and the rest by weight among all cells with a
// region. For a server in any other zone, only that rest is divided.
type Plan struct {
	// Number starts at 1 and must rise with each change of names, regions, zones, weights or home share.
	Number uint64 `toml:"number"`
	// HomeShare is above 0 and at most 1; 0 selects DefaultHomeShare.
	HomeShare float64 `toml:"home_share"`
	Cells     []Cell  `toml:"cells"`
}

// Cell is one cell of a plan.
type Cell struct {
	Name string `toml:"name"`
	// Region and Zone are the location of the cell's relays. A cell with neither spans all regions, as a flat
	// fleet does while it is being moved into cells: it takes its weight's share of every budget, and the
	// other cells divide the rest.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// Relays is the number of relays that the cell is bootstrapped with, and its weight. It is 0 for a cell
	// that is being removed.
	Relays int `toml:"relays"`
	// Contacts are the initial addresses of the cell's relays, as "ip:port". Hash leaves them out, as no
	// budget share depends on them.
	Contacts []string `toml:"contacts"`
}

// SpansRegions reports whether the cell spans all regions.
func (c Cell) SpansRegions() bool { return c.Region == "" }

// FindCell returns the cell with the given name.
func (p Plan) FindCell(name string) (Cell, bool) {
	i := slices.IndexFunc(p.Cells, func(c Cell) bool { return c.Name == name })
	if i < 0 {
		return Cell{}, false
	}
	return p.Cells[i], true
}

// CellNames returns the names of all cells in sorted order, including cells that are being removed.
func (p Plan) CellNames() []string {
	names := make([]string, 0, len(p.Cells))
	for _, c := range p.Cells {
		names = append(names, c.Name)
	}
	slices.Sort(names)
	return names
}

// Zones returns the zones of a region's cells, in sorted order.
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

// BudgetShares returns what a cell may take of the budget of a server, in units of FullBudget: near if the
// server's zone is one of nearZones, far otherwise. Near is never less than far. All results are zero for a
// cell that the plan does not name. The plan must have passed Check.
func (p Plan) BudgetShares(name string) (near, far uint64, nearZones []string) {
	cell, ok := p.FindCell(name)
	if !ok {
		return 0, 0, nil
	}
	share := p.cellShare(cell, p.regionWeights(cell.Region))
	return share.near, share.far, share.nearZones
}

// TotalShare returns what all cells together may take of the budget of a server in a zone. It is at most
// FullBudget.
func (p Plan) TotalShare(zone string) uint64 { return sumShares(p.cellShares(), zone) }

// cellShare is what one cell may take of a server's budget: near in nearZones, far elsewhere.
type cellShare struct {
	near, far uint64
	nearZones []string
}

// cellShare computes the budget share of a cell from the weights of its region.
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

// cellShares returns the budget shares of all cells, in the order of the plan.
func (p Plan) cellShares() []cellShare {
	regions := map[string]weights{}
	shares := make([]cellShare, 0, len(p.Cells))
	for _, c := range p.Cells {
		w, known := regions[c.Region]
		if !known {
			w = p.regionWeights(c.Region)
			regions[c.Region] = w
		}
		shares = append(shares, p.cellShare(c, w))
	}
	return shares
}

// sumShares returns the sum of the shares of the budget of a server in a zone.
func sumShares(shares []cellShare, zone string) (total uint64) {
	for _, part := range shares {
		if slices.Contains(part.nearZones, zone) {
			total += part.near
		} else {
			total += part.far
		}
	}
	return total
}

// Hash identifies the plan's contents, to detect two different plans that were given the same number by
// mistake. It does not depend on the order of the cells or on their contacts.
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

// CheckSuccessor reports whether the plan may follow the plans under which the current cells hold budget
// shares, of which there may be one or two. The plan has to name all of those cells, with no relays for those
// to be removed, because activation does not wait for a cell that the plan does not name. The error is a
// *MissingCellsError.
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

// MissingCellsError reports that a plan does not name cells that hold budget shares under the previous plan.
type MissingCellsError struct {
	Plan  uint64
	Cells []string
}

// Error names the plan and the cells.
func (e *MissingCellsError) Error() string {
	return "plan " + strconv.FormatUint(e.Plan, 10) +
		" does not name cells that hold a budget share: " + strings.Join(e.Cells, ", ") +
		" (list cells to be removed with relays = 0)"
}

// weights are sums of cell weights: over all cells, over the cells with a region, and over the cells of one
// region, whose zones are listed.
type weights struct {
	total, regional, inRegion uint64
	zones                     []string
}

// regionWeights sums the weights that the budget shares of a region's cells depend on.
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

// homeUnits returns the home share in units of FullBudget.
func (p Plan) homeUnits() uint64 {
	share := p.HomeShare
	if share == 0 {
		share = DefaultHomeShare
	}
	return uint64(math.Floor(share * float64(FullBudget)))
}

// MulDiv returns amount*part/of, rounded down, without overflow. It requires part <= of and of > 0.
func MulDiv(amount, part, of uint64) uint64 {
	high, low := bits.Mul64(amount, part)
	quotient, _ := bits.Div64(high, low, of)
	return quotient
}
