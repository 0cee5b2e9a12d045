package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// ClassCounts are the figures of one class since the process started.
type ClassCounts struct {
	Established uint64 // connections brought up
	Rejected    uint64 // refused: trying again is harmless
	Failed      uint64 // failed
	Attempts    uint64 // attempts whose first byte went to a server: counted as Begin lets it go
}

// requestCounters are the counters, by class. The Exchange's lock guards them.
type requestCounters struct {
	established, rejected, failed, attempts []uint64
	rejections                              [decide.MayHaveRun + 1]uint64 // by the module's reason
}

func newRequestCounters(classes int) requestCounters {
	return requestCounters{established: make([]uint64, classes), rejected: make([]uint64, classes), failed: make([]uint64, classes),
		attempts: make([]uint64, classes)}
}

// increment adds one to a counter of a class. The caller holds the lock.
func (f *requestCounters) increment(counter []uint64, class decide.Class) {
	if class >= 0 && int(class) < len(counter) {
		counter[class]++
	}
}

// countAnswer adds a final answer. The caller holds the lock.
func (f *requestCounters) countAnswer(class decide.Class, kind AnswerKind) {
	switch kind {
	case Rejected:
		f.increment(f.rejected, class)
	case Failed:
		f.increment(f.failed, class)
	}
}

// ClassCounts returns the figures of each class, in the order of the classes' numbers.
func (t *RequestTable) ClassCounts() []ClassCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]ClassCounts, len(t.counters.established))
	for i := range out {
		out[i] = ClassCounts{Established: t.counters.established[i], Rejected: t.counters.rejected[i], Failed: t.counters.failed[i],
			Attempts: t.counters.attempts[i]}
	}
	return out
}

// OpenRequests is how many connections the relay has taken and not ended: those that asked and have no final answer,
// and those that are up.
func (t *RequestTable) OpenRequests() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		if r.state != Ended {
			n++
		}
	}
	return n
}

// Arrivals is how many requests have come since the process started.
func (t *RequestTable) Arrivals() uint64 { return t.arrived.Load() }

// EndpointCounts is what the relay knows of the tile servers in the list.
type EndpointCounts struct {
	Listed          int // in the list, ready or draining
	EjectedManually int // of those, out by hand
	Ejected         int // of those that are ready, the ones the module avoids by its own choice
	// Withheld are those that the list calls ready and the guard keeps from what is new.
	Withheld int
}

// EndpointCounts counts the servers in the list.
func (t *RequestTable) EndpointCounts() (counts EndpointCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts.Ejected = int(t.ejectedCount.Load())
	for _, s := range t.endpoints.servers {
		if s.listedMode != decide.Removed {
			counts.Listed++
			switch {
			case s.ejectedManually:
				counts.EjectedManually++
			case s.listedMode == decide.Ready && s.mode != decide.Ready:
				counts.Withheld++
			}
		}
	}
	return counts
}

// GuardStats are what operators see of the guard, since the process started.
type GuardStats struct {
	EndpointListAge      float64 // ms since discovery was last heard, 0 where the list is not held on a lease
	EndpointLeaseExpired bool
	Denials              map[string]uint64 // by what stood in the way
	Rejections           map[string]uint64 // by the module's reason
	Violations           map[string]uint64 // by rule
}

// GuardStats returns the figures of the guard.
func (t *RequestTable) GuardStats() GuardStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	f := GuardStats{EndpointListAge: Millis(t.endpointLease.Age(now)), EndpointLeaseExpired: !t.endpointLease.Valid(now),
		Denials: map[string]uint64{}, Rejections: map[string]uint64{}, Violations: map[string]uint64{}}
	for _, why := range guard.Denials() {
		f.Denials[why.String()] = t.Denials.Count(why)
	}
	for _, rule := range guard.Invariants() {
		f.Violations[rule.String()] = t.Violations.Count(rule)
	}
	for why, n := range t.counters.rejections {
		f.Rejections[decide.RejectReason(why).String()] = n
	}
	return f
}

// RecordConnLimitRejection tells that the door refused a client of the class for want of descriptors.
func (t *RequestTable) RecordConnLimitRejection(class decide.Class) {
	t.mu.Lock()
	t.counters.countAnswer(class, Rejected)
	t.mu.Unlock()
	if t.Recorder != nil {
		t.Recorder.Put(&recorder.Record{At: t.Clock.NowMillis(), Kind: recorder.RequestRejected, Server: -1, Initiator: recorder.DescriptorLimit})
	}
}
