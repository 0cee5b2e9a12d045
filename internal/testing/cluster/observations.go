package cluster

import (
	"slices"

	"capersail/decide"
)

// Request is one request as its client saw it.
type Request struct {
	ID          string
	Relay       int
	Idempotency decide.Idempotency
	Sent        float64 // when its last byte was written; 0 if it never was
	Answer      string  // the first word of its answer, "" for none
	Answered    float64 // when that came, or the connection ended without
	Closed      float64 // when the client closed, 0 if the other side did
}

// Absence is a time in which a server drained or was gone by what discovery had.
type Absence struct {
	Server   string
	From, To float64 // To is 0 while it lasts
}

// Span is a time in which something was disturbed.
type Span struct{ From, To float64 }

func (s Span) overlaps(from, to float64) bool { return s.From <= to && (s.To == 0 || s.To >= from) }

// RecordRequest takes in a request that has ended.
func (j *Judge) RecordRequest(r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[r.ID] = &r
}

// RecordAbsence notes that a server drains or is gone from now on; back, that it is ready again.
func (j *Judge) RecordAbsence(server string) (back func()) {
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

// DiscoveryLost notes that a relay may not hear discovery from now on; end, that it may again.
func (j *Judge) DiscoveryLost(relay int) (end func()) { return j.beginSpan(j.discoveryLost, relay) }

// ProcessDown notes that a relay's process is ended by force or stopped from now on; end, that this is over.
func (j *Judge) ProcessDown(relay int) (end func()) { return j.beginSpan(j.processDown, relay) }

func (j *Judge) beginSpan(spans map[int][]*Span, relay int) (end func()) {
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

func anyOverlaps(spans []*Span, from, to float64) bool {
	return slices.ContainsFunc(spans, func(s *Span) bool { return s.overlaps(from, to) })
}
