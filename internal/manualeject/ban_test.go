package manualeject

import (
	"errors"
	"slices"
	"testing"
	"testing/quick"
)

func TestCalls(t *testing.T) {
	var b Ejections
	if _, err := b.Eject(0, "s9", false); !errors.Is(err, ErrNeverListed) {
		t.Errorf("a ban on an id never listed: %v", err)
	}
	if _, err := b.Readmit("s9", false); !errors.Is(err, ErrNeverListed) {
		t.Errorf("a call back of an id never listed: %v", err)
	}
	if changed, err := b.Eject(10, "s1", true); !changed || err != nil {
		t.Errorf("down: %v, %v", changed, err)
	}
	if changed, err := b.Eject(20, "s1", true); changed || err != nil {
		t.Errorf("down again: %v, %v", changed, err)
	}
	if since, ok := b.EjectedFor(50, "s1"); !ok || since != 40 {
		t.Errorf("out for %v ms, %v; the first call counts", since, ok)
	}
	if changed, err := b.Readmit("s1", false); !changed || err != nil { // whatever the list says now: one call back ends it
		t.Errorf("up of a server that has left the list: %v, %v", changed, err)
	}
	if changed, err := b.Readmit("s1", true); changed || err != nil {
		t.Errorf("up again: %v, %v", changed, err)
	}
	if len(b.Set()) != 0 {
		t.Errorf("left out: %v", b.Set())
	}
}

func TestTake(t *testing.T) {
	var b Ejections
	if b.Replace(0, nil) {
		t.Error("nothing kept changes nothing")
	}
	if !b.Replace(5, []string{"a", "b"}) || !slices.Equal(b.IDs(), []string{"a", "b"}) {
		t.Errorf("taken: %v", b.IDs())
	}
	if b.Replace(9, []string{"b", "a"}) {
		t.Error("the same bans in another order change nothing")
	}
	if !b.Replace(12, []string{"b"}) || !slices.Equal(b.IDs(), []string{"b"}) {
		t.Errorf("taken: %v", b.IDs())
	}
	if since, _ := b.EjectedFor(20, "b"); since != 15 {
		t.Errorf("a ban that stands lost its time: %v", since)
	}
	if !b.Replace(30, []string{"c"}) || !slices.Equal(b.IDs(), []string{"c"}) {
		t.Errorf("as many, but others: %v", b.IDs())
	}
}

// Every id is one plain file name, and comes back from it.
func TestNames(t *testing.T) {
	if err := quick.Check(func(id string) bool {
		name := FileName(id)
		back, ok := IDFromFileName(name)
		for _, r := range name {
			if r == '/' || r == 0 {
				return false
			}
		}
		return ok && back == id && len(name) <= 4+2*len(id)
	}, nil); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"", "out", "out-zz", "tmp-00", ".out-00"} {
		if _, ok := IDFromFileName(name); ok {
			t.Errorf("%q is taken for a ban", name)
		}
	}
}
