package decide

import (
	"testing"
	"time"
)

func TestDiscoveryIsPolledWithOffsetAndBackoff(t *testing.T) {
	set := settings()
	set.MustSubscribe = true
	starts := map[time.Duration]bool{}
	for me := range 10 {
		set.RelayIndex = me
		b := New(set, 1)
		timers := actionsOf[Timer](b.Handle(time.Minute, WatchEvent{Kind: CachedSnapshot}, nil))
		if len(timers) != 1 || timers[0].After > set.Rules.PollDeadline/2 {
			t.Fatalf("relay %d asks with %v", me, timers)
		}
		starts[timers[0].After] = true
		if got := actionsOf[Subscribe](b.Handle(time.Minute+timers[0].After, TimerFired{
			Token: timers[0].Token,
		}, nil)); len(got) != 1 {
			t.Fatal("did not subscribe")
		}
		for range 8 {
			timers = actionsOf[Timer](b.Handle(2*time.Minute, WatchEvent{Kind: WatchFailed}, nil))
			if len(timers) != 1 || timers[0].After > 3*time.Second { // of the 6 s in which news has to come
				t.Fatalf("after a failed call: %v", timers)
			}
		}
	}
	if len(starts) < 8 {
		t.Errorf("ten relays ask at %d different times", len(starts))
	}
}

// What the relay itself finds out of its servers is no answer of discovery: the backoff after failed calls
// goes on.
func TestLocalDeltaIsNoAnswerOfDiscovery(t *testing.T) {
	r := newRelay(t, settings(), 1, 2)
	for range 3 {
		r.do(WatchEvent{Kind: WatchFailed})
	}
	r.do(WatchEvent{Kind: LocalDelta, Endpoints: []Endpoint{{Server: 0, State: Draining}}})
	if r.b.polling.consecutivePollFailures != 3 {
		t.Errorf("%d failed calls are reckoned with, not 3", r.b.polling.consecutivePollFailures)
	}
	if r.b.endpoints.listedCount() != 1 {
		t.Errorf("%d servers may be given something, not 1", r.b.endpoints.listedCount())
	}
	r.do(WatchEvent{Kind: Delta})
	if r.b.polling.consecutivePollFailures != 0 {
		t.Errorf("%d failed calls are reckoned with after an answer", r.b.polling.consecutivePollFailures)
	}
}

// The turns of a fleet grow with it, up to a part of the time in which a relay has to poll.
func TestPollSpreadGrowsWithTheFleet(t *testing.T) {
	for relays, want := range map[int]time.Duration{
		1:   10 * time.Second / pollsPerPollDeadline,
		70:  5 * time.Second,
		300: 7500 * ms,
	} {
		p := &discoveryPolling{environment: testEnvironment(settings()), fleet: newFleetView(relays)}
		if got := p.pollSpread().Round(ms); got != want.Round(ms) {
			t.Errorf("%d relays: %v, want %v", relays, got, want)
		}
	}
}

func TestFirstPollIsMadeOnce(t *testing.T) {
	set := settings()
	set.MustSubscribe = true
	p := &discoveryPolling{environment: testEnvironment(set), fleet: newFleetView(10)}
	p.recordListEvent(CachedSnapshot)
	p.advanceFirstPoll()
	p.advanceFirstPoll()
	if n := len(actionsOf[Timer](p.actions)); n != 2 {
		t.Fatalf("%d timers, want one in turn and one before", n)
	}
	p.pollDiscovery(firstPollTimer)
	p.pollDiscovery(firstPollTimer)
	if n := len(actionsOf[Subscribe](p.actions)); n != 1 {
		t.Errorf("polled %d times", n)
	}
	p.pollDiscovery(0) // after a failure
	if n := len(actionsOf[Subscribe](p.actions)); n != 2 {
		t.Errorf("polled %d times after a failure", n)
	}
}

func TestFirstUsableListIsTheFirstWithAServer(t *testing.T) {
	set := settings()
	set.MustSubscribe = true
	p := &discoveryPolling{environment: testEnvironment(set), fleet: newFleetView(1)}
	for i, c := range []struct {
		listed       int
		first, await bool
	}{{0, false, true}, {3, true, false}, {3, false, false}, {0, false, false}} {
		if got := p.recordListedServers(c.listed); got != c.first || p.awaitsFirstList() != c.await {
			t.Errorf("list %d: first %v, awaited %v", i, got, p.awaitsFirstList())
		}
	}
}
