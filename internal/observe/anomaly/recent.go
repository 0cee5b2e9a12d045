package anomaly

import (
	"slices"
	"time"
)

// maxRecentTimes is the number of instants that a recentTimes keeps.
const maxRecentTimes = 16

// recentTimes holds the instants of the most recent occurrences of something, newest last.
type recentTimes []time.Duration

func (r *recentTimes) add(at time.Duration) { *r = appendBounded(*r, at, maxRecentTimes) }

// countSince returns the number of occurrences after an instant.
func (r recentTimes) countSince(at time.Duration) (n int) {
	for i := len(r) - 1; i >= 0 && r[i] > at; i-- {
		n++
	}
	return n
}

// nthNewest returns the instant of the n-th newest occurrence.
func (r recentTimes) nthNewest(n int) time.Duration { return r[len(r)-n] }

// newest returns the instant of the newest occurrence, or 0 if there is none.
func (r recentTimes) newest() time.Duration {
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1]
}

// appendBounded appends x to a list of at most "most" elements, dropping the oldest if the list is full.
func appendBounded[T any](list []T, x T, most int) []T {
	if len(list) == most {
		list = append(list[:0], list[1:]...)
	}
	return append(list, x)
}

// medianOfSorted returns the median of a sorted slice, or the zero value if the slice is empty.
func medianOfSorted[T any](sorted []T) (m T) {
	if len(sorted) == 0 {
		return m
	}
	return sorted[len(sorted)/2]
}

// lowerQuartile returns the time that a quarter of the times stay below. Typical times are lower quartiles so
// that a period in which the machine was short of CPU time does not make late replies look typical.
func lowerQuartile(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(times))[len(times)/4]
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
