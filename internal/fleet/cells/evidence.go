package cells

import "slices"

// ActivatedPlan is the newest plan that every cell is known to have joined, by this relay or another; 0
// for none. It never falls.
func (c *Coordinator) ActivatedPlan() uint64 { return c.activatedPlan }

// requiredCells are the cells that must have joined the view's plan before it is activated; nil if they
// are not known.
func (c *Coordinator) requiredCells() []string {
	if len(c.local.RequiredCells) > 0 {
		return c.local.RequiredCells
	}
	if c.plan.Number == c.local.Plan && c.plan.Hash() == c.local.PlanHash {
		return c.plan.CellNames()
	}
	return nil
}

// checkActivation activates this cell's plan once every cell has joined it.
func (c *Coordinator) checkActivation(out []Action) []Action {
	l := c.local
	if l.Plan == 0 || l.JoinedPlan < l.Plan || c.activatedPlan >= l.Plan {
		return out
	}
	names := c.requiredCells()
	missing := func(name string) bool {
		if name == c.cfg.Cell {
			return false
		}
		r := c.remotes[name]
		return r == nil || !r.hasJoined(l.Plan, l.PlanHash)
	}
	if len(names) == 0 || slices.ContainsFunc(names, missing) || !c.anyCellContinued(names) {
		return out
	}
	return c.activatePlan(l.Plan, out)
}

// anyCellContinued tells whether some cell has come into this cell's plan from the one before. Only such
// a cell knows who held a part by that, and has joined none that leaves one out: cells that are all
// bootstrapped by a plan never activate it.
func (c *Coordinator) anyCellContinued(names []string) bool {
	hasContinued := func(name string) bool {
		r := c.remotes[name]
		return r != nil && r.hasContinuedInto(c.local.Plan, c.local.PlanHash)
	}
	return !c.local.Bootstrapped || slices.ContainsFunc(names, hasContinued)
}

// activatePlan notes that a plan is activated.
func (c *Coordinator) activatePlan(plan uint64, out []Action) []Action {
	if plan <= c.activatedPlan {
		return out
	}
	c.activatedPlan = plan
	c.directory.dirty = true
	return append(out, CellChanged{Kind: PlanActivated, Cell: c.cfg.Cell, Plan: plan})
}

// checkMismatch tells once of a cell that has another table under the number of this cell's plan.
func (c *Coordinator) checkMismatch(r *remoteCell, s Summary, out []Action) []Action {
	if s.Plan != c.local.Plan || s.Plan == 0 {
		return out
	}
	differs := s.PlanHash != c.local.PlanHash
	if differs && !r.planMismatch {
		out = append(out, CellChanged{Kind: PlanMismatch, Cell: r.name, Representative: s.Representative,
			Plan: s.Plan})
	}
	r.planMismatch = differs
	return out
}
