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
	// delayReportInterval is how often at most the decision module is notified of slow messages at one
	// server.
	delayReportInterval = time.Second
)

// LineSent says that a line went to the server; see LineReceived.
func (r *Request) LineSent() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.connection.unansweredSince == 0 {
		r.connection.unansweredSince = r.table.Clock.Now()
	}
}

// LineReceived says that a line came back from the server. What the oldest unanswered line waited for it is
// the time that a message takes there now.
func (r *Request) LineReceived() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.connection.unansweredSince != 0 {
		r.reportSlowMessage(r.table.Clock.Now() - r.connection.unansweredSince)
		r.connection.unansweredSince = 0
	}
}

// reportSlowMessage tells the decision module of a message that took, or takes already, over a third of the
// shortest objective. The caller holds the lock.
func (r *Request) reportSlowMessage(delay time.Duration) {
	now, s := r.table.Clock.Now(), r.latest.currentServer()
	if delay <= r.table.deployment.slowMessageThreshold() || now-s.delayReportedAt < delayReportInterval {
		return
	}
	s.delayReportedAt = now
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
	t.detectProcessStop(now)
	t.checkEndpointLease()
	for _, r := range t.requests.byID {
		if r.state != Established || r.connection.unansweredSince == 0 {
			continue
		}
		waited := now - r.connection.unansweredSince
		if waited < slowMessageAfter {
			continue
		}
		r.reportSlowMessage(waited)
		if waited >= silentAfter {
			r.connection.serverSilent = true
			r.migrate(recorder.ServerSilent)
		}
	}
}
