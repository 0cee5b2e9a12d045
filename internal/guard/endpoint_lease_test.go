package guard

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// steps are what happens to a lease.
type steps []func(*EndpointLease)

// renewed renews a lease at each of some instants.
func renewed(at ...time.Duration) func(*EndpointLease) {
	return func(l *EndpointLease) {
		for _, t := range at {
			l.Renew(t)
		}
	}
}

// lost records a loss.
func lost(at time.Duration, loss DiscoveryLoss) func(*EndpointLease) {
	return func(l *EndpointLease) { l.RecordLoss(at, loss) }
}

func TestEndpointLeaseExpiry(t *testing.T) {
	const start, poll, pushed = 1000 * ms, 10_000 * ms, 0
	const polledMargin = violationMargin
	const watchEndedMargin = DrainGrace - watchEndedTerm
	const addressChangedMargin = 4000*ms + DrainGrace - addressChangedTerm
	for _, c := range []struct {
		name       string
		pollWithin time.Duration
		steps      steps
		until      time.Duration
		margin     time.Duration // from the expiry until the rule on drains may be broken
	}{
		{"not polled yet", poll, nil, start, polledMargin},
		{"pushed, silent from the start", pushed, nil, start, polledMargin},
		{"first call failed", poll, steps{lost(2000*ms, CallFailed)}, start, polledMargin},
		{"first call refused", poll, steps{lost(2000*ms, ConnectionRefused)},
			2000*ms + endpointLeaseTerm, polledMargin},
		{"on a watch", poll, steps{renewed(2000*ms, 4000*ms)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"the watch ended", poll, steps{renewed(2000*ms, 4000*ms), lost(5000*ms, CallFailed)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"down since", poll, steps{renewed(2000 * ms), lost(5000*ms, ConnectionRefused)},
			5000*ms + endpointLeaseTerm, polledMargin},
		{"heard again", poll,
			steps{renewed(2000 * ms), lost(5000*ms, ConnectionRefused), renewed(9000 * ms)},
			9000*ms + endpointLeaseTerm, polledMargin},
		{"settings give less without a watch", 1000 * ms,
			steps{renewed(2000 * ms), lost(2500*ms, CallFailed)},
			2000*ms + failedCallFactor*1000*ms, polledMargin},
		{"pushed, on a watch", pushed, steps{renewed(2000*ms, 4000*ms)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"pushed, fallen silent", pushed,
			steps{renewed(4000 * ms), lost(7000*ms, WatchSilent), lost(9000*ms, CallFailed)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"pushed, the watch ended", pushed,
			steps{renewed(4000 * ms), lost(5000*ms, CallFailed), lost(5100*ms, CallFailed)},
			5000*ms + watchEndedTerm, watchEndedMargin},
		{"pushed, and was opened again", pushed,
			steps{renewed(4000 * ms), lost(5000*ms, CallFailed), renewed(5100 * ms)},
			5100*ms + endpointLeaseTerm, polledMargin},
		{"pushed, and the agent is down", pushed,
			steps{renewed(4000 * ms), lost(5000*ms, CallFailed), lost(9000*ms, ConnectionRefused)},
			9000*ms + watchEndedTerm, watchEndedMargin},
		{"pushed, the agent was down and hangs", pushed,
			steps{renewed(4000 * ms), lost(5000*ms, ConnectionRefused), lost(9000*ms, CallFailed)},
			5000*ms + watchEndedTerm, watchEndedMargin},
		{"pushed, another agent", pushed,
			steps{renewed(4000 * ms), lost(5000*ms, AddressChanged), lost(6000*ms, AddressChanged)},
			5000*ms + addressChangedTerm, addressChangedMargin},
		{"pushed, another agent late in the silence", pushed,
			steps{renewed(4000 * ms), lost(8000*ms, AddressChanged)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"pushed, another agent after the watch had ended", pushed,
			steps{renewed(4000 * ms), lost(5000*ms, CallFailed), lost(5050*ms, AddressChanged)},
			5000*ms + watchEndedTerm, watchEndedMargin},
		{"polled, another address", poll, steps{renewed(4000 * ms), lost(5000*ms, AddressChanged)},
			4000*ms + endpointLeaseTerm, polledMargin},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewEndpointLease(start, c.pollWithin)
			for _, step := range c.steps {
				step(&l)
			}
			if l.ValidUntil() != c.until || !l.Valid(c.until-1) || l.Valid(c.until) {
				t.Errorf("valid until %v, want %v", l.ValidUntil(), c.until)
			}
			breaks := c.until + c.margin
			if l.MayViolateDrainRule(breaks-1) || !l.MayViolateDrainRule(breaks) {
				t.Errorf("may break the rule on drains at another time than %v after the expiry", c.margin)
			}
		})
	}
}

func TestADisabledEndpointLeaseNeverExpires(t *testing.T) {
	var none EndpointLease
	if !none.Valid(math.MaxInt64) || none.Age(5*ms) != 0 || none.Enabled() {
		t.Error("a list on no lease expires")
	}
}

// Whenever discovery falls silent and a call fails, a list that is acted on was heard less than the
// notification time and the grace ago, less the margins.
func TestNoListIsActedOnThatMayBeOverruled(t *testing.T) {
	for silence := time.Duration(0); silence < 9000*ms; silence += 50 * ms {
		l := NewEndpointLease(0, 10_000*ms)
		l.Renew(3000 * ms)
		l.RecordLoss(3000*ms+silence/2, CallFailed)
		if l.Valid(3000*ms+silence) && silence >= 6000*ms+DrainGrace-300*ms-150*ms {
			t.Fatalf("valid %v after it was confirmed", silence)
		}
	}
}
