package membership

import "time"

// safeguards are what keeps the sum of the shares at one or below. They are always on; tests take one out
// at a time to see that the drawn schedules find out.
type safeguards struct {
	// jointViews: shares grow only by what no earlier view lets anybody take any more.
	jointViews bool
	// releasesSlots: a relay that has released its slot takes nothing by it.
	releasesSlots bool
	leaseDuration time.Duration
	waitOut       time.Duration
	safetyMargin  time.Duration
	// maxEffectDelay is how long what a relay has done by its share may take effect.
	maxEffectDelay time.Duration

	// What follows keeps the sum over all cells.

	// jointPlans: a cell that joins a plan takes the lesser of its parts by that and by the one before.
	jointPlans bool
	// awaitsCells: a plan is activated once every cell has joined it.
	awaitsCells bool
	// awaitsEarlierViews: a cell has joined a plan once nobody in it acts by an earlier view.
	awaitsEarlierViews bool
	// inSequence: plans are joined one by one, none is skipped.
	inSequence bool
	// checksVersions: a program that knows no plans renews and joins nothing in a cell.
	checksVersions bool
}

// allSafeguards are those of every Node outside of tests.
func allSafeguards() safeguards {
	return safeguards{
		jointViews: true, releasesSlots: true,
		leaseDuration: LeaseDuration, waitOut: EarlierViewsExpireAfter,
		safetyMargin: LeaseSafetyMargin, maxEffectDelay: MaxEffectDelay,
		jointPlans: true, awaitsCells: true, awaitsEarlierViews: true, inSequence: true, checksVersions: true,
	}
}
