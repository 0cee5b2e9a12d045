package anomaly

import (
	"math"
	"slices"
	"time"
)

// The figures of slow set-ups.
const (
	minSetupExcess  = 15 * time.Millisecond // a set-up is not slow by less
	slowSetupFactor = 3.0                   // and slow beyond this multiple of its peers' and of its own past
	minSlowSamples  = 4                     // in slowWindow
	maxSlowSamples  = 6                     // the newest of them
	slowSetupWindow = 5 * time.Second

	minPastSamples  = 12 // before there is a past
	pastWeight      = 1.0 / 32
	maxSetupSamples = 2 * maxRecentTimes
	minLogSetupMs   = 0.1 // ms; shorter ones count as this
)

// setupTimes are a server's set-up times: the newest, and what is typical for it.
type setupTimes struct {
	samples       []setupSample
	currentMedian time.Duration // median of the last seconds as of this tick, 0 if there are too few
	typicalLogMs  float64       // slow mean of the logarithm of set-up times in ms
	count         int
}

type setupSample struct{ at, elapsed time.Duration }

// add takes a set-up time. The past follows slowly, and not at all while the server departs from it.
func (t *setupTimes) add(at, elapsed time.Duration, departs bool) {
	t.samples = appendBounded(t.samples, setupSample{at, elapsed}, maxSetupSamples)
	t.count++
	logMs := math.Log(max(millis(elapsed), minLogSetupMs))
	switch {
	case t.count <= minPastSamples:
		t.typicalLogMs += (logMs - t.typicalLogMs) / float64(t.count)
	case !departs && logMs-t.typicalLogMs < math.Log(slowSetupFactor):
		t.typicalLogMs += (logMs - t.typicalLogMs) * pastWeight
	}
}

// typicalTime is what is typical for the server.
func (t *setupTimes) typicalTime() time.Duration {
	return time.Duration(math.Exp(t.typicalLogMs) * float64(time.Millisecond))
}

// recentMedian is the median of the last seconds; 0 if there are too few.
func (t *setupTimes) recentMedian(now time.Duration) time.Duration {
	var newest [maxSlowSamples]time.Duration
	n := 0
	for _, x := range t.samples[max(0, len(t.samples)-maxSlowSamples):] {
		if x.at > now-slowSetupWindow {
			newest[n] = x.elapsed
			n++
		}
	}
	if n < minSlowSamples {
		return 0
	}
	slices.Sort(newest[:n])
	return newest[n/2]
}

// isSlowerThanTypical tells whether set-ups are slow against the server's own past.
func (t *setupTimes) isSlowerThanTypical() bool {
	return t.count >= minPastSamples && muchSlower(t.currentMedian, t.typicalTime())
}

// muchSlower tells whether a set-up time is far over a typical one.
func muchSlower(elapsed, typical time.Duration) bool {
	return millis(elapsed) > slowSetupFactor*millis(typical) && elapsed > typical+minSetupExcess
}
