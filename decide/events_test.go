package decide

import "testing"

func TestStatusAndReasonNames(t *testing.T) {
	for s := OK; s < statusCount; s++ {
		if name := s.String(); name == "" || name == "unknown" {
			t.Errorf("status %d has no name", s)
		}
	}
	for r := NoServer; r < rejectReasonCount; r++ {
		if name := r.String(); name == "" || name == "unknown" {
			t.Errorf("reason %d has no name", r)
		}
	}
	if s, r := statusCount.String(), rejectReasonCount.String(); s != "unknown" || r != "unknown" {
		t.Errorf("names of values beyond the last: %q, %q, want \"unknown\"", s, r)
	}
	if name := NoReason.String(); name != "" {
		t.Errorf("name of NoReason is %q, want an empty string", name)
	}
}

// Only these statuses prove that repeating the request is safe (rule 2).
func TestWhatProvesThatAnAttemptNeverRan(t *testing.T) {
	proof := map[Status]bool{AtCapacity: true, ConnectFailed: true, Superseded: true}
	for s := OK; s < statusCount; s++ {
		if s.NeverRan() != proof[s] {
			t.Errorf("status %v: NeverRan() = %v, want the opposite", s, s.NeverRan())
		}
	}
}
