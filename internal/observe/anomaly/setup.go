package anomaly

import (
	"math"
	"slices"
	"time"
)

// The figures of slow set-ups.
const (
	slowBy         = 15 * time.Millisecond // a set-up is not slow by less
	slowFactor     = 3.0                   // and slow beyond this multiple of its peers' and of its own past
	slowSamplesMin = 4                     // in slowWindow
	slowSamplesMax = 6                     // the newest of them
	slowWindow     = 5 * time.Second

	pastSamplesMin = 12 // before there is a past
	pastWeight     = 1.0 / 32
	setupsKept     = 2 * recentKept
	minLogSetup    = 0.1 // ms; shorter ones count as this
)

// setupTimes are a server's set-up times: the newest, and what is typical for it.
type setupTimes struct {
	samples []setupSample
	latest  time.Duration // median of the last seconds as of this tick, 0 if there are too few
	pastLog float64       // slow mean of the logarithm of set-up times in ms
	count   int
}

type setupSample struct{ at, elapsed time.Duration }

// add takes a set-up time. The past follows slowly, and not at all while the server departs from it.
func (t *setupTimes) add(at, elapsed time.Duration, departs bool) {
	t.samples = appendBounded(t.samples, setupSample{at, elapsed}, setupsKept)
	t.count++
	logMs := math.Log(max(millis(elapsed), minLogSetup))
	switch {
	case t.count <= pastSamplesMin:
		t.pastLog += (logMs - t.pastLog) / float64(t.count)
	case !departs && logMs-t.pastLog < math.Log(slowFactor):
		t.pastLog += (logMs - t.pastLog) * pastWeight
	}
}

// past is what is typical for the server.
func (t *setupTimes) past() time.Duration {
	return time.Duration(math.Exp(t.pastLog) * float64(time.Millisecond))
}

// recentMedian is the median of the last seconds; 0 if there are too few.
func (t *setupTimes) recentMedian(now time.Duration) time.Duration {
	var newest [slowSamplesMax]time.Duration
	n := 0
	for _, x := range t.samples[max(0, len(t.samples)-slowSamplesMax):] {
		if x.at > now-slowWindow {
			newest[n] = x.elapsed
			n++
		}
	}
	if n < slowSamplesMin {
		return 0
	}
	slices.Sort(newest[:n])
	return newest[n/2]
}

// isSlow tells whether set-ups are slow against the server's own past.
func (t *setupTimes) isSlow() bool {
	return t.count >= pastSamplesMin && muchSlower(t.latest, t.past())
}

// muchSlower tells whether a set-up time is far over a typical one.
func muchSlower(elapsed, typical time.Duration) bool {
	return millis(elapsed) > slowFactor*millis(typical) && elapsed > typical+slowBy
}
