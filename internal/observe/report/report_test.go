package report

import (
	"strings"
	"testing"

	"capersail/decide"
	"capersail/internal/observe/recorder"
	"capersail/internal/observe/timeline"
)

// The fleet's line tells refusals by reason; those of an old store, which has no reasons, are told as such.
func TestShowTellsReasons(t *testing.T) {
	step := timeline.Step{From: 1e6, Width: 1000, Refusals: 10}
	step.Reasons.Module[decide.NoCapacity], step.Reasons.Module[decide.RetryBudgetExhausted] = 4, 2
	step.Reasons.Relay[recorder.Door] = 1
	r := Report{Servers: []Server{{Name: timeline.Fleet, Steps: []timeline.Step{step}}}}
	var shown, table strings.Builder
	if err := r.Show(&shown, 60); err != nil {
		t.Fatal(err)
	}
	if err := r.CSV(&table); err != nil {
		t.Fatal(err)
	}
	const want = "no room 4 no retry tokens 2 door 1 not told 3"
	if !strings.Contains(shown.String(), "refused: "+want+"\n") || !strings.Contains(table.String(), want) {
		t.Errorf("%s%s", &shown, &table)
	}
}
