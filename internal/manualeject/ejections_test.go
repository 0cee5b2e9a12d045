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
		t.Errorf("ejecting an id never listed: %v", err)
	}
	if _, err := e.Readmit("s9", false); !errors.Is(err, ErrNeverListed) {
		t.Errorf("readmitting an id never listed: %v", err)
	}
	if changed, err := e.Eject(10*ms, "s1", true); !changed || err != nil {
		t.Errorf("ejected: %v, %v", changed, err)
	}
	if changed, err := e.Eject(20*ms, "s1", true); changed || err != nil {
		t.Errorf("ejected again: %v, %v", changed, err)
	}
	if since, ok := e.EjectedFor(50*ms, "s1"); !ok || since != 40*ms {
		t.Errorf("ejected for %v, %v; the first call counts", since, ok)
	}
	if changed, err := e.Readmit("s1", false); !changed || err != nil { // whatever the list says now
		t.Errorf("readmitting a server that has left the list: %v, %v", changed, err)
	}
	if changed, err := e.Readmit("s1", true); changed || err != nil {
		t.Errorf("readmitted again: %v, %v", changed, err)
	}
	if len(e.IDSet()) != 0 {
		t.Errorf("still ejected: %v", e.IDSet())
	}
}

func TestEjectionsKeptByAnotherProcessReplaceThese(t *testing.T) {
	var e Ejections
	if e.Replace(0, nil) {
		t.Error("nothing kept changes nothing")
	}
	if !e.Replace(5*ms, []string{"a", "b"}) || !slices.Equal(e.IDs(), []string{"a", "b"}) {
		t.Errorf("replaced: %v", e.IDs())
	}
	if e.Replace(9*ms, []string{"b", "a"}) {
		t.Error("the same ejections in another order change nothing")
	}
	if !e.Replace(12*ms, []string{"b"}) || !slices.Equal(e.IDs(), []string{"b"}) {
		t.Errorf("replaced: %v", e.IDs())
	}
	if since, _ := e.EjectedFor(20*ms, "b"); since != 15*ms {
		t.Errorf("an ejection that stands lost its instant: %v", since)
	}
	if !e.Replace(30*ms, []string{"c"}) || !slices.Equal(e.IDs(), []string{"c"}) {
		t.Errorf("as many, but others: %v", e.IDs())
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
		t.Errorf("kept as %s: another version would not find it", name)
	}
	for _, name := range []string{"", "out", "out-zz", "tmp-00", ".out-00"} {
		if _, ok := IDFromFileName(name); ok {
			t.Errorf("%q is taken for an ejection", name)
		}
	}
}
