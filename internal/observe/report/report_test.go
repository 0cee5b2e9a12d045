package report

import (
	"strings"
	"testing"

	"capersail/decide"
	"capersail/internal/observe/recorder"
	"capersail/internal/observe/timeline"
)

// The fleet's timeline shows rejections by reason. Rejections without a reason, as in the store of an older
// version, are shown too.
func TestRejectionsAreShownByReason(t *testing.T) {
	step := timeline.Interval{From: 1e6, Width: 1000, Rejections: 10}
	step.RejectReasons.ByReason[decide.NoCapacity] = 4
	step.RejectReasons.ByReason[decide.RetryBudgetExhausted] = 2
	step.RejectReasons.ByInitiator[recorder.DescriptorLimit] = 1
	r := Report{Servers: []Server{{Name: timeline.FleetName, Intervals: []timeline.Interval{step}}}}
	var shown, table strings.Builder
	if err := r.WriteDrawing(&shown, 60); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteCSV(&table); err != nil {
		t.Fatal(err)
	}
	const want = "no room 4 no retry tokens 2 door 1 not told 3"
	if !strings.Contains(shown.String(), "rejected: "+want+"\n") || !strings.Contains(table.String(), want) {
		t.Errorf("got text:\n%s\nand CSV:\n%s\nwant the 10 rejections by reason in both", &shown, &table)
	}
}
