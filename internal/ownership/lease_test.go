package ownership

import (
	"strings"
	"testing"
	"time"
)

// play runs the adversary, then checks that the relays recover and forget.
func (w *world) play(steps int) {
	for range steps {
		w.step()
	}
	w.runWithoutFaults(2 * modelSession)
	for i, r := range w.relays {
		for _, c := range r.sorted() {
			if c.answers != 1 {
				w.fail("relay %d: no answer for %+v", i, c)
			}
			w.release(i, c)
		}
	}
	w.runWithoutFaults(time.Second)
	for s := range w.tokens {
		w.checkProgress(s)
	}
	w.checkMemory()
}

// checkProgress checks that without faults a stream's newest token acquires it, and that one below the
// record's minimum is stale.
func (w *world) checkProgress(s int) {
	known := w.tokens[s]
	if len(known) == 0 {
		return
	}
	i := w.rng.IntN(len(w.relays))
	newest := known[len(known)-1]
	c := w.acquire(i, s, newest)
	w.runWithoutFaults(400 * time.Millisecond)
	stored := w.svc.nodes[w.streams[s]]
	if !c.owned {
		w.fail("no progress for stream %d with its newest token %d: %+v", s, newest, stored)
	}
	if known[0] >= stored.record.MinFencingToken {
		return
	}
	w.release(i, c)
	w.runWithoutFaults(100 * time.Millisecond)
	before := w.rejected[ErrStaleToken]
	w.acquire(i, s, known[0])
	w.runWithoutFaults(400 * time.Millisecond)
	if w.rejected[ErrStaleToken] != before+1 {
		w.fail("a token below the minimum was not rejected as stale")
	}
}

// checkMemory checks that a Lease forgets the streams that nobody has.
func (w *world) checkMemory() {
	for i, r := range w.relays {
		for _, c := range r.sorted() {
			w.release(i, c)
		}
	}
	w.runWithoutFaults(time.Second)
	for i, r := range w.relays {
		l := r.lease
		if l.StreamCount() != 0 || len(l.pending) != 0 || len(l.byHandle)+len(l.undecided) != 0 {
			w.fail("relay %d keeps %d streams, %d requests, %d handles, %d undecided", i, l.StreamCount(),
				len(l.pending), len(l.byHandle), len(l.undecided))
		}
	}
}

// Random steps of an adversary against 2 and 3 relays: never two owners, never two answers, rising fencing
// tokens, and progress once faults stop. A margin or a check left out serves one stream twice.
func TestNeverTwoOwners(t *testing.T) {
	acquisitions, rejected := 0, map[RejectReason]int{}
	for seed := range uint64(400) {
		w := newWorld(seed, 2+int(seed%2), 1+int(seed%3))
		if err := w.findViolation(1500); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		acquisitions += w.acquisitions
		for reason, n := range w.rejected {
			rejected[reason] += n
		}
	}
	t.Logf("%d acquisitions, rejected %v", acquisitions, rejected)
	if acquisitions < 1500 || len(rejected) != 5 { // else the adversary stops everything and proves nothing
		t.Errorf("%d acquisitions, rejected %v", acquisitions, rejected)
	}
}

// The model can fail: with a margin that is too short it finds two relays that serve one stream.
func TestModelFindsAShortMargin(t *testing.T) {
	for seed := range uint64(400) {
		w := newWorld(seed, 2+int(seed%2), 1+int(seed%3))
		for _, r := range w.relays {
			r.lease.margin = 0
		}
		if err := w.findViolation(1500); err != nil && strings.Contains(err.Error(), "is served by") {
			return
		}
	}
	t.Error("no seed finds what a margin of 0 does")
}

// FuzzLease: no schedule of the adversary breaks an invariant.
func FuzzLease(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, uint16(500))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		w := newWorld(seed, 2+int(seed%2), 1+int(seed%3))
		if err := w.findViolation(int(steps % 4000)); err != nil {
			t.Fatal(err)
		}
	})
}
