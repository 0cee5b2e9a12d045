package decide_test

import (
	"fmt"
	"time"

	"capersail/decide"
)

// A relay with one backend asks for its load first, and places the connection by the answer.
func Example() {
	b := decide.New(decide.Settings{
		Relays: 1, Zones: 1, MaxAttempts: 2, Probes: true, Tick: time.Millisecond,
		Classes: []decide.ClassInfo{{Aim: 300 * time.Millisecond, Deadline: time.Second}},
	}, 7)
	now := time.Second
	events := []decide.Event{
		decide.Members{Kind: decide.Whole, Entries: []decide.Entry{{Backend: 0, Mode: decide.Ready}}},
		decide.Request{ID: 1, Tenant: decide.NoTenant, Left: time.Second},
		decide.Probed{Backend: 0, Took: 2 * time.Millisecond, Report: decide.Report{Load: 0.4, Inflight: 9}},
	}
	for _, ev := range events {
		for _, act := range b.Handle(now, ev, nil) {
			switch a := act.(type) {
			case decide.Probe:
				fmt.Println("probe backend", a.Backend)
			case decide.Send:
				fmt.Println("send request", a.ID, "to backend", a.Backend)
			}
		}
		now += 2 * time.Millisecond
	}
	// Output:
	// probe backend 0
	// send request 1 to backend 0
}
