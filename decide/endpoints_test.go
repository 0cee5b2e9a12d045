package decide

import (
	"testing"
	"time"
)

func TestDrainingAndGoneGetNothingNew(t *testing.T) {
	for _, mode := range []EndpointState{Draining, Removed} {
		r := newRelay(t, settings(), 5, 3)
		loads := map[ServerID]float64{0: 0.1, 1: 0.6, 2: 0.6}
		r.place(ask(1), loads)
		r.do(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 0, State: mode}}})
		for id := RequestID(2); id < 30; id++ {
			if got := r.pass(100*ms).place(ask(id), loads); got == 0 {
				t.Fatalf("mode %d: request %d went to it", mode, id)
			}
		}
	}
	r := newRelay(t, settings(), 5, 3)
	r.do(WatchEvent{Kind: Snapshot, Endpoints: []Endpoint{{Server: 1, State: Ready}}})
	for id := RequestID(1); id < 10; id++ {
		if got := r.pass(time.Second).place(ask(id), map[ServerID]float64{1: 0.3}); got != 1 {
			t.Fatalf("left out of a whole list is gone, yet %d was chosen", got)
		}
	}
}
