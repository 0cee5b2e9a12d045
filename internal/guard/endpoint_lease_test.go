package guard

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// leaseSteps are the calls that a test makes on a lease.
type leaseSteps []func(*EndpointLease)

// renewal renews a lease at each of the instants.
func renewal(at ...time.Duration) func(*EndpointLease) {
	return func(l *EndpointLease) {
		for _, t := range at {
			l.Renew(t)
		}
	}
}

// loss records a loss of contact with discovery.
func loss(at time.Duration, kind DiscoveryLoss) func(*EndpointLease) {
	return func(l *EndpointLease) { l.RecordLoss(at, kind) }
}

func TestEndpointLeaseExpiry(t *testing.T) {
	const start, poll, pushed = 1000 * ms, 10_000 * ms, 0
	const polledMargin = violationMargin
	const watchEndedMargin = DrainGrace - watchEndedTerm
	const addressChangedMargin = 4000*ms + DrainGrace - addressChangedTerm
	for _, c := range []struct {
		name       string
		pollWithin time.Duration
		steps      leaseSteps
		until      time.Duration
		margin     time.Duration // from the expiry until the drain rule may be violated
	}{
		{"not polled yet", poll, nil, start, polledMargin},
		{"pushed, silent from the start", pushed, nil, start, polledMargin},
		{"first call failed", poll, leaseSteps{loss(2000*ms, CallFailed)}, start, polledMargin},
		{"first call was refused", poll, leaseSteps{loss(2000*ms, ConnectionRefused)},
			2000*ms + endpointLeaseTerm, polledMargin},
		{"on a watch", poll, leaseSteps{renewal(2000*ms, 4000*ms)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"the watch ended", poll, leaseSteps{renewal(2000*ms, 4000*ms), loss(5000*ms, CallFailed)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"discovery went down", poll, leaseSteps{renewal(2000 * ms), loss(5000*ms, ConnectionRefused)},
			5000*ms + endpointLeaseTerm, polledMargin},
		{"discovery was heard again", poll,
			leaseSteps{renewal(2000 * ms), loss(5000*ms, ConnectionRefused), renewal(9000 * ms)},
			9000*ms + endpointLeaseTerm, polledMargin},
		{"settings shorten the term without a watch", 1000 * ms,
			leaseSteps{renewal(2000 * ms), loss(2500*ms, CallFailed)},
			2000*ms + failedCallFactor*1000*ms, polledMargin},
		{"pushed, on a watch", pushed, leaseSteps{renewal(2000*ms, 4000*ms)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"pushed, fallen silent", pushed,
			leaseSteps{renewal(4000 * ms), loss(7000*ms, WatchSilent), loss(9000*ms, CallFailed)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"pushed, the watch ended", pushed,
			leaseSteps{renewal(4000 * ms), loss(5000*ms, CallFailed), loss(5100*ms, CallFailed)},
			5000*ms + watchEndedTerm, watchEndedMargin},
		{"pushed, the watch was opened again", pushed,
			leaseSteps{renewal(4000 * ms), loss(5000*ms, CallFailed), renewal(5100 * ms)},
			5100*ms + endpointLeaseTerm, polledMargin},
		{"pushed, the agent is down", pushed,
			leaseSteps{renewal(4000 * ms), loss(5000*ms, CallFailed), loss(9000*ms, ConnectionRefused)},
			9000*ms + watchEndedTerm, watchEndedMargin},
		{"pushed, the agent was down and hangs", pushed,
			leaseSteps{renewal(4000 * ms), loss(5000*ms, ConnectionRefused), loss(9000*ms, CallFailed)},
			5000*ms + watchEndedTerm, watchEndedMargin},
		{"pushed, another agent", pushed,
			leaseSteps{renewal(4000 * ms), loss(5000*ms, AddressChanged), loss(6000*ms, AddressChanged)},
			5000*ms + addressChangedTerm, addressChangedMargin},
		{"pushed, another agent late in the silence", pushed,
			leaseSteps{renewal(4000 * ms), loss(8000*ms, AddressChanged)},
			4000*ms + endpointLeaseTerm, polledMargin},
		{"pushed, another agent after the watch had ended", pushed,
			leaseSteps{renewal(4000 * ms), loss(5000*ms, CallFailed), loss(5050*ms, AddressChanged)},
			5000*ms + watchEndedTerm, watchEndedMargin},
		{"polled, another address", poll, leaseSteps{renewal(4000 * ms), loss(5000*ms, AddressChanged)},
			4000*ms + endpointLeaseTerm, polledMargin},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewEndpointLease(start, c.pollWithin)
			for _, step := range c.steps {
				step(&l)
			}
			if l.ValidUntil() != c.until || !l.Valid(c.until-1) || l.Valid(c.until) {
				t.Errorf("lease is valid until %v, want %v", l.ValidUntil(), c.until)
			}
			violatesFrom := c.until + c.margin
			if l.MayViolateDrainRule(violatesFrom-1) || !l.MayViolateDrainRule(violatesFrom) {
				t.Errorf("drain rule may be violated at another time than %v after the expiry", c.margin)
			}
		})
	}
}

func TestADisabledEndpointLeaseNeverExpires(t *testing.T) {
	var disabled EndpointLease
	if !disabled.Valid(math.MaxInt64) || disabled.Age(5*ms) != 0 || disabled.Enabled() {
		t.Error("the zero EndpointLease expires, has an age, or is enabled; want none of these")
	}
}

// A relay that stops hearing from discovery must not use its list any more once it may count as notified of a
// change that it missed: the lease ends before the notification time plus DrainGrace, less the delays that
// endpointLeaseTerm allows for. The failed call may come at any moment of the silence.
func TestLeaseExpiresBeforeAMissedChangeMustBeKnown(t *testing.T) {
	for silence := time.Duration(0); silence < 9000*ms; silence += 50 * ms {
		l := NewEndpointLease(0, 10_000*ms)
		l.Renew(3000 * ms)
		l.RecordLoss(3000*ms+silence/2, CallFailed)
		if l.Valid(3000*ms+silence) && silence >= 6000*ms+DrainGrace-300*ms-150*ms {
			t.Fatalf("lease is still valid %v after its last renewal, want it to expire earlier", silence)
		}
	}
}
