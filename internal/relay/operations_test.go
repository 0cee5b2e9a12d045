package relay

import (
	"slices"
	"testing"

	"capersail/decide"
)

// takeNotifiedStates takes the inbox and returns what the decision module was last notified of in it of each
// server.
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

// A server that is ejected manually drains to the decision module, whatever the list says, until it is
// restored; an attempt there writes nothing; and its established client is migrated.
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
		t.Errorf("notified of %v", m)
	}
	if attempting.BeginWrite(0) {
		t.Error("an attempt to a manually ejected server may write")
	}
	if migrating, _ := established.Migrating(); !migrating {
		t.Error("a client at a manually ejected server is not migrated")
	}
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a", "b", "c"))
	if m := takeNotifiedStates(table); m[0] != decide.Draining || m[1] != decide.Ready {
		t.Errorf("a new list undoes the ejection: %v", m)
	}
	if c := table.EndpointCounts(); c.Listed != 3 || c.EjectedManually != 1 {
		t.Errorf("counts %+v", c)
	}
	table.SetManualEjections(nil)
	if m := takeNotifiedStates(table); m[0] != decide.Ready || len(m) != 1 {
		t.Errorf("restored: notified of %v", m)
	}
	table.SetManualEjections(map[string]bool{"d": true}) // not listed yet: ejected from its first list on
	table.takeInbox()
	table.UpdateEndpoints(decide.Delta, readyEndpoints("d"))
	if m := takeNotifiedStates(table); m[3] != decide.Draining {
		t.Errorf("a server listed after its ejection: notified of %v", m)
	}
}

// The figures count each final answer once, by class.
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
		t.Errorf("counts %+v", got)
	}
	if n := table.OpenRequests(); n != 1 {
		t.Errorf("%d open requests", n)
	}
}

func TestADrainRejectsUntilItEnds(t *testing.T) {
	table, _ := newTestTable(decide.Settings{}, decide.ClassInfo{})
	table.SetDraining(true)
	if table.AcceptingClients() || !table.Draining() {
		t.Error("a drained relay accepts")
	}
	if r := open(table, 0); r.state != Ended || r.answer.Kind != Rejected {
		t.Errorf("in a drain a request is %v, %v", r.state, r.answer.Kind)
	}
	table.SetDraining(false)
	if !table.AcceptingClients() {
		t.Error("the drain's end is not followed")
	}
}
