package membership

import (
	"testing"

	"capersail/internal/testing/trace"
)

// traceAction takes an action down, with the share that its relay has at that moment. Times on a clock are
// left out, as their representation may change; that they are the same shows in when actions come.
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

// randomizeClockRates gives each relay's clock a rate drawn at random, and Ticks a moment of their own: of
// clocks that run at the very bounds many timers end at the moment of an event, and whether they have
// ended then is a matter of rounding.
func (w *simulatedFleet) randomizeClockRates() {
	w.tickLead = 9.7
	for _, n := range w.relays {
		n.clockRate = 1 + MaxClockDrift*(2*w.rng.Float64()-1)
	}
}

// Over drawn schedules of faults every relay does the same, in the same order and with the same random
// draws, as it did when testdata/trace.txt was written: a change that is meant to change no behaviour
// changes none.
func TestActionsAreThoseRecorded(t *testing.T) {
	var recording trace.Recording
	for seed := range uint64(120) {
		relays := 2 + int(seed%6)
		w := newSimulatedFleet(relays, min(relays, 5), seed)
		w.trace = trace.New()
		w.randomizeClockRates()
		w.injectFaults(min(relays, 5), seed, 16)
		recording.Add("flat", seed, w.trace)
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
