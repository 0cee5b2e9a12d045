package membership

import (
	"slices"
	"strconv"

	"capersail/internal/fleet/cellplan"
)

// Allocation is the part of every budget that the relays of a cell divide among themselves, by a numbered
// plan. It is part of the view, so that a relay acts by it whatever plan its members file has.
// docs/design/cells.md has the rules, and the reason why the sum over all cells never exceeds the full
// budget. An Allocation is never changed once it is made.
type Allocation struct {
	Plan     uint64 `cbor:"1,keyasint"`
	PlanHash uint64 `cbor:"2,keyasint"`
	// Activated says that every cell has joined the plan, so that the budgets are those of the plan in full.
	// Until then they are the lesser of this plan's and the previous ones'.
	Activated  bool   `cbor:"3,keyasint,omitempty"`
	NearBudget uint64 `cbor:"4,keyasint,omitempty"` // of FullBudget, for servers in NearZones
	FarBudget  uint64 `cbor:"5,keyasint,omitempty"` // of FullBudget, for other servers; at most NearBudget
	// NearZones and Cells are sorted. Cells lists all cells that may hold a budget by this plan or by the
	// previous one.
	NearZones []string `cbor:"6,keyasint,omitempty"`
	Cells     []string `cbor:"7,keyasint,omitempty"`
	// LeaseMillis is the lease duration in ms, 0 for LeaseDuration. It is the same in all views of a chain,
	// because the holder of a lease and the relays that wait for its end must use the same duration.
	LeaseMillis uint32 `cbor:"8,keyasint,omitempty"`
	// Bootstrapped says that the cell was bootstrapped by this plan, though it is not the first. Such a cell
	// has joined no earlier plan, and cannot know which cells hold a budget by that.
	Bootstrapped bool `cbor:"9,keyasint,omitempty"`
}

// FirstJoinedPlan is the number of the plan that a chain without an Allocation joins. Plan 1 is for fleets
// that are bootstrapped in cells: a cell that is bootstrapped under it is activated at once.
const FirstJoinedPlan = 2

// planNumber returns the number of the plan that the cell acts by, 0 for none.
func (a *Allocation) planNumber() uint64 {
	if a == nil {
		return 0
	}
	return a.Plan
}

// leaseMillis returns the lease duration in ms, 0 for that of a fleet without cells.
func (a *Allocation) leaseMillis() uint32 {
	if a == nil {
		return 0
	}
	return a.LeaseMillis
}

// matchesPlan reports whether the Allocation was made by a plan: by its number and its hash.
func (a *Allocation) matchesPlan(plan *cellplan.Plan) bool {
	return plan != nil && plan.Number == a.Plan && plan.Hash() == a.PlanHash
}

// successorPlan returns the number of the only plan that may be joined next. If a plan were skipped, the
// other cells would count it as joined, though this cell might hold more than its budget by it.
func (a *Allocation) successorPlan() uint64 {
	if a == nil {
		return FirstJoinedPlan
	}
	return a.Plan + 1
}

// holderCells returns the cells that may hold a budget: only the cell itself in a fleet without cells.
func (a *Allocation) holderCells(cell string) []string {
	if a == nil {
		return []string{cell}
	}
	return a.Cells
}

// bootstrapAllocation returns the Allocation of a cell's first view. Under plan 1 no other plan can have come
// before. Under a later plan the cell holds no budget until the plan is activated.
func bootstrapAllocation(plan *cellplan.Plan, cell string, leaseMillis uint32) *Allocation {
	a := &Allocation{Plan: plan.Number, PlanHash: plan.Hash(), Cells: plan.CellNames(),
		LeaseMillis: leaseMillis}
	if plan.Number == 1 {
		return a.afterActivation(plan, cell)
	}
	a.Bootstrapped = true
	return a
}

// afterJoining returns the Allocation by which a cell joins a plan: each budget is the lesser of the one that
// the cell held and the one that the plan gives it.
func (a *Allocation) afterJoining(plan *cellplan.Plan, cell string) *Allocation {
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

// afterActivation returns the Allocation by which a cell that has joined a plan takes its budgets in full.
func (a *Allocation) afterActivation(plan *cellplan.Plan, cell string) *Allocation {
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

// equal reports whether two Allocations have the same content.
func (a *Allocation) equal(b *Allocation) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Plan == b.Plan && a.PlanHash == b.PlanHash &&
		a.Activated == b.Activated && a.Bootstrapped == b.Bootstrapped &&
		a.NearBudget == b.NearBudget && a.FarBudget == b.FarBudget && a.LeaseMillis == b.LeaseMillis &&
		slices.Equal(a.NearZones, b.NearZones) && slices.Equal(a.Cells, b.Cells)
}

// isAtMost reports whether the Allocation gives no zone a larger budget than another Allocation does.
func (a *Allocation) isAtMost(b *Allocation) bool {
	if b == nil {
		return true
	}
	for _, zone := range a.NearZones {
		if a.NearBudget > b.budgetIn(zone) {
			return false
		}
	}
	return a.FarBudget <= b.FarBudget
}

// budgetIn returns what the cell may take of the budget of a server in a zone, in units of FullBudget.
func (a *Allocation) budgetIn(zone string) uint64 {
	switch {
	case a == nil:
		return FullBudget
	case slices.Contains(a.NearZones, zone):
		return a.NearBudget
	}
	return a.FarBudget
}

// budgetShares returns which fractions of the budgets of near and of far servers a relay may take that has
// the given share of its cell's budget.
func (a *Allocation) budgetShares(share float64) (near, far float64) {
	if a == nil {
		return share, share
	}
	toShare := func(budget uint64) float64 {
		return fraction(cellplan.MulDiv(uint64(share*float64(FullBudget)), budget, FullBudget))
	}
	return toShare(a.NearBudget), toShare(a.FarBudget)
}

// summary describes the Allocation for the log.
func (a *Allocation) summary() string {
	state := " entered"
	if a.Activated {
		state = " open"
	}
	return "plan " + strconv.FormatUint(a.Plan, 10) + state
}

// Bounds of an Allocation that another relay has sent.
const (
	maxZones       = 256
	maxCells       = 2 * cellplan.MaxCells
	maxNameBytes   = 256
	minLeaseMillis = 1000
	maxLeaseMillis = 60_000
)

// isValid reports whether an Allocation that another relay has sent is within the bounds.
func (a *Allocation) isValid() bool {
	if a == nil {
		return true
	}
	if a.LeaseMillis != 0 && (a.LeaseMillis < minLeaseMillis || a.LeaseMillis > maxLeaseMillis) {
		return false
	}
	return a.Plan > 0 && a.NearBudget >= a.FarBudget && a.NearBudget <= FullBudget &&
		validNames(a.NearZones, maxZones) && validNames(a.Cells, maxCells)
}

// validNames reports whether names can be a list of zones or cells: at most maxCount, sorted, without
// duplicates, and none empty or too long.
func validNames(names []string, maxCount int) bool {
	if len(names) > maxCount {
		return false
	}
	for i, name := range names {
		if name == "" || len(name) > maxNameBytes || i > 0 && names[i-1] >= name {
			return false
		}
	}
	return true
}
