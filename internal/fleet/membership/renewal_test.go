package membership

import (
	"testing"
	"time"
)

// runUntilLeaseExpires lets time pass and returns the first relay whose lease has expired at a member that held
// one before, and -1 if there is none.
func (w *simulatedFleet) runUntilLeaseExpires(ms float64, held map[int]bool) (relay int) {
	relay = -1
	for until := w.now + ms; w.now < until; {
		w.run(10)
		for i, n := range w.relays {
			valid := n.node.lease.valid(n.clock(w.now))
			if held[i] && !valid && relay < 0 {
				relay = i
			}
			held[i] = valid
		}
	}
	return relay
}

// A relay that adopts each view before the voters do keeps its lease while views follow each other sooner
// than renewals do. Guards against renewals that are lost because they reach voters that are a view behind.
func TestLeaseOutlastsQuickViewChanges(t *testing.T) {
	const (
		viewEvery = 900.0 // ms, less than RenewInterval
		changes   = 20
	)
	for seed := range uint64(20) {
		w := newSimulatedFleet(4, 4, seed)
		w.learnDelay = 40
		for i := range w.relays {
			w.start(i)
		}
		w.run(15000)
		held := map[int]bool{}
		for k := range changes {
			lifecycle := []Lifecycle{LifecycleDraining, LifecycleServing}[k%2]
			state := LocalState{Lifecycle: lifecycle, RequestRate: 10, EndpointListGeneration: 1}
			w.handle(3, state)
			if i := w.runUntilLeaseExpires(viewEvery, held); i >= 0 {
				t.Errorf("seed %d: the lease of %s has expired after %d changes", seed, relayName(i), k+1)
				break
			}
		}
		if w.highestEpoch < changes {
			t.Errorf("seed %d: %d views only", seed, w.highestEpoch)
		}
		if w.maxSum > 1 {
			t.Errorf("seed %d: the shares added up to %v", seed, w.maxSum)
		}
	}
}

// A voter that is behind answers a renewal once it holds the asker's view, as of when it was asked, and only
// of that view. Guards against renewals of a view that the voter does not hold.
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
					t.Errorf("answered %+v", send)
				}
			}
			if got != c.want {
				t.Errorf("%d renewals, want %d", got, c.want)
			}
		})
	}
}
