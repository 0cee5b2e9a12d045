package ban

import (
	"errors"
	"slices"
	"testing"
	"testing/quick"
)

func TestCalls(t *testing.T) {
	var b Book
	if _, err := b.Down("s9", false); !errors.Is(err, ErrUnknown) {
		t.Errorf("a ban on an id never listed: %v", err)
	}
	if _, err := b.Up("s9", false); !errors.Is(err, ErrUnknown) {
		t.Errorf("a call back of an id never listed: %v", err)
	}
	if changed, err := b.Down("s1", true); !changed || err != nil {
		t.Errorf("down: %v, %v", changed, err)
	}
	if changed, err := b.Down("s1", true); changed || err != nil {
		t.Errorf("down again: %v, %v", changed, err)
	}
	if changed, err := b.Up("s1", false); !changed || err != nil { // whatever the list says now: one call back ends it
		t.Errorf("up of a server that has left the list: %v, %v", changed, err)
	}
	if changed, err := b.Up("s1", true); changed || err != nil {
		t.Errorf("up again: %v, %v", changed, err)
	}
	if len(b.Out()) != 0 {
		t.Errorf("left out: %v", b.Out())
	}
}

func TestTake(t *testing.T) {
	var b Book
	if b.Take(nil) {
		t.Error("nothing kept changes nothing")
	}
	if !b.Take([]string{"a", "b"}) || !slices.Equal(b.IDs(), []string{"a", "b"}) {
		t.Errorf("taken: %v", b.IDs())
	}
	if b.Take([]string{"b", "a"}) {
		t.Error("the same bans in another order change nothing")
	}
	if !b.Take([]string{"b"}) || !slices.Equal(b.IDs(), []string{"b"}) {
		t.Errorf("taken: %v", b.IDs())
	}
}

// Every id is one plain file name, and comes back from it.
func TestNames(t *testing.T) {
	if err := quick.Check(func(id string) bool {
		name := Name(id)
		back, ok := FromName(name)
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
		if _, ok := FromName(name); ok {
			t.Errorf("%q is taken for a ban", name)
		}
	}
}
