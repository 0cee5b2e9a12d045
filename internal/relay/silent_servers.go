package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file follows how long servers take to answer lines, and finds silent ones: those that send nothing
// back.

const (
	// slowMessageAfter is when an unanswered line counts as a slow message where no class has an objective.
	slowMessageAfter = 500 * time.Millisecond
	// silentAfter is when the server of an unanswered line counts as silent: at 7 s its connection would be
	// lost.
	silentAfter = 4500 * time.Millisecond
	// delayNoteInterval is how often at most the decision module is notified of slow messages at one server.
	delayNoteInterval = time.Second
)

// LineSent says that a line went to the server; see LineReceived.
func (r *Request) LineSent() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.established.unansweredSince == 0 {
		r.established.unansweredSince = r.table.Clock.Now()
	}
}

// LineReceived says that a line came back from the server. What the oldest unanswered line waited for it is
// the time that a message takes there now.
func (r *Request) LineReceived() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.established.unansweredSince != 0 {
		r.noteMessageDelay(r.table.Clock.Now() - r.established.unansweredSince)
		r.established.unansweredSince = 0
	}
}

// noteMessageDelay tells the decision module of a message that took, or takes already, over a third of the
// shortest objective. The caller holds the lock.
func (r *Request) noteMessageDelay(delay time.Duration) {
	now, s := r.table.Clock.Now(), r.attempt.currentServer()
	if delay <= r.table.deployment.slowMessageThreshold() || now-s.delayNotedAt < delayNoteInterval {
		return
	}
	s.delayNotedAt = now
	if r.table.Recorder != nil {
		r.recordMessageDelay(now, delay)
	}
	r.table.post(decide.MessageDelay{ID: r.ID, Server: s.Number, Delay: delay.Round(decisionPrecision)})
}

// slowMessageThreshold returns what a message may take that is not slow: a third of the shortest objective.
func (d *Deployment) slowMessageThreshold() time.Duration {
	threshold := slowMessageAfter
	for _, class := range d.Settings.Classes {
		if class.MessageLatencyObjective > 0 {
			threshold = min(threshold, class.MessageLatencyObjective/3)
		}
	}
	return threshold
}

// sweep finds connections whose server sends nothing back. TCP reports nothing when a machine vanishes, so
// the lines without an answer are all there is to go by. It also notices that the process was stopped,
// and that the lease of the endpoint list has expired.
func (t *RequestTable) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.noticeProcessStop(now)
	t.checkEndpointLease()
	for _, r := range t.requests.byID {
		if r.state != Established || r.established.unansweredSince == 0 {
			continue
		}
		waited := now - r.established.unansweredSince
		if waited < slowMessageAfter {
			continue
		}
		r.noteMessageDelay(waited)
		if waited >= silentAfter {
			r.established.serverSilent = true
			r.migrate(recorder.ServerSilent)
		}
	}
}
