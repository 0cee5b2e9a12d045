package anomaly

import (
	"math"
	"slices"
	"time"
)

// Thresholds of the SlowSetup pattern.
const (
	minSetupExcess  = 15 * time.Millisecond // minimum excess over the typical time
	slowSetupFactor = 3.0                   // minimum ratio to the peers' and the server's own time
	minSlowSamples  = 4                     // samples needed in slowSetupWindow
	maxSlowSamples  = 6                     // only the newest samples are used
	slowSetupWindow = 5 * time.Second

	minPastSamples  = 12 // samples needed before the typical time is used
	pastWeight      = 1.0 / 32
	maxSetupSamples = 2 * maxRecentTimes
	minLogSetupMs   = 0.1 // shorter set-ups count as this, since the logarithm of 0 is infinite
)

// setupTimes holds a server's newest set-up times and its typical set-up time.
type setupTimes struct {
	samples       []setupSample
	currentMedian time.Duration // recent median as of this tick, 0 if there are too few samples
	typicalLogMs  float64       // slowly moving mean of the logarithm of set-up times in ms
	count         int
}

type setupSample struct{ at, elapsed time.Duration }

// add records a set-up time. The typical time follows slowly, and not at all while the server's set-ups are
// abnormal.
func (t *setupTimes) add(at, elapsed time.Duration, abnormal bool) {
	t.samples = appendBounded(t.samples, setupSample{at, elapsed}, maxSetupSamples)
	t.count++
	logMs := math.Log(max(millis(elapsed), minLogSetupMs))
	switch {
	case t.count <= minPastSamples:
		t.typicalLogMs += (logMs - t.typicalLogMs) / float64(t.count)
	case !abnormal && logMs-t.typicalLogMs < math.Log(slowSetupFactor):
		t.typicalLogMs += (logMs - t.typicalLogMs) * pastWeight
	}
}

// typicalTime returns the server's typical set-up time.
func (t *setupTimes) typicalTime() time.Duration {
	return time.Duration(math.Exp(t.typicalLogMs) * float64(time.Millisecond))
}

// recentMedian returns the median of the newest set-up times within slowSetupWindow, or 0 if there are fewer
// than minSlowSamples.
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

// isSlowerThanTypical reports whether recent set-ups are slow compared with the server's own past.
func (t *setupTimes) isSlowerThanTypical() bool {
	return t.count >= minPastSamples && muchSlower(t.currentMedian, t.typicalTime())
}

// muchSlower reports whether a set-up time is far above a typical one.
func muchSlower(elapsed, typical time.Duration) bool {
	return millis(elapsed) > slowSetupFactor*millis(typical) && elapsed > typical+minSetupExcess
}
