package cluster

import (
	"slices"
	"time"

	"capersail/decide"
)

// Request is one request as its client saw it. Its instants are as Now has them.
type Request struct {
	ID          string
	Relay       int
	Idempotency decide.Idempotency
	SentAt      time.Duration // when its last byte was written; 0 if it never was
	Answer      string        // the first word of its answer, "" for none
	AnsweredAt  time.Duration // when that came, or the connection ended without
	ClosedAt    time.Duration // when the client closed, 0 if the other side did
}

// Absence is a time in which a server was draining or gone by what discovery had.
type Absence struct {
	Server   string
	From, To time.Duration // To is 0 while it lasts
}

// Span is a time in which something was disturbed.
type Span struct {
	From, To time.Duration // To is 0 while it lasts
}

func (s Span) overlaps(from, to time.Duration) bool {
	return s.From <= to && (s.To == 0 || s.To >= from)
}

// anyOverlaps reports whether one of the spans shares an instant with a time.
func anyOverlaps(spans []*Span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(s *Span) bool { return s.overlaps(from, to) })
}

// RecordRequest records a request that has ended.
func (j *Checker) RecordRequest(r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[r.ID] = &r
}

// BeginAbsence records that a server is draining or gone from now on, and back that it is ready again.
func (j *Checker) BeginAbsence(server string) (back func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := &Absence{Server: server, From: Now()}
	j.absences = append(j.absences, a)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		a.To = Now()
	}
}

// BeginDiscoveryLoss records that a relay may not be notified by discovery from now on, and end that it may again.
func (j *Checker) BeginDiscoveryLoss(relay int) (end func()) { return j.addSpan(j.noDiscovery, relay) }

// BeginProcessDown records that a relay's process is killed or stopped from now on, and end that this is over.
func (j *Checker) BeginProcessDown(relay int) (end func()) { return j.addSpan(j.processDown, relay) }

func (j *Checker) addSpan(spans map[int][]*Span, relay int) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := &Span{From: Now()}
	spans[relay] = append(spans[relay], s)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		s.To = Now()
	}
}
