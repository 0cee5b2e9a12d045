package decide

import (
	"testing"
	"time"
)

func TestDiscoveryIsPolledWithOffsetAndBackoff(t *testing.T) {
	set := settings()
	set.MustSubscribe = true
	firstPollDelays := map[time.Duration]bool{}
	for me := range 10 {
		set.RelayIndex = me
		b := New(set, 1)
		timers := actionsOf[Timer](b.Handle(time.Minute, WatchEvent{Kind: CachedSnapshot}, nil))
		if len(timers) != 1 || timers[0].After > set.Rules.PollDeadline/2 {
			t.Fatalf("relay %d: timers %v after a cached list, want one within half of the poll deadline",
				me, timers)
		}
		firstPollDelays[timers[0].After] = true
		if got := actionsOf[Subscribe](b.Handle(time.Minute+timers[0].After, TimerFired{
			Token: timers[0].Token,
		}, nil)); len(got) != 1 {
			t.Fatal("the first poll timer did not cause exactly one Subscribe")
		}
		for range 8 {
			timers = actionsOf[Timer](b.Handle(2*time.Minute, WatchEvent{Kind: WatchFailed}, nil))
			// 3 s is half of the 6 s in which watch events have to come.
			if len(timers) != 1 || timers[0].After > 3*time.Second {
				t.Fatalf("timers after a failed poll: %v, want one of at most 3 s", timers)
			}
		}
	}
	if len(firstPollDelays) < 8 {
		t.Errorf("ten relays send their first poll at %d different times, want at least 8",
			len(firstPollDelays))
	}
}

// Changes that the relay itself detects are no answer of discovery: they do not reset the backoff after
// failed polls.
func TestLocalDeltaIsNoAnswerOfDiscovery(t *testing.T) {
	r := newRelay(t, settings(), 1, 2)
	for range 3 {
		r.handle(WatchEvent{Kind: WatchFailed})
	}
	r.handle(WatchEvent{Kind: LocalDelta, Endpoints: []Endpoint{{Server: 0, State: Draining}}})
	if r.b.polling.consecutivePollFailures != 3 {
		t.Errorf("%d consecutive poll failures after a local delta, want 3",
			r.b.polling.consecutivePollFailures)
	}
	if r.b.endpoints.listedCount() != 1 {
		t.Errorf("%d servers are listed after a local delta, want 1", r.b.endpoints.listedCount())
	}
	r.handle(WatchEvent{Kind: Delta})
	if r.b.polling.consecutivePollFailures != 0 {
		t.Errorf("%d consecutive poll failures after a list from discovery, want 0",
			r.b.polling.consecutivePollFailures)
	}
}

// The time over which polls are spread grows with the fleet, up to 3/4 of the poll deadline.
func TestPollSpreadGrowsWithTheFleet(t *testing.T) {
	for relays, want := range map[int]time.Duration{
		1:   10 * time.Second / pollsPerPollDeadline,
		70:  5 * time.Second,
		300: 7500 * ms,
	} {
		p := &discoveryPolling{environment: testEnvironment(settings()), fleet: newFleetView(relays)}
		if got := p.pollSpread().Round(ms); got != want.Round(ms) {
			t.Errorf("%d relays: polls spread over %v, want %v", relays, got, want)
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
		t.Fatalf("%d timers, want one for the scheduled poll and one for the advanced poll", n)
	}
	p.pollDiscovery(firstPollTimer)
	p.pollDiscovery(firstPollTimer)
	if n := len(actionsOf[Subscribe](p.actions)); n != 1 {
		t.Errorf("%d polls after two timers of the first poll, want 1", n)
	}
	p.pollDiscovery(0) // after a failure
	if n := len(actionsOf[Subscribe](p.actions)); n != 2 {
		t.Errorf("%d polls after a failure, want 2", n)
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
			t.Errorf("list %d: first usable list %v, list awaited %v, other than in the table",
				i, got, p.awaitsFirstList())
		}
	}
}
