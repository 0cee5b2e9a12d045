package relay

import (
	"sync/atomic"
	"time"

	"capersail/decide"
	"capersail/internal/guard"
)

// ClassCounts are the figures of one class since the process started.
type ClassCounts struct {
	Established uint64 // connections
	Rejected    uint64 // requests whose client was promised that a retry is harmless
	Failed      uint64 // requests
	Attempts    uint64 // attempts whose first byte BeginWrite let go
}

// requestCounters count what became of requests. The table's lock guards what is not atomic.
type requestCounters struct {
	arrivals       atomic.Uint64 // requests since the process started
	ejectedServers atomic.Int64  // servers that the decision module ejects, as of the last sweep
	byClass        []ClassCounts
	rejections     [decide.MayHaveRun + 1]uint64 // final answers of the decision module, by its reason
}

// forClass returns the counters forClass a class; what is counted for one that is none goes nowhere.
func (c *requestCounters) forClass(class decide.Class) *ClassCounts {
	if class < 0 || int(class) >= len(c.byClass) {
		return &ClassCounts{}
	}
	return &c.byClass[class]
}

// countAnswer counts a final answer.
func (c *requestCounters) countAnswer(class decide.Class, kind AnswerKind) {
	switch kind {
	case Rejected:
		c.forClass(class).Rejected++
	case Failed:
		c.forClass(class).Failed++
	}
}

// countReason counts a final answer of the decision module that is no server's.
func (c *requestCounters) countReason(reason decide.RejectReason) {
	if reason != decide.NoReason && int(reason) < len(c.rejections) {
		c.rejections[reason]++
	}
}

// ClassCounts returns the figures of each class, in the order of the classes' numbers.
func (t *RequestTable) ClassCounts() []ClassCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]ClassCounts{}, t.counters.byClass...)
}

// OpenRequests returns how many connections the relay has taken and not ended: those without a final
// answer, and those that are established.
func (t *RequestTable) OpenRequests() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests.byID {
		if r.state != Ended {
			n++
		}
	}
	return n
}

// Arrivals returns how many requests have come since the process started.
func (t *RequestTable) Arrivals() uint64 { return t.counters.arrivals.Load() }

// EndpointCounts is what the relay knows of the servers in the endpoint list.
type EndpointCounts struct {
	Listed          int // ready or draining
	EjectedManually int // of those, by an operator
	Ejected         int // of those that are ready, by the decision module
	Withheld        int // of those that are listed as ready, by the guard: the list's lease has expired
}

// EndpointCounts counts the servers in the endpoint list.
func (t *RequestTable) EndpointCounts() EndpointCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := EndpointCounts{Ejected: int(t.counters.ejectedServers.Load())}
	for _, s := range t.endpoints.servers {
		if s.listedState == decide.Removed {
			continue
		}
		counts.Listed++
		switch {
		case s.ejectedManually:
			counts.EjectedManually++
		case s.listedState == decide.Ready && s.state != decide.Ready:
			counts.Withheld++
		}
	}
	return counts
}

// GuardStats is what operators see of the guard, since the process started.
type GuardStats struct {
	EndpointListAge      time.Duration // since discovery was last heard, 0 where the list is on no lease
	EndpointLeaseExpired bool
	Denials              map[string]uint64 // by what stood in the way
	Rejections           map[string]uint64 // by the decision module's reason
	Violations           map[string]uint64 // by invariant
}

// GuardStats returns the figures of the guard.
func (t *RequestTable) GuardStats() GuardStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	stats := GuardStats{
		EndpointListAge:      t.lease.Age(now),
		EndpointLeaseExpired: !t.lease.Valid(now),
		Denials:              map[string]uint64{},
		Rejections:           map[string]uint64{},
		Violations:           map[string]uint64{},
	}
	for _, denial := range guard.Denials() {
		stats.Denials[denial.String()] = t.Denials.Count(denial)
	}
	for _, invariant := range guard.Invariants() {
		stats.Violations[invariant.String()] = t.Violations.Count(invariant)
	}
	for reason, n := range t.counters.rejections {
		stats.Rejections[decide.RejectReason(reason).String()] = n
	}
	return stats
}

// RecordConnLimitRejection counts and records that a client of the class was rejected for want of
// descriptors, before it became a request.
func (t *RequestTable) RecordConnLimitRejection(class decide.Class) {
	t.mu.Lock()
	t.counters.countAnswer(class, Rejected)
	t.mu.Unlock()
	if t.Recorder != nil {
		t.recordConnLimitRejection()
	}
}
