package membership

import (
	"testing"
	"time"

	"capersail/internal/fleet/duration"
)

// A lease counts from when half of the voters were asked, not from when they answered. Renewals that arrive
// late, or from a relay that is no voter, must never shorten it.
func TestLeaseCountsFromHalfOfTheVoters(t *testing.T) {
	const validFor = 3 * time.Second
	view := &View{Voters: []string{"a", "b", "c", "d", "e"}}
	l := lease{renewalSentAt: map[string]time.Duration{}, validUntil: duration.DistantPast}
	for _, step := range []struct {
		voter        string
		sentAt, want time.Duration // want 0 means no lease
	}{
		{"a", 10 * time.Second, 0},
		{"b", 11 * time.Second, 0},
		{"stranger", 12 * time.Second, 0},
		{"c", 12 * time.Second, 13 * time.Second},
		{"c", 9 * time.Second, 13 * time.Second}, // a late answer
		{"d", 12 * time.Second, 14 * time.Second},
		{"a", 12 * time.Second, 15 * time.Second},
	} {
		l.noteRenewal(step.voter, step.sentAt)
		l.extend(view, validFor)
		if step.want == 0 && l.valid(0) {
			t.Errorf("the lease is valid after renewals of %d relays, want no lease", len(l.renewalSentAt))
		}
		if step.want > 0 && (!l.valid(step.want-1) || l.valid(step.want)) {
			t.Errorf("after the renewal of %s sent at %v the lease is valid until %v, want %v",
				step.voter, step.sentAt, l.validUntil,
				step.want)
		}
	}
}
