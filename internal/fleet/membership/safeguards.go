package membership

import "time"

// safeguards are the rules that keep the sum of all shares at or below 1. They are always on. Tests switch
// them off one at a time, to check that the random schedules of faults detect it.
type safeguards struct {
	// jointViews: a share grows only by what no relay may take by an earlier view.
	jointViews bool
	// releasesSlots: a relay that has released its slot takes nothing by it.
	releasesSlots           bool
	leaseDuration           time.Duration
	earlierViewsExpireAfter time.Duration
	safetyMargin            time.Duration
	// maxEffectDelay is how long it may take until what a relay does by its share has taken effect.
	maxEffectDelay time.Duration

	// The following rules keep the sum over all cells.

	// jointPlans: a cell that joins a plan takes the lesser of its budgets by that plan and by the previous
	// one.
	jointPlans bool
	// awaitsCells: a plan is activated only when every cell has joined it.
	awaitsCells bool
	// awaitsEarlierViews: a cell has joined a plan only when no relay in it acts by an earlier view.
	awaitsEarlierViews bool
	// plansInSequence: plans are joined one by one, without skipping a number.
	plansInSequence bool
	// checksVersions: in a cell, a relay whose program knows no plans gets no lease and joins no view.
	checksVersions bool
}

// allSafeguards returns the safeguards of every Node outside tests.
func allSafeguards() safeguards {
	return safeguards{
		jointViews: true, releasesSlots: true,
		leaseDuration: LeaseDuration, earlierViewsExpireAfter: EarlierViewsExpireAfter,
		safetyMargin: LeaseSafetyMargin, maxEffectDelay: MaxEffectDelay,
		jointPlans: true, awaitsCells: true, awaitsEarlierViews: true,
		plansInSequence: true, checksVersions: true,
	}
}
