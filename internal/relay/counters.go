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
func (x *RequestTable) ClassCounts() []ClassCounts {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]ClassCounts, len(x.counters.established))
	for i := range out {
		out[i] = ClassCounts{Established: x.counters.established[i], Rejected: x.counters.rejected[i], Failed: x.counters.failed[i],
			Attempts: x.counters.attempts[i]}
	}
	return out
}

// OpenRequests is how many connections the relay has taken and not ended: those that asked and have no final answer,
// and those that are up.
func (x *RequestTable) OpenRequests() (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.requests {
		if c.state != Ended {
			n++
		}
	}
	return n
}

// Arrivals is how many requests have come since the process started.
func (x *RequestTable) Arrivals() uint64 { return x.arrived.Load() }

// EndpointCounts is what the relay knows of the tile servers in the list.
type EndpointCounts struct {
	Listed          int // in the list, ready or draining
	EjectedManually int // of those, out by hand
	Ejected         int // of those that are ready, the ones the module avoids by its own choice
	// Withheld are those that the list calls ready and the guard keeps from what is new.
	Withheld int
}

// EndpointCounts counts the servers in the list.
func (x *RequestTable) EndpointCounts() (c EndpointCounts) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c.Ejected = int(x.ejectedCount.Load())
	for _, s := range x.endpoints.servers {
		if s.listedMode != decide.Removed {
			c.Listed++
			switch {
			case s.ejectedManually:
				c.EjectedManually++
			case s.listedMode == decide.Ready && s.mode != decide.Ready:
				c.Withheld++
			}
		}
	}
	return c
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
func (x *RequestTable) GuardStats() GuardStats {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.Now()
	f := GuardStats{EndpointListAge: Millis(x.endpointLease.Age(now)), EndpointLeaseExpired: !x.endpointLease.Valid(now),
		Denials: map[string]uint64{}, Rejections: map[string]uint64{}, Violations: map[string]uint64{}}
	for _, why := range guard.Denials() {
		f.Denials[why.String()] = x.Denials.Count(why)
	}
	for _, rule := range guard.Invariants() {
		f.Violations[rule.String()] = x.Violations.Count(rule)
	}
	for why, n := range x.counters.rejections {
		f.Rejections[decide.RejectReason(why).String()] = n
	}
	return f
}

// RecordConnLimitRejection tells that the door refused a client of the class for want of descriptors.
func (x *RequestTable) RecordConnLimitRejection(class decide.Class) {
	x.mu.Lock()
	x.counters.countAnswer(class, Rejected)
	x.mu.Unlock()
	if x.Recorder != nil {
		x.Recorder.Put(&recorder.Record{At: x.Clock.NowMillis(), Kind: recorder.RequestRejected, Server: -1, Initiator: recorder.DescriptorLimit})
	}
}
