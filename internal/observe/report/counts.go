package report

import (
	"fmt"
	"strings"

	"capersail/decide"
	"capersail/internal/observe/recorder"
	"capersail/internal/observe/timeline"
)

func sumIntervals(intervals []timeline.Interval) (sum timeline.Interval) {
	for _, interval := range intervals {
		sum = timeline.Merge(sum, interval)
	}
	return sum
}

// CountFaults returns the number of attempts and connections that ended by a fault of the server.
func CountFaults(interval timeline.Interval) (n uint32) {
	for i, count := range interval.EndsByStatus {
		switch decide.Status(i) {
		case decide.OK, decide.Superseded, decide.Cancelled:
		default:
			n += count
		}
	}
	return n
}

// RejectionsByReason formats an interval's rejections and failures as a list of reasons with their counts.
func RejectionsByReason(interval timeline.Interval) string {
	var text strings.Builder
	known := uint32(0)
	add := func(reason string, n uint32) {
		if n > 0 {
			fmt.Fprintf(&text, " %s %d", reason, n)
			known += n
		}
	}
	for reason, n := range interval.RejectReasons.ByReason {
		add(decide.RejectReason(reason).String(), n)
	}
	for i, n := range interval.RejectReasons.ByInitiator[recorder.NoInitiator+1:] {
		initiator := recorder.NoInitiator + 1 + recorder.Initiator(i)
		add(initiator.String(), n)
	}
	if interval.Rejections > known { // such as those in a store written by a version that kept no reasons
		add("not told", interval.Rejections-known)
	}
	return text.String()
}
