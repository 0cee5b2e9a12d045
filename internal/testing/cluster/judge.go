package cluster

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"capersail/decide"
)

// The times by which a Judge goes are those of the protocol page, in ms.
const (
	notifiedWithin  = 6000.0 // a change counts as told so long after it was made, whether or not it arrived
	drainMargin     = 550.0  // and nothing new goes to the server so long after that
	deliveredWithin = 400.0  // on a sound watch a change is told much sooner
	answerMargin    = 500.0  // an answer may be so late; later it is lost
	closeMargin     = 300.0  // an attempt may begin 100 ms after its client closed; a process may be held up for 150, and the judge for the rest
	requestDeadline = 2000.0 // d of every request
)

// Judge holds what clients and servers saw against the rules.
type Judge struct {
	DedupWindow float64

	mu            sync.Mutex
	requests      map[string]*Request
	absences      []*Absence
	discoveryLost map[int][]*Span // when a relay's way to discovery was disturbed, or its process had just started
	processDown   map[int][]*Span // when its process was killed, or stopped
}

// NewJudge returns a Judge that has seen nothing.
func NewJudge(keyedWindow float64) *Judge {
	return &Judge{DedupWindow: keyedWindow, requests: map[string]*Request{}, discoveryLost: map[int][]*Span{}, processDown: map[int][]*Span{}}
}

// Violations lists what broke a rule, each with the rule's name before it.
func (j *Judge) Violations(arrivals []Arrival) (broken []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	slices.SortFunc(arrivals, func(a, b Arrival) int { return int(a.At*1000) - int(b.At*1000) })
	byID := map[string][]Arrival{}
	for _, a := range arrivals {
		byID[a.ID] = append(byID[a.ID], a)
		r := j.requests[a.ID]
		if r == nil {
			broken = append(broken, fmt.Sprintf("unknown: %s came to %s, and no client sent it", a.ID, a.Server))
			continue
		}
		broken = append(broken, j.checkDrain(r, a)...)
		if r.Closed > 0 && a.At > r.Closed+closeMargin {
			broken = append(broken, fmt.Sprintf("lost: %s came to %s %.0f ms after its client closed", a.ID, a.Server, a.At-r.Closed))
		}
	}
	for id, attempts := range byID {
		if r := j.requests[id]; r != nil {
			broken = append(broken, j.checkDuplicates(r, attempts)...)
		}
	}
	for _, r := range j.requests {
		broken = append(broken, j.checkAnswer(r)...)
	}
	slices.Sort(broken)
	return broken
}

// checkDrain checks an attempt against all absences of its server: while the server is away, every relay is held to that once it counts as told.
func (j *Judge) checkDrain(r *Request, a Arrival) (broken []string) {
	for _, gone := range j.absences {
		if gone.Server != a.Server || a.At < gone.From {
			continue
		}
		since := a.At - gone.From
		away := gone.To == 0 || a.At < gone.To
		told := since > notifiedWithin+drainMargin || since > deliveredWithin+drainMargin && !anyOverlaps(j.discoveryLost[r.Relay], gone.From-notifiedWithin, a.At)
		switch {
		case away && told:
			broken = append(broken, fmt.Sprintf("drain: %s of relay %d came to %s %.2f s after it left", a.ID, r.Relay, a.Server, since/1000))
		}
	}
	return broken
}

// checkDuplicates checks the attempts of one request, in the order of their arrival.
func (j *Judge) checkDuplicates(r *Request, attempts []Arrival) (broken []string) {
	for i := 1; i < len(attempts); i++ {
		first, last := attempts[i-1], attempts[i]
		if first.End == 0 || first.End > last.At+5 {
			broken = append(broken, fmt.Sprintf("duplicate: %s is out at %s and at %s", r.ID, first.Server, last.Server))
		}
	}
	ran := slices.IndexFunc(attempts, func(a Arrival) bool { return a.MayHaveRun })
	if ran < 0 || r.Idempotency == decide.Idempotent {
		return broken
	}
	if r.Idempotency == decide.NonIdempotent && r.Answer == "BUSY" {
		broken = append(broken, fmt.Sprintf("duplicate: %s was refused though it may have run at %s", r.ID, attempts[ran].Server))
	}
	for _, again := range attempts[ran+1:] {
		if r.Idempotency == decide.NonIdempotent || again.At-attempts[ran].At > j.DedupWindow+closeMargin {
			broken = append(broken, fmt.Sprintf("duplicate: %s ran at %s and came to %s %.0f ms later", r.ID, attempts[ran].Server, again.Server, again.At-attempts[ran].At))
		}
	}
	return broken
}

// checkAnswer checks that a request has its one answer in time. A process that was killed or stopped meanwhile owes none.
func (j *Judge) checkAnswer(r *Request) (broken []string) {
	switch {
	case r.Sent == 0, r.Closed > 0, anyOverlaps(j.processDown[r.Relay], r.Sent-100, r.Answered):
	case r.Answer == "":
		broken = append(broken, fmt.Sprintf("lost: %s of relay %d was closed on with no answer after %.2f s", r.ID, r.Relay, (r.Answered-r.Sent)/1000))
	case r.Answered > r.Sent+requestDeadline+answerMargin:
		broken = append(broken, fmt.Sprintf("lost: %s of relay %d had %s after %.2f s", r.ID, r.Relay, r.Answer, (r.Answered-r.Sent)/1000))
	}
	return broken
}

// wait sleeps for ms.
func wait(ms float64) { time.Sleep(time.Duration(ms * float64(time.Millisecond))) }
