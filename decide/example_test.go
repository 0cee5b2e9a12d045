package decide_test

import (
	"fmt"
	"time"

	"capersail/decide"
)

// A relay with one server probes it first, and places the connection by the load that it reports.
func Example() {
	b := decide.New(decide.Settings{
		Relays: 1, Zones: 1, MaxAttempts: 2, Probes: true, Tick: time.Millisecond,
		Classes: []decide.ClassInfo{{LatencyObjective: 300 * time.Millisecond, Deadline: time.Second}},
	}, 7)
	now := time.Second
	events := []decide.Event{
		decide.WatchEvent{
			Kind: decide.Snapshot, Endpoints: []decide.Endpoint{{Server: 0, State: decide.Ready}},
		},
		decide.Request{ID: 1, Tenant: decide.NoTenant, TimeLeft: time.Second},
		decide.ProbeResult{
			Server: 0, Latency: 2 * time.Millisecond, Report: decide.LoadReport{Load: 0.4, InFlight: 9},
		},
	}
	for _, ev := range events {
		for _, act := range b.Handle(now, ev, nil) {
			switch a := act.(type) {
			case decide.Probe:
				fmt.Println("probe server", a.Server)
			case decide.Forward:
				fmt.Println("send request", a.ID, "to server", a.Server)
			}
		}
		now += 2 * time.Millisecond
	}
	// Output:
	// probe server 0
	// send request 1 to server 0
}
