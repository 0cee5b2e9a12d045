package relay

import (
	"sync/atomic"
	"time"

	"capersail/decide"
	"capersail/internal/guard"
)

// ClassCounts counts events of one class since the process started.
type ClassCounts struct {
	Established uint64 // established connections
	Rejected    uint64 // requests rejected, with the promise that a retry is harmless
	Failed      uint64 // requests failed, without such a promise
	Attempts    uint64 // attempts whose first byte BeginWrite permitted
}

// requestCounters counts requests and their final answers. The table's lock guards the fields that are not
// atomic.
type requestCounters struct {
	arrivals       atomic.Uint64 // number of requests since the process started
	ejectedServers atomic.Int64  // number of servers that the decision module ejects, as of the last sweep
	byClass        []ClassCounts
	rejections     [decide.MayHaveRun + 1]uint64 // final answers of the decision module, by reason
}

// forClass returns the counters of a class. For an undefined class it returns counters that are discarded.
func (c *requestCounters) forClass(class decide.Class) *ClassCounts {
	if class < 0 || int(class) >= len(c.byClass) {
		return &ClassCounts{}
	}
	return &c.byClass[class]
}

func (c *requestCounters) countAnswer(class decide.Class, kind AnswerKind) {
	switch kind {
	case Rejected:
		c.forClass(class).Rejected++
	case Failed:
		c.forClass(class).Failed++
	}
}

// countReason counts a final answer of the decision module by its reason. Answers without a reason are not
// counted.
func (c *requestCounters) countReason(reason decide.RejectReason) {
	if reason != decide.NoReason && int(reason) < len(c.rejections) {
		c.rejections[reason]++
	}
}

// ClassCounts returns the counters of all classes, in the order of the class numbers.
func (t *RequestTable) ClassCounts() []ClassCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]ClassCounts{}, t.counters.byClass...)
}

// OpenRequests returns the number of requests that have not ended: those without a final answer, and those
// that are established.
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

// Arrivals returns the number of requests that have arrived since the process started.
func (t *RequestTable) Arrivals() uint64 { return t.counters.arrivals.Load() }

// EndpointCounts counts the servers in the endpoint list by their status.
type EndpointCounts struct {
	Listed          int // listed as ready or draining
	EjectedManually int // listed, and ejected by an operator
	Ejected         int // ready, and ejected by the decision module
	Withheld        int // listed as ready, but not used because the lease of the list has expired
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

// GuardStats are the statistics of the guard that operators see. Counts start with the process.
type GuardStats struct {
	EndpointListAge      time.Duration // time since discovery was last heard, 0 if the list needs no lease
	EndpointLeaseExpired bool
	Denials              map[string]uint64 // by the reason for the denial
	Rejections           map[string]uint64 // by the decision module's reason
	Violations           map[string]uint64 // by invariant
}

// GuardStats returns the current statistics of the guard.
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

// RecordConnLimitRejection counts and records that a client of the class was rejected because no file
// descriptor was left for it. Such a client never becomes a request.
func (t *RequestTable) RecordConnLimitRejection(class decide.Class) {
	t.mu.Lock()
	t.counters.countAnswer(class, Rejected)
	t.mu.Unlock()
	if t.Recorder != nil {
		t.recordConnLimitRejection()
	}
}
