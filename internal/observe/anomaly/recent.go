package anomaly

import (
	"slices"
	"time"
)

// maxRecentTimes is how many times a recent remembers.
const maxRecentTimes = 16

// recentTimes remembers when things happened last, the newest last.
type recentTimes []time.Duration

func (r *recentTimes) add(at time.Duration) { *r = appendBounded(*r, at, maxRecentTimes) }

// countSince counts what happened after an instant.
func (r recentTimes) countSince(at time.Duration) (n int) {
	for i := len(r) - 1; i >= 0 && r[i] > at; i-- {
		n++
	}
	return n
}

// nthNewest is when the nthNewest of the last n things happened.
func (r recentTimes) nthNewest(n int) time.Duration { return r[len(r)-n] }

// newest is when it happened newest; 0 for never.
func (r recentTimes) newest() time.Duration {
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1]
}

// appendBounded appends to a list that holds so many at most; the oldest is dropped.
func appendBounded[T any](list []T, x T, most int) []T {
	if len(list) == most {
		list = append(list[:0], list[1:]...)
	}
	return append(list, x)
}

// medianOfSorted is the median of what is in order already; 0 of nothing.
func medianOfSorted[T any](sorted []T) (m T) {
	if len(sorted) == 0 {
		return m
	}
	return sorted[len(sorted)/2]
}

// lowerQuartile is what a quarter of the times stay under: a machine that was short of time for a while must
// not make lateness usual.
func lowerQuartile(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(times))[len(times)/4]
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
