package relay

import (
	"slices"
	"testing"

	"capersail/decide"
)

// takeNotifiedStates empties the inbox and returns, for each server in its watch events, the last state that
// the decision module is notified of.
func takeNotifiedStates(table *RequestTable) map[decide.ServerID]decide.EndpointState {
	states := map[decide.ServerID]decide.EndpointState{}
	for _, ev := range table.takeInbox() {
		if w, ok := ev.(decide.WatchEvent); ok {
			for _, e := range w.Endpoints {
				states[e.Server] = e.State
			}
		}
	}
	return states
}

// The decision module sees a manually ejected server as draining until it is restored, whatever the endpoint
// list says. An attempt at that server may not write, and established clients are migrated.
func TestAManuallyEjectedServerDrains(t *testing.T) {
	table, _ := newTestTable(decide.Settings{}, decide.ClassInfo{})
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a", "b"))
	established := open(table, 0)
	startFirst(table, established, 0)
	establish(established)
	attempting := open(table, 0)
	startFirst(table, attempting, 0)
	attempting.Attach(0, &fakeSide{})

	table.takeInbox()
	table.SetManualEjections(map[string]bool{"a": true})
	if m := takeNotifiedStates(table); m[0] != decide.Draining || len(m) != 1 {
		t.Errorf("after the ejection: notified of %v, want only server 0, draining", m)
	}
	if attempting.BeginWrite(0) {
		t.Error("BeginWrite permitted an attempt at a manually ejected server, want it denied")
	}
	if migrating, _ := established.Migrating(); !migrating {
		t.Error("client at a manually ejected server is not migrating, want it migrated")
	}
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a", "b", "c"))
	if m := takeNotifiedStates(table); m[0] != decide.Draining || m[1] != decide.Ready {
		t.Errorf("after a new list: notified of %v, want server 0 draining and server 1 ready", m)
	}
	if c := table.EndpointCounts(); c.Listed != 3 || c.EjectedManually != 1 {
		t.Errorf("got counts %+v, want 3 listed and 1 ejected manually", c)
	}
	table.SetManualEjections(nil)
	if m := takeNotifiedStates(table); m[0] != decide.Ready || len(m) != 1 {
		t.Errorf("after the restoration: notified of %v, want only server 0, ready", m)
	}
	table.SetManualEjections(map[string]bool{"d": true}) // ejected before it is listed for the first time
	table.takeInbox()
	table.UpdateEndpoints(decide.Delta, readyEndpoints("d"))
	if m := takeNotifiedStates(table); m[3] != decide.Draining {
		t.Errorf("server listed after its ejection: notified of %v, want server 3 draining", m)
	}
}

// Each final answer is counted once, in the counters of its class.
func TestCountsOfFinalAnswers(t *testing.T) {
	table, _ := newTestTable(decide.Settings{}, decide.ClassInfo{}, decide.ClassInfo{})
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a"))
	established := open(table, 1)
	startFirst(table, established, 0)
	establish(established)
	rejected := open(table, 0)
	table.answer(rejected.ID, Answer{Kind: Rejected})
	table.answer(rejected.ID, Answer{Kind: Failed})
	table.RecordConnLimitRejection(0)
	failed := open(table, 0)
	table.answer(failed.ID, Answer{Kind: Failed})
	got := table.ClassCounts()
	want := []ClassCounts{{Rejected: 2, Failed: 1}, {Established: 1, Attempts: 1}}
	if !slices.Equal(got, want) {
		t.Errorf("got class counts %+v, want one rejection of each kind and one failure in class 0", got)
	}
	if n := table.OpenRequests(); n != 1 {
		t.Errorf("got %d open requests, want 1", n)
	}
}

func TestADrainRejectsUntilItEnds(t *testing.T) {
	table, _ := newTestTable(decide.Settings{}, decide.ClassInfo{})
	table.SetDraining(true)
	if table.AcceptingClients() || !table.Draining() {
		t.Error("relay accepts clients or is not draining after SetDraining(true)")
	}
	if r := open(table, 0); r.state != Ended || r.answer.Kind != Rejected {
		t.Errorf("request during a drain: state %v, answer %v; want ended, rejected", r.state, r.answer.Kind)
	}
	table.SetDraining(false)
	if !table.AcceptingClients() {
		t.Error("relay does not accept clients after SetDraining(false)")
	}
}
