package manualeject

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/quick"
	"time"
)

const ms = time.Millisecond

func TestRepeatedCallsAreOneAndOneEndsThem(t *testing.T) {
	var e Ejections
	if _, err := e.Eject(0, "s9", false); !errors.Is(err, ErrNeverListed) {
		t.Errorf("ejecting an id that was never listed: got error %v, want ErrNeverListed", err)
	}
	if _, err := e.Readmit("s9", false); !errors.Is(err, ErrNeverListed) {
		t.Errorf("readmitting an id that was never listed: got error %v, want ErrNeverListed", err)
	}
	if changed, err := e.Eject(10*ms, "s1", true); !changed || err != nil {
		t.Errorf("first Eject: got %v, %v, want true, nil", changed, err)
	}
	if changed, err := e.Eject(20*ms, "s1", true); changed || err != nil {
		t.Errorf("second Eject: got %v, %v, want false, nil", changed, err)
	}
	if since, ok := e.EjectedFor(50*ms, "s1"); !ok || since != 40*ms {
		t.Errorf("EjectedFor: got %v, %v, want 40ms, true, counted from the first Eject", since, ok)
	}
	if changed, err := e.Readmit("s1", false); !changed || err != nil { // also once unlisted
		t.Errorf("readmitting an unlisted server: got %v, %v, want true, nil", changed, err)
	}
	if changed, err := e.Readmit("s1", true); changed || err != nil {
		t.Errorf("second Readmit: got %v, %v, want false, nil", changed, err)
	}
	if len(e.IDSet()) != 0 {
		t.Errorf("ejected after Readmit: got %v, want none", e.IDSet())
	}
}

func TestEjectionsKeptByAnotherProcessReplaceThese(t *testing.T) {
	var e Ejections
	if e.Replace(0, nil) {
		t.Error("Replace of an empty set by no ids: got true (changed), want false")
	}
	if !e.Replace(5*ms, []string{"a", "b"}) || !slices.Equal(e.IDs(), []string{"a", "b"}) {
		t.Errorf("Replace by a and b: got %v, want [a b] and true (changed)", e.IDs())
	}
	if e.Replace(9*ms, []string{"b", "a"}) {
		t.Error("Replace by the same ids in another order: got true (changed), want false")
	}
	if !e.Replace(12*ms, []string{"b"}) || !slices.Equal(e.IDs(), []string{"b"}) {
		t.Errorf("Replace by b alone: got %v, want [b] and true (changed)", e.IDs())
	}
	if since, _ := e.EjectedFor(20*ms, "b"); since != 15*ms {
		t.Errorf("EjectedFor after Replace by the same id: got %v, want 15ms", since)
	}
	if !e.Replace(30*ms, []string{"c"}) || !slices.Equal(e.IDs(), []string{"c"}) {
		t.Errorf("Replace by another id: got %v, want [c] and true (changed)", e.IDs())
	}
}

func TestEveryIDIsOnePlainFileName(t *testing.T) {
	plain := func(id string) bool {
		name := FileName(id)
		back, ok := IDFromFileName(name)
		return ok && back == id && !strings.ContainsAny(name, "/\x00") && len(name) <= 4+2*len(id)
	}
	if err := quick.Check(plain, nil); err != nil {
		t.Error(err)
	}
	if name := FileName("s-1"); name != "out-732d31" {
		t.Errorf("FileName of s-1: got %s, want out-732d31, which other versions read", name)
	}
	for _, name := range []string{"", "out", "out-zz", "tmp-00", ".out-00"} {
		if _, ok := IDFromFileName(name); ok {
			t.Errorf("IDFromFileName(%q): got true, want false", name)
		}
	}
}
