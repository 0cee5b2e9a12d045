package cluster

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"capersail/decide"
)

// The times by which a Checker goes are those of the protocol page.
const (
	// notificationLimit is when every relay counts as notified of a change, whether or not the event arrived.
	notificationLimit = 6 * time.Second
	// drainMargin is how long after that requests may still arrive at a server that drains or is gone: the
	// grace of 500 ms, and 50 ms for the sockets.
	drainMargin = 550 * time.Millisecond
	// eventDeliveryLimit is when an event has arrived on a watch that is not disturbed.
	eventDeliveryLimit = 400 * time.Millisecond
	// requestDeadline is the d of every request, and answerMargin how late after it an answer may be.
	requestDeadline = 2 * time.Second
	answerMargin    = 500 * time.Millisecond
	// closeMargin is how long after its client closed an attempt may arrive: it may begin 100 ms after, a
	// process may be held up for 150 ms, and what records it for the rest.
	closeMargin = 300 * time.Millisecond
	// overlapMargin is how late a server may record the end of an attempt.
	overlapMargin = 5 * time.Millisecond
)

// Checker holds what clients and servers saw against the rules of the protocol. It is safe for concurrent use.
type Checker struct {
	DedupWindow time.Duration // for how long servers recognize a repeat by its idempotency key

	mu          sync.Mutex
	requests    map[string]*Request
	streams     []Stream
	absences    []*Absence
	noDiscovery map[int][]*Span // by relay: discovery was disturbed, or the process had just started
	processDown map[int][]*Span // by relay: the process was killed, or stopped
}

// NewChecker returns a Checker that has recorded nothing.
func NewChecker(dedupWindow time.Duration) *Checker {
	return &Checker{
		DedupWindow: dedupWindow,
		requests:    map[string]*Request{},
		noDiscovery: map[int][]*Span{},
		processDown: map[int][]*Span{},
	}
}

// Violations lists what broke a rule, each after the rule's name, given all attempts that arrived at servers.
func (j *Checker) Violations(arrivals []Arrival) (violations []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	slices.SortFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.ReceivedAt, b.ReceivedAt) })
	byID := map[string][]Arrival{}
	for _, a := range arrivals {
		byID[a.ID] = append(byID[a.ID], a)
		violations = append(violations, j.checkArrival(a)...)
	}
	for id, attempts := range byID {
		if r := j.requests[id]; r != nil {
			violations = append(violations, j.checkDuplicates(r, attempts)...)
		}
	}
	for _, r := range j.requests {
		violations = append(violations, j.checkAnswer(r)...)
	}
	for _, s := range j.streams {
		if attempts := byID[s.ID]; len(attempts) > 0 {
			violations = append(violations, j.checkStream(s, attempts[len(attempts)-1])...)
		}
	}
	slices.Sort(violations)
	return violations
}

// checkArrival checks one attempt by itself: its request was sent and is still wanted, and its server is in
// use.
func (j *Checker) checkArrival(a Arrival) (violations []string) {
	r := j.requests[a.ID]
	if r == nil {
		return []string{fmt.Sprintf("unknown: %s came to %s, and no client sent it", a.ID, a.Server)}
	}
	violations = j.checkDrain(r, a)
	if r.ClosedAt > 0 && a.ReceivedAt > r.ClosedAt+closeMargin {
		violations = append(violations, fmt.Sprintf("lost: %s came to %s %.0f ms after its client closed",
			a.ID, a.Server, toMillis(a.ReceivedAt-r.ClosedAt)))
	}
	return violations
}

// checkDrain checks an attempt against all absences of its server: while the server is away, no request is
// placed on it by a relay that counts as notified.
func (j *Checker) checkDrain(r *Request, a Arrival) (violations []string) {
	for _, gone := range j.absences {
		if gone.Server != a.Server || a.ReceivedAt < gone.From {
			continue
		}
		since := a.ReceivedAt - gone.From
		away := gone.To == 0 || a.ReceivedAt < gone.To
		sound := !anyOverlaps(j.noDiscovery[r.Relay], gone.From-notificationLimit, a.ReceivedAt)
		notified := since > notificationLimit+drainMargin || sound && since > eventDeliveryLimit+drainMargin
		if away && notified {
			violations = append(violations, fmt.Sprintf("drain: %s of relay %d came to %s %.2f s after it left",
				a.ID, r.Relay, a.Server, since.Seconds()))
		}
	}
	return violations
}

// checkDuplicates checks the attempts of one request, in the order of their arrival: one at a time, and none
// after one that may have run unless the request is idempotent, by a key within the servers' deduplication
// window.
func (j *Checker) checkDuplicates(r *Request, attempts []Arrival) (violations []string) {
	for i := 1; i < len(attempts); i++ {
		first, last := attempts[i-1], attempts[i]
		if !endsBefore(first, last) {
			violations = append(violations, fmt.Sprintf("duplicate: %s is out at %s and at %s",
				r.ID, first.Server, last.Server))
		}
	}
	mayHaveRun := slices.IndexFunc(attempts, func(a Arrival) bool { return a.MayHaveRun })
	if mayHaveRun < 0 || r.Idempotency == decide.Idempotent {
		return violations
	}
	ran := attempts[mayHaveRun]
	if r.Idempotency == decide.NonIdempotent && r.Answer == "BUSY" {
		violations = append(violations, fmt.Sprintf("duplicate: %s was rejected though it may have run at %s",
			r.ID, ran.Server))
	}
	for _, retry := range attempts[mayHaveRun+1:] {
		if r.Idempotency == decide.NonIdempotent ||
			retry.ReceivedAt-ran.ReceivedAt > j.DedupWindow+closeMargin {
			violations = append(violations, fmt.Sprintf("duplicate: %s ran at %s and came to %s %.0f ms later",
				r.ID, ran.Server, retry.Server, toMillis(retry.ReceivedAt-ran.ReceivedAt)))
		}
	}
	return violations
}

// endsBefore reports whether an attempt has ended before the request's next one came, as far as their servers
// can tell. One that the relay has ended before a server that is short of processor time came to read it may
// have.
func endsBefore(first, next Arrival) bool {
	if first.EndedBeforeRead && first.ReadDelay > overlapMargin {
		return true
	}
	return first.endedBeforeNext || first.EndedAt > 0 && first.EndedAt <= next.ReceivedAt+overlapMargin
}

// checkAnswer checks that a request has its answer in time. A process that was killed or stopped meanwhile
// owes none.
func (j *Checker) checkAnswer(r *Request) (violations []string) {
	const downMargin = 100 * time.Millisecond
	down := anyOverlaps(j.processDown[r.Relay], r.SentAt-downMargin, r.AnsweredAt)
	if r.SentAt == 0 || r.ClosedAt > 0 || down {
		return nil
	}
	took := r.AnsweredAt - r.SentAt
	if r.Answer == "" {
		return []string{fmt.Sprintf("lost: %s of relay %d was closed on with no answer after %.2f s",
			r.ID, r.Relay, took.Seconds())}
	}
	if took > requestDeadline+answerMargin {
		return []string{fmt.Sprintf("lost: %s of relay %d had %s after %.2f s",
			r.ID, r.Relay, r.Answer, took.Seconds())}
	}
	return nil
}
