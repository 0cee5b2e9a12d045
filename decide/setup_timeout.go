package decide

import (
	"slices"
	"time"
)

const (
	// tolerableFalseTimeouts is the part, 0 to 1, of set-ups that may time out although they would have come.
	tolerableFalseTimeouts = 0.001
	// setupLatenciesKept is how many set-up latencies the percentile is taken over; an eighth of them is
	// enough to begin with.
	setupLatenciesKept = 128
	// minTimeoutOverMedian is the least multiple of the median: a percentile near it is a sample too small.
	minTimeoutOverMedian = 3
	// maxTimeoutDoublings bounds how often consecutive time-outs double the limit.
	maxTimeoutDoublings = 4
)

// setupTimeouts decides how long an attempt may take to set up its connection.
type setupTimeouts struct {
	*environment
	setupLatencies           []time.Duration // the latest
	setupCursor              int             // the oldest of them, once they are setupLatenciesKept
	consecutiveSetupTimeouts int             // set-ups timed out since the last that came
}

// recordSetupLatency notes a set-up that came.
func (t *setupTimeouts) recordSetupLatency(latency time.Duration) {
	t.consecutiveSetupTimeouts = 0
	if len(t.setupLatencies) < setupLatenciesKept {
		t.setupLatencies = append(t.setupLatencies, latency)
		return
	}
	t.setupLatencies[t.setupCursor] = latency
	t.setupCursor = (t.setupCursor + 1) % setupLatenciesKept
}

// recordTimeout notes a set-up that did not come in time.
func (t *setupTimeouts) recordTimeout() { t.consecutiveSetupTimeouts++ }

// setupTimeout is the percentile of set-up latencies that leaves the tolerable rate of false time-outs, or
// before there are enough of them the class's latency objective. It doubles with every other time-out in a
// row: if nothing comes in time any more, the limit is wrong. The last attempt may take all the time that
// is left.
func (t *setupTimeouts) setupTimeout(r *request) time.Duration {
	left := r.deadline - t.now
	if r.attempts > 1 || r.attempts >= t.settings.MaxAttempts {
		return left
	}
	limit := t.class(r).LatencyObjective
	if n := len(t.setupLatencies); n >= setupLatenciesKept/8 {
		sorted := slices.Clone(t.setupLatencies)
		slices.Sort(sorted)
		percentile := sorted[min(n-1, int(float64(n)*(1-tolerableFalseTimeouts)))]
		limit = max(percentile, minTimeoutOverMedian*sorted[n/2], t.settings.ConnectTimeout)
	}
	limit <<= min(t.consecutiveSetupTimeouts/failuresBeforeReaction, maxTimeoutDoublings)
	return min(limit, left)
}
