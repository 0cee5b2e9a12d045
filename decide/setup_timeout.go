package decide

import (
	"slices"
	"time"
)

const (
	// maxFalseTimeoutRate is the tolerated fraction, 0 to 1, of set-ups that time out although they would
	// have succeeded.
	maxFalseTimeoutRate = 0.001
	// setupLatencySamples is how many set-up latencies the percentile is computed from. An eighth of them is
	// enough to start with.
	setupLatencySamples = 128
	// minTimeoutOverMedian is the least ratio of the time-out to the median: a percentile close to the median
	// means that there are too few samples.
	minTimeoutOverMedian = 3
	// maxTimeoutDoublings bounds how often consecutive time-outs double the limit.
	maxTimeoutDoublings = 4
)

// setupTimeouts decides how long an attempt may take to set up its connection.
type setupTimeouts struct {
	*environment
	setupLatencies           []time.Duration // the latest samples
	oldestSetupLatency       int             // index of the oldest sample, once there are setupLatencySamples
	consecutiveSetupTimeouts int             // time-outs since the last successful set-up
}

// recordSetupLatency records a successful set-up.
func (t *setupTimeouts) recordSetupLatency(latency time.Duration) {
	t.consecutiveSetupTimeouts = 0
	if len(t.setupLatencies) < setupLatencySamples {
		t.setupLatencies = append(t.setupLatencies, latency)
		return
	}
	t.setupLatencies[t.oldestSetupLatency] = latency
	t.oldestSetupLatency = (t.oldestSetupLatency + 1) % setupLatencySamples
}

// recordTimeout records a set-up that timed out.
func (t *setupTimeouts) recordTimeout() { t.consecutiveSetupTimeouts++ }

// setupTimeout is the percentile of set-up latencies that keeps the rate of false time-outs within
// maxFalseTimeoutRate, or the class's latency objective while there are too few samples. It doubles with
// every second consecutive time-out: if no set-up succeeds any more, the limit is too low. The last attempt
// may take all the time that is left.
func (t *setupTimeouts) setupTimeout(r *request) time.Duration {
	left := r.deadline - t.now
	if r.attempts > 1 || r.attempts >= t.settings.MaxAttempts {
		return left
	}
	limit := t.class(r).LatencyObjective
	if n := len(t.setupLatencies); n >= setupLatencySamples/8 {
		sorted := slices.Clone(t.setupLatencies)
		slices.Sort(sorted)
		percentile := sorted[min(n-1, int(float64(n)*(1-maxFalseTimeoutRate)))]
		limit = max(percentile, minTimeoutOverMedian*sorted[n/2], t.settings.ConnectTimeout)
	}
	limit <<= min(t.consecutiveSetupTimeouts/consecutiveFailureThreshold, maxTimeoutDoublings)
	return min(limit, left)
}
