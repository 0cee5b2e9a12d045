package membership

import "testing"

// Every enumeration has a text for each of its values, and shows an unknown value by its number.
func TestEnumerationsHaveTexts(t *testing.T) {
	for got, want := range map[string]string{
		Health(HealthLeft).String(): "left", Health(9).String(): "unknown 9",
		Lifecycle(LifecycleLeaving).String(): "leaving", Lifecycle(9).String(): "unknown 9",
		PhaseCutOff.String(): "cut off", Phase(9).String(): "unknown 9",
		ChangePlan.String(): "plan", ChangeKind(9).String(): "unknown 9",
		PendingView.String(): "no view is agreed", PlanPendingReason(99).String(): "unknown 99",
	} {
		if got != want {
			t.Errorf("got the text %q, want %q", got, want)
		}
	}
	for r := range PlanPendingReason(len(planPendingTexts)) {
		if r.String() == "" {
			t.Errorf("the PlanPendingReason %d has no text", r)
		}
	}
}
