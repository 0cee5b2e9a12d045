package membership

import (
	"testing"
	"time"
)

// runAndFindExpiredLease advances the time. It returns the first relay whose lease expires although held says
// that the relay had one, or -1 if there is none, and keeps held up to date.
func (sim *simulatedFleet) runAndFindExpiredLease(ms float64, held map[int]bool) (relay int) {
	relay = -1
	for until := sim.now + ms; sim.now < until; {
		sim.run(10)
		for i, n := range sim.relays {
			valid := n.node.lease.valid(n.clock(sim.now))
			if held[i] && !valid && relay < 0 {
				relay = i
			}
			held[i] = valid
		}
	}
	return relay
}

// A relay that adopts each view before the voters do must keep its lease when views follow each other faster
// than renewals. Guards against renewals that are lost because they reach voters that hold the view before.
func TestLeaseOutlastsQuickViewChanges(t *testing.T) {
	const (
		viewEvery = 900.0 // ms, less than RenewInterval
		changes   = 20
	)
	for seed := range uint64(20) {
		sim := newSimulatedFleet(4, 4, seed)
		sim.learnDelay = 40
		for i := range sim.relays {
			sim.start(i)
		}
		sim.run(15000)
		held := map[int]bool{}
		for k := range changes {
			lifecycle := []Lifecycle{LifecycleDraining, LifecycleServing}[k%2]
			state := LocalState{Lifecycle: lifecycle, RequestRate: 10, EndpointListGeneration: 1}
			sim.handle(3, state)
			if i := sim.runAndFindExpiredLease(viewEvery, held); i >= 0 {
				t.Errorf("seed %d: the lease of %s has expired after %d changes of the view, want it kept",
					seed, relayName(i), k+1)
				break
			}
		}
		if sim.highestEpoch < changes {
			t.Errorf("seed %d: got %d views, want 20 at least", seed, sim.highestEpoch)
		}
		if sim.maxSum > 1 {
			t.Errorf("seed %d: the shares added up to %v, want 1 at most", seed, sim.maxSum)
		}
	}
}

// A voter that gets a renewal request for a view that it does not hold yet answers when it adopts just that
// view, and repeats the time at which the request was sent. Guards against renewals by a voter that does not
// hold the view.
func TestVoterAnswersRenewalOnceItHoldsTheView(t *testing.T) {
	view := func(epoch uint64) *View {
		entries := []ViewEntry{{Name: "a", IsMember: true}, {Name: "b", IsMember: true}}
		return &View{Epoch: epoch, BootstrapSize: 2, Entries: entries, Voters: []string{"a", "b"}}
	}
	for what, c := range map[string]struct {
		asked, adopted uint64 // epochs
		want           int
	}{
		"the view adopted":          {asked: 3, adopted: 3, want: 1},
		"a view that was skipped":   {asked: 2, adopted: 3, want: 0},
		"a view still not held":     {asked: 4, adopted: 3, want: 0},
		"no view is adopted at all": {asked: 3, adopted: 1, want: 0},
	} {
		t.Run(what, func(t *testing.T) {
			n := New(0, Config{Name: "b", BootstrapSize: 2}, Record{SlotReleased: true, View: view(1)})
			n.Start(0, nil)
			ask := Message{Kind: RenewLease, Epoch: c.asked, SentAtMillis: 7, FromIncarnation: 1}
			learn := Message{Kind: Learn, View: view(c.adopted), FromIncarnation: 1}
			actions := n.Handle(time.Millisecond, MessageReceived{"a", ask}, nil)
			actions = n.Handle(2*time.Millisecond, MessageReceived{"a", learn}, actions)
			got := 0
			for _, action := range actions {
				send, ok := action.(SendMessage)
				if !ok || send.Kind != LeaseRenewed {
					continue
				}
				got++
				if send.To != "a" || send.SentAtMillis != 7 || send.Epoch != c.adopted {
					t.Errorf("got the answer %+v, want one to a, with its time 7 and the adopted epoch", send)
				}
			}
			if got != c.want {
				t.Errorf("got %d renewals, want %d", got, c.want)
			}
		})
	}
}
