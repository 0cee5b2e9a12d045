package relay

import (
	"testing"

	"capersail/decide"
)

// modes finds what the module was last told of each server, from what the exchange posted.
func told(x *Exchange) map[decide.Backend]decide.Mode {
	out := map[decide.Backend]decide.Mode{}
	for _, ev := range x.inbox {
		if m, ok := ev.(decide.Members); ok {
			for _, e := range m.Entries {
				out[e.Backend] = e.Mode
			}
		}
	}
	return out
}

// A server out by hand drains to the module, whatever the list says, until it is called back; an attempt there
// writes nothing; and its open connection is moved.
func TestBan(t *testing.T) {
	clock, wire := NewSetClock(), &side{}
	x := NewExchange(&Site{Settings: decide.Settings{Classes: []decide.ClassInfo{{}}}}, clock, wire)
	x.Members(decide.Whole, []Listed{{ID: "a", Mode: decide.Ready}, {ID: "b", Mode: decide.Ready}})
	up, client := x.Open(Ask{Left: 1000}, &side{}), &side{}
	x.send(up.ID, 0, 0, nil)
	up.Attach(0, client)
	up.Begin(0)
	up.Up(0)
	held := x.Open(Ask{Left: 1000}, &side{})
	x.send(held.ID, 0, 0, nil)
	held.Attach(0, &side{})

	x.inbox = nil
	x.Ban(map[string]bool{"a": true})
	if m := told(x); m[0] != decide.Draining || len(m) != 1 {
		t.Errorf("told %v", m)
	}
	if held.Begin(0) {
		t.Error("an attempt to a server out by hand may write")
	}
	if moving, _ := up.Moving(); !moving {
		t.Error("a connection at a server out by hand is not moved")
	}
	x.inbox = nil
	x.Members(decide.Whole, []Listed{{ID: "a", Mode: decide.Ready}, {ID: "b", Mode: decide.Ready}, {ID: "c", Mode: decide.Ready}})
	if m := told(x); m[0] != decide.Draining || m[1] != decide.Ready {
		t.Errorf("a new list undoes the ban: %v", m)
	}
	if c := x.Cluster(); c.Listed != 3 || c.Banned != 1 {
		t.Errorf("cluster %+v", c)
	}
	x.inbox = nil
	x.Ban(nil)
	if m := told(x); m[0] != decide.Ready || len(m) != 1 {
		t.Errorf("called back: told %v", m)
	}
	x.Ban(map[string]bool{"d": true}) // not listed yet: out from its first list on
	x.inbox = nil
	x.Members(decide.Delta, []Listed{{ID: "d", Mode: decide.Ready}})
	if m := told(x); m[3] != decide.Draining {
		t.Errorf("a server listed after its ban: told %v", m)
	}
}

// The figures count each final answer once, by class.
func TestCounts(t *testing.T) {
	clock, wire := NewSetClock(), &side{}
	x := NewExchange(&Site{Settings: decide.Settings{Classes: []decide.ClassInfo{{}, {}}}}, clock, wire)
	x.Members(decide.Whole, []Listed{{ID: "a", Mode: decide.Ready}})
	a := x.Open(Ask{Class: 1, Left: 1000}, &side{})
	x.send(a.ID, 0, 0, nil)
	a.Attach(0, &side{})
	a.Begin(0)
	a.Up(0)
	b := x.Open(Ask{Left: 1000}, &side{})
	x.finish(b.ID, Answer{Kind: Refused})
	x.finish(b.ID, Answer{Kind: Failed})
	x.TurnedAway(0)
	c := x.Open(Ask{Left: 1000}, &side{})
	x.finish(c.ID, Answer{Kind: Failed})
	got := x.Counts()
	if got[0] != (Counts{Deferred: 2, Errored: 1}) || got[1] != (Counts{Answered: 1, Sends: 1}) {
		t.Errorf("counts %+v", got)
	}
	if n := x.Current(); n != 1 {
		t.Errorf("current %d", n)
	}
	x.SetDraining(true)
	if x.Accepting() || !x.Draining() {
		t.Error("a drain by hand accepts")
	}
	if d := x.Open(Ask{Left: 1000}, &side{}); d.state != Ended || d.answer.Kind != Refused {
		t.Errorf("in a drain a request is %v, %v", d.state, d.answer.Kind)
	}
	x.SetDraining(false)
	if !x.Accepting() {
		t.Error("the drain's end is not followed")
	}
}
