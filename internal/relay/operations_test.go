package relay

import (
	"testing"

	"capersail/decide"
)

// modes finds what the module was last told of each server, from what the exchange posted.
func told(x *RequestTable) map[decide.ServerID]decide.EndpointState {
	out := map[decide.ServerID]decide.EndpointState{}
	for _, ev := range x.inbox {
		if m, ok := ev.(decide.WatchEvent); ok {
			for _, e := range m.Endpoints {
				out[e.Server] = e.State
			}
		}
	}
	return out
}

// A server out by hand drains to the module, whatever the list says, until it is called back; an attempt there
// writes nothing; and its open connection is moved.
func TestBan(t *testing.T) {
	clock, wire := NewManualClock(), &side{}
	x := NewRequestTable(&Deployment{Settings: decide.Settings{Classes: []decide.ClassInfo{{}}}}, clock, wire)
	x.UpdateEndpoints(decide.Snapshot, []Endpoint{{ID: "a", Mode: decide.Ready}, {ID: "b", Mode: decide.Ready}})
	up, client := x.Open(OpenRequest{Timeout: 1000}, &side{}), &side{}
	x.startAttempt(up.ID, 0, 0, nil)
	up.Attach(0, client)
	up.BeginWrite(0)
	up.Establish(0)
	held := x.Open(OpenRequest{Timeout: 1000}, &side{})
	x.startAttempt(held.ID, 0, 0, nil)
	held.Attach(0, &side{})

	x.inbox = nil
	x.SetManualEjections(map[string]bool{"a": true})
	if m := told(x); m[0] != decide.Draining || len(m) != 1 {
		t.Errorf("told %v", m)
	}
	if held.BeginWrite(0) {
		t.Error("an attempt to a server out by hand may write")
	}
	if moving, _ := up.Migrating(); !moving {
		t.Error("a connection at a server out by hand is not moved")
	}
	x.inbox = nil
	x.UpdateEndpoints(decide.Snapshot, []Endpoint{{ID: "a", Mode: decide.Ready}, {ID: "b", Mode: decide.Ready}, {ID: "c", Mode: decide.Ready}})
	if m := told(x); m[0] != decide.Draining || m[1] != decide.Ready {
		t.Errorf("a new list undoes the ban: %v", m)
	}
	if c := x.EndpointCounts(); c.Listed != 3 || c.EjectedManually != 1 {
		t.Errorf("cluster %+v", c)
	}
	x.inbox = nil
	x.SetManualEjections(nil)
	if m := told(x); m[0] != decide.Ready || len(m) != 1 {
		t.Errorf("called back: told %v", m)
	}
	x.SetManualEjections(map[string]bool{"d": true}) // not listed yet: out from its first list on
	x.inbox = nil
	x.UpdateEndpoints(decide.Delta, []Endpoint{{ID: "d", Mode: decide.Ready}})
	if m := told(x); m[3] != decide.Draining {
		t.Errorf("a server listed after its ban: told %v", m)
	}
}

// The figures count each final answer once, by class.
func TestCounts(t *testing.T) {
	clock, wire := NewManualClock(), &side{}
	x := NewRequestTable(&Deployment{Settings: decide.Settings{Classes: []decide.ClassInfo{{}, {}}}}, clock, wire)
	x.UpdateEndpoints(decide.Snapshot, []Endpoint{{ID: "a", Mode: decide.Ready}})
	a := x.Open(OpenRequest{Class: 1, Timeout: 1000}, &side{})
	x.startAttempt(a.ID, 0, 0, nil)
	a.Attach(0, &side{})
	a.BeginWrite(0)
	a.Establish(0)
	b := x.Open(OpenRequest{Timeout: 1000}, &side{})
	x.answer(b.ID, Answer{Kind: Rejected})
	x.answer(b.ID, Answer{Kind: Failed})
	x.RecordConnLimitRejection(0)
	c := x.Open(OpenRequest{Timeout: 1000}, &side{})
	x.answer(c.ID, Answer{Kind: Failed})
	got := x.ClassCounts()
	if got[0] != (ClassCounts{Rejected: 2, Failed: 1}) || got[1] != (ClassCounts{Established: 1, Attempts: 1}) {
		t.Errorf("counts %+v", got)
	}
	if n := x.OpenRequests(); n != 1 {
		t.Errorf("current %d", n)
	}
	x.SetDraining(true)
	if x.Accepting() || !x.Draining() {
		t.Error("a drain by hand accepts")
	}
	if d := x.Open(OpenRequest{Timeout: 1000}, &side{}); d.state != Ended || d.answer.Kind != Rejected {
		t.Errorf("in a drain a request is %v, %v", d.state, d.answer.Kind)
	}
	x.SetDraining(false)
	if !x.Accepting() {
		t.Error("the drain's end is not followed")
	}
}
