package ownership

import (
	"strings"
	"testing"
	"time"
)

// run executes random steps with faults, then stops the faults and checks that every caller was answered,
// that every stream can be acquired, and that the leases keep no state of released streams.
func (m *model) run(steps int) {
	for range steps {
		m.randomStep()
	}
	m.runWithoutFaults(2 * modelSession)
	for i, r := range m.relays {
		for _, c := range r.sortedCallers() {
			if c.answers != 1 {
				m.fail("relay %d: acquisition was not answered exactly once: %+v", i, c)
			}
			m.release(i, c)
		}
	}
	m.runWithoutFaults(time.Second)
	for s := range m.tokens {
		m.checkProgress(s)
	}
	m.checkMemory()
}

// checkProgress checks that without faults a stream can be acquired with its newest token, and that a token
// below the record's minimum is rejected as stale.
func (m *model) checkProgress(s int) {
	known := m.tokens[s]
	if len(known) == 0 {
		return
	}
	i := m.rng.IntN(len(m.relays))
	newest := known[len(known)-1]
	c := m.acquire(i, s, newest)
	m.runWithoutFaults(400 * time.Millisecond)
	stored := m.svc.nodes[m.streams[s]]
	if !c.owned {
		m.fail("stream %d was not acquired with its newest token %d without faults: %+v", s, newest, stored)
	}
	if known[0] >= stored.record.MinFencingToken {
		return
	}
	m.release(i, c)
	m.runWithoutFaults(100 * time.Millisecond)
	before := m.rejected[ErrStaleToken]
	m.acquire(i, s, known[0])
	m.runWithoutFaults(400 * time.Millisecond)
	if m.rejected[ErrStaleToken] != before+1 {
		m.fail("a token below the record's MinFencingToken was not rejected as stale")
	}
}

// checkMemory checks that a Lease keeps no state of streams after all callers have released them.
func (m *model) checkMemory() {
	for i, r := range m.relays {
		for _, c := range r.sortedCallers() {
			m.release(i, c)
		}
	}
	m.runWithoutFaults(time.Second)
	for i, r := range m.relays {
		l := r.lease
		if l.StreamCount() != 0 || len(l.pendingRequests) != 0 || len(l.byHandle)+len(l.pendingResumes) != 0 {
			m.fail("relay %d still has %d streams, %d requests, %d handles, %d resuming callers", i,
				l.StreamCount(), len(l.pendingRequests), len(l.byHandle), len(l.pendingResumes))
		}
	}
}

// Guards against two relays serving one stream, which happens if the expiry margin or a check of the holder
// is missing. Random steps with faults run on 2 and 3 relays. There must never be two owners or two answers,
// fencing tokens must increase, and streams must be acquired once the faults stop.
func TestNeverTwoOwners(t *testing.T) {
	acquisitions, rejected := 0, map[RejectReason]int{}
	for seed := range uint64(400) {
		m := newModel(seed, 2+int(seed%2), 1+int(seed%3))
		if err := m.findViolation(1500); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		acquisitions += m.acquisitions
		for reason, n := range m.rejected {
			rejected[reason] += n
		}
	}
	t.Logf("%d acquisitions, rejections by reason: %v", acquisitions, rejected)
	if acquisitions < 1500 || len(rejected) != 5 { // with fewer, the faults leave too little to check
		t.Errorf("%d acquisitions, want at least 1500; rejections %v, want all 5 reasons", acquisitions,
			rejected)
	}
}

// Checks that the model detects violations: with an expiry margin of 0 it must find a stream that two relays
// serve.
func TestModelFindsAShortMargin(t *testing.T) {
	for seed := range uint64(400) {
		m := newModel(seed, 2+int(seed%2), 1+int(seed%3))
		for _, r := range m.relays {
			r.lease.expiryMargin = 0
		}
		if err := m.findViolation(1500); err != nil && strings.Contains(err.Error(), "is served by") {
			return
		}
	}
	t.Error("no seed finds a stream served by two relays with an expiry margin of 0")
}

// FuzzLease checks that no sequence of random steps and faults breaks an invariant.
func FuzzLease(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, uint16(500))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		m := newModel(seed, 2+int(seed%2), 1+int(seed%3))
		if err := m.findViolation(int(steps % 4000)); err != nil {
			t.Fatal(err)
		}
	})
}
