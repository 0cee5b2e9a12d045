package cells

import "slices"

// ActivatedPlan returns the newest plan that this relay or another one knows every cell to have joined, or 0
// for none. It never decreases.
func (c *Coordinator) ActivatedPlan() uint64 { return c.activatedPlan }

// requiredCells returns the cells that must have joined the view's plan before it is activated, or nil if
// they are not known.
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

// anyCellContinued reports whether some cell has joined this cell's plan from the previous plan. Only such a
// cell knows which cells held a budget share under the previous plan, and it joins no plan that omits one of
// them. If all cells are bootstrapped with a plan, it is therefore never activated.
func (c *Coordinator) anyCellContinued(names []string) bool {
	hasContinued := func(name string) bool {
		r := c.remotes[name]
		return r != nil && r.hasContinuedInto(c.local.Plan, c.local.PlanHash)
	}
	return !c.local.Bootstrapped || slices.ContainsFunc(names, hasContinued)
}

// activatePlan records that a plan is activated.
func (c *Coordinator) activatePlan(plan uint64, out []Action) []Action {
	if plan <= c.activatedPlan {
		return out
	}
	c.activatedPlan = plan
	c.directory.dirty = true
	return append(out, CellChanged{Kind: PlanActivated, Cell: c.cfg.Cell, Plan: plan})
}

// checkMismatch reports, once, a cell that has a plan with this cell's plan number but different contents.
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
