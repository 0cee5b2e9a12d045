package membership

import "time"

// safeguards are the rules that keep the sum of the shares of all relays at or below 1. All of them are on
// outside tests. Tests switch one rule off at a time, to check that the random schedules of faults then find
// a sum above 1.
type safeguards struct {
	// jointViews: the share of a member grows only by what no relay may use by an earlier view.
	jointViews bool
	// releasesSlots: a relay that has released its bootstrap slot does not use the share of that slot any
	// more.
	releasesSlots           bool
	leaseDuration           time.Duration
	earlierViewsExpireAfter time.Duration
	safetyMargin            time.Duration
	// maxEffectDelay is the longest time from when a relay reads its share until everything that the relay
	// does by that share has taken effect.
	maxEffectDelay time.Duration

	// The following rules keep the sum over all cells at or below 1.

	// jointPlans: a cell that joins a plan uses the lesser of its budgets by that plan and by the previous
	// plan.
	jointPlans bool
	// awaitsCells: a plan is activated only when every cell has joined the plan.
	awaitsCells bool
	// awaitsEarlierViews: a cell counts as having joined a plan only when no relay in the cell acts by an
	// earlier view.
	awaitsEarlierViews bool
	// plansInSequence: plans are joined one by one, without skipping a number.
	plansInSequence bool
	// checksVersions: in a cell, a relay whose program does not support plans gets no lease and joins no
	// view.
	checksVersions bool
}

// allSafeguards returns the safeguards with every rule switched on, as each Node has them outside tests.
func allSafeguards() safeguards {
	return safeguards{
		jointViews: true, releasesSlots: true,
		leaseDuration: LeaseDuration, earlierViewsExpireAfter: EarlierViewsExpireAfter,
		safetyMargin: LeaseSafetyMargin, maxEffectDelay: MaxEffectDelay,
		jointPlans: true, awaitsCells: true, awaitsEarlierViews: true,
		plansInSequence: true, checksVersions: true,
	}
}
