package decide

import (
	"testing"
	"time"
)

func TestDiscoveryIsAskedForWithSpreadAndBackoff(t *testing.T) {
	set := settings()
	set.MustSubscribe = true
	starts := map[time.Duration]bool{}
	for me := range 10 {
		set.RelayIndex = me
		b := New(set, 1)
		timers := all[Timer](b.Handle(time.Minute, WatchEvent{Kind: Cached}, nil))
		if len(timers) != 1 || timers[0].After > set.Rules.PollWithin/2 {
			t.Fatalf("relay %d asks with %v", me, timers)
		}
		starts[timers[0].After] = true
		if got := all[Subscribe](b.Handle(time.Minute+timers[0].After, TimerFired{Token: timers[0].Token}, nil)); len(got) != 1 {
			t.Fatal("did not subscribe")
		}
		for range 8 {
			timers = all[Timer](b.Handle(2*time.Minute, WatchEvent{Kind: WatchFailed}, nil))
			if len(timers) != 1 || timers[0].After > 3*time.Second { // of the 6 s in which news has to come
				t.Fatalf("after a failed call: %v", timers)
			}
		}
	}
	if len(starts) < 8 {
		t.Errorf("ten relays ask at %d different times", len(starts))
	}
}

// What the relay itself finds out of its servers is no answer of discovery: the back-off after failed calls goes on.
func TestRevisedListIsNoAnswer(t *testing.T) {
	r := newRelay(t, settings(), 1, 2)
	for range 3 {
		r.do(WatchEvent{Kind: WatchFailed})
	}
	r.do(WatchEvent{Kind: LocalDelta, Endpoints: []Endpoint{{Server: 0, State: Draining}}})
	if r.b.polling.consecutivePollFailures != 3 {
		t.Errorf("%d failed calls are reckoned with, not 3", r.b.polling.consecutivePollFailures)
	}
	if r.b.endpoints.listedCount() != 1 {
		t.Errorf("%d backends may be given something, not 1", r.b.endpoints.listedCount())
	}
	r.do(WatchEvent{Kind: Delta})
	if r.b.polling.consecutivePollFailures != 0 {
		t.Errorf("%d failed calls are reckoned with after an answer", r.b.polling.consecutivePollFailures)
	}
}
