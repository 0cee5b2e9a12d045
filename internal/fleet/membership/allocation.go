package membership

import (
	"slices"
	"strconv"

	"capersail/internal/fleet/cellplan"
)

// Allocation is the part of every budget that a cell's relays divide among themselves, by a numbered
// plan. It is in the view, so that a relay acts by it whatever its file says. docs/design/cells.md has
// the rules and why the sum over all cells is never over one. It is never changed once made.
type Allocation struct {
	Plan     uint64 `cbor:"1,keyasint"`
	PlanHash uint64 `cbor:"2,keyasint"`
	// Activated says that every cell had joined the plan: the parts are the plan's in full. While it is not,
	// they are the lesser of this plan's and those before.
	Activated  bool   `cbor:"3,keyasint,omitempty"`
	NearBudget uint64 `cbor:"4,keyasint,omitempty"` // of FullBudget, for servers in NearZones
	FarBudget  uint64 `cbor:"5,keyasint,omitempty"` // of FullBudget, for all others; never over Near
	// NearZones and Cells are in order. Cells are all that may hold a part by this plan or by the one before.
	NearZones []string `cbor:"6,keyasint,omitempty"`
	Cells     []string `cbor:"7,keyasint,omitempty"`
	// LeaseMillis is the time of a lease in ms, 0 for LeaseDuration. It is the same in all views of
	// a chain: what a holder trusts and what the others wait must be one number.
	LeaseMillis uint32 `cbor:"8,keyasint,omitempty"`
	// Bootstrapped says that the cell was bootstrapped by this plan, which is not the first: it has come
	// from no earlier one, and cannot know which cells hold a part by that.
	Bootstrapped bool `cbor:"9,keyasint,omitempty"`
}

// FirstJoinedPlan is the plan that a chain without an Allocation joins. Plan 1 is for fleets that are
// bootstrapped in cells: a cell that is bootstrapped under it is activated at once.
const FirstJoinedPlan = 2

// plan is the number of the plan acted by, 0 for none.
func (a *Allocation) plan() uint64 {
	if a == nil {
		return 0
	}
	return a.Plan
}

// leaseMillis is the time of a lease in ms, 0 for the flat fleet's.
func (a *Allocation) leaseMillis() uint32 {
	if a == nil {
		return 0
	}
	return a.LeaseMillis
}

// isBy tells whether an Allocation is by a plan.
func (a *Allocation) isBy(plan *cellplan.Plan) bool {
	return plan != nil && plan.Number == a.Plan && plan.Hash() == a.PlanHash
}

// successor is the only plan that may be joined next. A plan that was skipped would be taken by the
// others for joined, though the cell might hold more than its part by it.
func (a *Allocation) successor() uint64 {
	if a == nil {
		return FirstJoinedPlan
	}
	return a.Plan + 1
}

// holders are the cells that may hold a part; of a flat fleet only itself.
func (a *Allocation) holders(cell string) []string {
	if a == nil {
		return []string{cell}
	}
	return a.Cells
}

// bootstrapAllocation is that of the first view of a cell. Under plan 1 nothing can have come before; under a
// later one the cell holds nothing until the plan is activated.
func bootstrapAllocation(plan *cellplan.Plan, cell string, leaseMillis uint32) *Allocation {
	a := &Allocation{Plan: plan.Number, PlanHash: plan.Hash(), Cells: plan.CellNames(),
		LeaseMillis: leaseMillis}
	if plan.Number == 1 {
		return a.activated(plan, cell)
	}
	a.Bootstrapped = true
	return a
}

// joined is the Allocation by which a cell joins a plan: of each part the lesser of what it held and
// what it is to hold.
func (a *Allocation) joined(plan *cellplan.Plan, cell string) *Allocation {
	near, far, zones := plan.BudgetShares(cell)
	next := &Allocation{
		Plan: plan.Number, PlanHash: plan.Hash(), NearBudget: near, FarBudget: far, NearZones: zones,
		Cells: plan.CellNames(),
	}
	if a == nil {
		return next
	}
	next.LeaseMillis = a.LeaseMillis
	next.NearBudget, next.FarBudget = min(near, a.NearBudget), min(far, a.FarBudget)
	wasFar := func(zone string) bool { return !slices.Contains(a.NearZones, zone) }
	next.NearZones = slices.DeleteFunc(slices.Clone(zones), wasFar)
	next.Cells = slices.Compact(slices.Sorted(slices.Values(append(plan.CellNames(), a.Cells...))))
	return next
}

// activated is the Allocation by which a cell that has joined a plan takes its parts in full.
func (a *Allocation) activated(plan *cellplan.Plan, cell string) *Allocation {
	next := *a
	next.Activated = true
	next.NearBudget, next.FarBudget, next.NearZones = plan.BudgetShares(cell)
	next.Cells = nil
	for _, c := range plan.Cells {
		if c.Relays > 0 {
			next.Cells = append(next.Cells, c.Name)
		}
	}
	slices.Sort(next.Cells)
	return &next
}

// equal tells whether two Allocations are alike.
func (a *Allocation) equal(b *Allocation) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Plan == b.Plan && a.PlanHash == b.PlanHash &&
		a.Activated == b.Activated && a.Bootstrapped == b.Bootstrapped &&
		a.NearBudget == b.NearBudget && a.FarBudget == b.FarBudget && a.LeaseMillis == b.LeaseMillis &&
		slices.Equal(a.NearZones, b.NearZones) && slices.Equal(a.Cells, b.Cells)
}

// atMost tells whether an Allocation gives nowhere more than another.
func (a *Allocation) atMost(b *Allocation) bool {
	if b == nil {
		return true
	}
	for _, zone := range a.NearZones {
		if a.NearBudget > b.part(zone) {
			return false
		}
	}
	return a.FarBudget <= b.FarBudget
}

// part is what the cell may take of the budget of a server in a zone.
func (a *Allocation) part(zone string) uint64 {
	switch {
	case a == nil:
		return FullBudget
	case slices.Contains(a.NearZones, zone):
		return a.NearBudget
	}
	return a.FarBudget
}

// budgetShares are what a relay with a share of its cell's part may take of the budgets of near and of
// far servers.
func (a *Allocation) budgetShares(share float64) (near, far float64) {
	if a == nil {
		return share, share
	}
	of := func(part uint64) float64 {
		return fraction(cellplan.MulDiv(uint64(share*float64(FullBudget)), part, FullBudget))
	}
	return of(a.NearBudget), of(a.FarBudget)
}

// summary is an Allocation in a few words.
func (a *Allocation) summary() string {
	state := " entered"
	if a.Activated {
		state = " open"
	}
	return "plan " + strconv.FormatUint(a.Plan, 10) + state
}

// Bounds of an Allocation that comes from elsewhere.
const (
	maxZones       = 256
	maxCells       = 2 * cellplan.MaxCells
	maxNameBytes   = 256
	minLeaseMillis = 1000
	maxLeaseMillis = 60_000
)

// valid tells whether an Allocation that came from elsewhere could be.
func (a *Allocation) valid() bool {
	if a == nil {
		return true
	}
	if a.LeaseMillis != 0 && (a.LeaseMillis < minLeaseMillis || a.LeaseMillis > maxLeaseMillis) {
		return false
	}
	return a.Plan > 0 && a.NearBudget >= a.FarBudget && a.NearBudget <= FullBudget &&
		validNames(a.NearZones, maxZones) && validNames(a.Cells, maxCells)
}

// validNames tells whether names could be those of zones or cells: up to so many, in order, none twice.
func validNames(names []string, most int) bool {
	if len(names) > most {
		return false
	}
	for i, name := range names {
		if name == "" || len(name) > maxNameBytes || i > 0 && names[i-1] >= name {
			return false
		}
	}
	return true
}
