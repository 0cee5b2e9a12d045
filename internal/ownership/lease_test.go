package ownership

import (
	"strings"
	"testing"
)

func (w *world) play(steps int) {
	for range steps {
		w.step()
	}
	// Progress: once faults have stopped every caller has its answer, and the newest token wins somewhere.
	w.runWithoutFaults(2 * modelSessionMs)
	for i, r := range w.relays {
		for _, c := range r.sorted() {
			if c.answers != 1 {
				w.fail("relay %d: no answer for %+v", i, c)
			}
			w.release(i, c)
		}
	}
	w.runWithoutFaults(1000)
	for s, known := range w.tokens {
		if len(known) == 0 {
			continue
		}
		i := w.rng.IntN(len(w.relays))
		c := w.acquire(i, s, known[len(known)-1])
		w.runWithoutFaults(400)
		if !c.owned {
			w.fail("no progress for stream %d with its newest token %d: %+v", s, known[len(known)-1], w.svc.nodes[w.streams[s]])
		}
		if known[0] < w.svc.nodes[w.streams[s]].record.MinFencingToken {
			w.release(i, c)
			w.runWithoutFaults(100)
			before := w.rejected[ErrStaleToken]
			w.acquire(i, s, known[0])
			if w.runWithoutFaults(400); w.rejected[ErrStaleToken] != before+1 {
				w.fail("a token below the floor was not refused as behind")
			}
		}
	}
	for i, r := range w.relays { // bounded memory: what nobody holds is forgotten
		for _, c := range r.sorted() {
			w.release(i, c)
		}
	}
	w.runWithoutFaults(1000)
	for i, r := range w.relays {
		if r.lease.StreamCount() != 0 || len(r.lease.pending) != 0 || len(r.lease.byHandle)+len(r.lease.undecided) != 0 {
			w.fail("relay %d keeps %d streams, %d asks, %d handles", i, r.lease.StreamCount(), len(r.lease.pending), len(r.lease.byHandle))
		}
	}
}

// Random steps of an adversarial scheduler over 2 and 3 relays: never two holders, never two answers, rising
// generations, and progress once faults stop.
func TestNeverTwoOwners(t *testing.T) {
	wins, refused := 0, map[RejectReason]int{}
	for seed := range uint64(400) {
		w := newWorld(seed, 2+int(seed%2), 1+int(seed%3))
		if err := w.findViolation(1500); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		wins += w.acquisitions
		for why, n := range w.rejected {
			refused[why] += n
		}
	}
	t.Logf("%d claims won, refused %v", wins, refused)
	if wins < 1500 || len(refused) != 5 { // else the adversary shuts everything down and proves nothing
		t.Errorf("%d claims won, refused %v", wins, refused)
	}
}

// The model can fail: with a margin that is too short it finds two relays serving one stream.
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

func FuzzLease(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, uint16(500))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		if err := newWorld(seed, 2+int(seed%2), 1+int(seed%3)).findViolation(int(steps % 4000)); err != nil {
			t.Fatal(err)
		}
	})
}
