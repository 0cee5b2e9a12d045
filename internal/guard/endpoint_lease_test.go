package guard

import (
	"math"
	"testing"
)

func TestListLease(t *testing.T) {
	const start, ask = 1000.0, 10_000.0
	heard := func(at ...float64) func(*EndpointLease) {
		return func(l *EndpointLease) {
			for _, t := range at {
				l.Renew(t)
			}
		}
	}
	lost := func(at float64, why DiscoveryLoss) func(*EndpointLease) {
		return func(l *EndpointLease) { l.RecordLoss(at, why) }
	}
	for _, c := range []struct {
		name  string
		ask   float64
		steps []func(*EndpointLease)
		until float64
	}{
		{"not asked yet", ask, nil, start},
		{"pushed, silent from the start", 0, nil, start},
		{"first call failed", ask, []func(*EndpointLease){lost(2000, CallFailed)}, start},
		{"first call refused", ask, []func(*EndpointLease){lost(2000, ConnectionRefused)}, 2000 + endpointLeaseTerm},
		{"on a watch", ask, []func(*EndpointLease){heard(2000, 4000)}, 4000 + endpointLeaseTerm},
		{"the watch ended", ask, []func(*EndpointLease){heard(2000, 4000), lost(5000, CallFailed)}, 4000 + endpointLeaseTerm},
		{"down since", ask, []func(*EndpointLease){heard(2000), lost(5000, ConnectionRefused)}, 5000 + endpointLeaseTerm},
		{"heard again", ask, []func(*EndpointLease){heard(2000), lost(5000, ConnectionRefused), heard(9000)}, 9000 + endpointLeaseTerm},
		{"settings give less without a watch", 1000, []func(*EndpointLease){heard(2000), lost(2500, CallFailed)}, 2000 + failedCallFactor*1000},
		{"pushed, on a watch", 0, []func(*EndpointLease){heard(2000, 4000)}, 4000 + endpointLeaseTerm},
		{"pushed, fallen silent", 0, []func(*EndpointLease){heard(4000), lost(7000, WatchSilent), lost(9000, CallFailed)}, 4000 + endpointLeaseTerm},
		{"pushed, the watch ended", 0, []func(*EndpointLease){heard(4000), lost(5000, CallFailed), lost(5100, CallFailed)}, 5000 + watchEndedTerm},
		{"pushed, and was opened again", 0, []func(*EndpointLease){heard(4000), lost(5000, CallFailed), heard(5100)}, 5100 + endpointLeaseTerm},
		{"pushed, and the agent is down", 0, []func(*EndpointLease){heard(4000), lost(5000, CallFailed), lost(9000, ConnectionRefused)}, 9000 + watchEndedTerm},
		{"pushed, the agent was down and hangs", 0, []func(*EndpointLease){heard(4000), lost(5000, ConnectionRefused), lost(9000, CallFailed)}, 5000 + watchEndedTerm},
		{"pushed, another agent", 0, []func(*EndpointLease){heard(4000), lost(5000, AddressChanged), lost(6000, AddressChanged)}, 5000 + addressChangedTerm},
		{"pushed, another agent late in the silence", 0, []func(*EndpointLease){heard(4000), lost(8000, AddressChanged)}, 4000 + endpointLeaseTerm},
		{"pushed, another agent after the watch had ended", 0, []func(*EndpointLease){heard(4000), lost(5000, CallFailed), lost(5050, AddressChanged)}, 5000 + watchEndedTerm},
		{"asked for, another address", ask, []func(*EndpointLease){heard(4000), lost(5000, AddressChanged)}, 4000 + endpointLeaseTerm},
	} {
		l := NewEndpointLease(start, c.ask)
		for _, step := range c.steps {
			step(&l)
		}
		if l.ValidUntil() != c.until || !l.Valid(c.until-1) || l.Valid(c.until) {
			t.Errorf("%s: until %v, want %v", c.name, l.ValidUntil(), c.until)
		}
		late := violationMargin
		switch c.until {
		case 5000 + watchEndedTerm, 9000 + watchEndedTerm:
			late = DrainGrace - watchEndedTerm
		case 5000 + addressChangedTerm:
			late = 4000 + DrainGrace - addressChangedTerm
		}
		if l.MayBreakDrainRule(c.until+late-1) || !l.MayBreakDrainRule(c.until+late) {
			t.Errorf("%s: overdue at another time than %v after the end", c.name, late)
		}
	}
	var none EndpointLease
	if !none.Valid(math.MaxFloat64) || none.Age(5) != 0 {
		t.Error("a list on no lease lapses")
	}
}

// However words and times fall, a list that is acted on was heard less than told time and grace ago, less the margins.
func TestNoListIsActedOnThatMayBeOverruled(t *testing.T) {
	for silence := 0.0; silence < 9000; silence += 50 {
		l := NewEndpointLease(0, 10_000)
		l.Renew(3000)
		l.RecordLoss(3000+silence/2, CallFailed)
		if now := 3000 + silence; l.Valid(now) && silence >= 6000+DrainGrace-300-150 {
			t.Fatalf("valid %v ms after it was confirmed", silence)
		}
	}
}
