package membership

import (
	"testing"

	"capersail/internal/testing/trace"
)

// traceAction records an action in the trace, with the share that its relay holds at that moment. Times are
// left out, as their representation may change; a changed time shows in when actions are emitted.
func traceAction(t *trace.Trace, relay int, share float64, a Action) {
	t.Action(relay, share)
	switch a := a.(type) {
	case SaveRecord:
		r := a.Record
		t.Put("save", r.Incarnation, r.SlotReleased, r.PromisedBallot, r.AcceptedBallot,
			viewHash(r.AcceptedView), viewHash(r.View))
	case SendMessage:
		t.Put("send", a.To, uint8(a.Kind), a.Epoch, a.Message.ToIncarnation, a.Ballot, a.AcceptedBallot,
			viewHash(a.View),
			a.Unavailable, a.FromIncarnation, a.BootstrapSlot, a.Plan)
	case PublishStatus:
		s := a.Status
		t.Put("publish", s.Version, s.Incarnation, uint8(s.Lifecycle), s.Zone, s.RequestRate,
			s.OpenConnections,
			s.EndpointListGeneration, s.Epoch, s.ViewHash)
		t.Put(s.BootstrapSize, s.BootstrapSlot, s.SlotReleased, s.Seq, s.DrainRate, s.ActivatedPlan)
	case StateChanged:
		t.Put("changed", uint8(a.Kind), a.Name)
	case RefreshEndpointList:
		t.Put("refresh", a.Generation)
	}
}

func viewHash(v *View) uint64 {
	if v == nil {
		return 0
	}
	return v.Hash()
}

// randomizeClockRates gives each relay's clock a random rate, and sets a lead time of Ticks that is not a
// multiple of the time step. With clocks that run exactly at the bounds, many timers end at the time of an
// event, and rounding decides whether they have ended.
func (sim *simulatedFleet) randomizeClockRates() {
	sim.tickLead = 9.7
	for _, n := range sim.relays {
		n.clockRate = 1 + MaxClockDrift*(2*sim.rng.Float64()-1)
	}
}

// In random schedules of faults, every relay does the same in the same order and with the same random draws
// as when testdata/trace.txt was recorded. Guards against a refactoring that changes behaviour.
func TestActionsAreThoseRecorded(t *testing.T) {
	var recording trace.Recording
	for seed := range uint64(120) {
		relays := 2 + int(seed%6)
		sim := newSimulatedFleet(relays, min(relays, 5), seed)
		sim.trace = trace.New()
		sim.randomizeClockRates()
		sim.injectFaults(min(relays, 5), seed, 16)
		recording.Add("flat", seed, sim.trace)
	}
	for seed := range uint64(24) {
		f := newFederation(seed, nil)
		f.trace = trace.New()
		regions := 1 + int(seed%2)
		f.bootstrapAndInjectFaults(regions, regions*(1+int(seed/2%2)), 3, seed%3 == 0, 16)
		recording.Add("cells", seed, f.trace)
	}
	recording.Compare(t)
}
