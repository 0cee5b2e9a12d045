package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file measures how long servers take to answer lines, and detects silent servers, which send no line
// back.

const (
	// slowMessageAfter is the time after which an unanswered line counts as a slow message if no class has a
	// latency objective for messages.
	slowMessageAfter = 500 * time.Millisecond
	// silentAfter is the time after which the server of an unanswered line counts as silent. The client has
	// to be migrated before 7 s, when its connection would be lost.
	silentAfter = 4500 * time.Millisecond
	// delayReportInterval is the minimum interval between two notifications of the decision module about slow
	// messages at the same server.
	delayReportInterval = time.Second
)

// LineSent reports that a line has been sent to the server; see LineReceived.
func (r *Request) LineSent() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.connection.unansweredSince == 0 {
		r.connection.unansweredSince = r.table.Clock.Now()
	}
}

// LineReceived reports that a line has been received from the server. The time since the oldest unanswered
// line was sent is taken as the server's current message latency.
func (r *Request) LineReceived() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.connection.unansweredSince != 0 {
		r.reportSlowMessage(r.table.Clock.Now() - r.connection.unansweredSince)
		r.connection.unansweredSince = 0
	}
}

// reportSlowMessage notifies the decision module of a message that has taken, or has already been waiting
// for, longer than slowMessageThreshold. The caller holds the lock.
func (r *Request) reportSlowMessage(delay time.Duration) {
	now, s := r.table.Clock.Now(), r.lastAttempt.currentServer()
	if delay <= r.table.deployment.slowMessageThreshold() || now-s.delayReportedAt < delayReportInterval {
		return
	}
	s.delayReportedAt = now
	if r.table.Recorder != nil {
		r.recordMessageDelay(now, delay)
	}
	r.table.post(decide.MessageDelay{ID: r.ID, Server: s.Number, Delay: delay.Round(decisionPrecision)})
}

// slowMessageThreshold returns the latency above which a message is slow: a third of the shortest latency
// objective for messages of any class, and at most slowMessageAfter.
func (d *Deployment) slowMessageThreshold() time.Duration {
	threshold := slowMessageAfter
	for _, class := range d.Settings.Classes {
		if class.MessageLatencyObjective > 0 {
			threshold = min(threshold, class.MessageLatencyObjective/3)
		}
	}
	return threshold
}

// sweep finds established connections whose server is silent. TCP does not report that a machine has
// vanished, so unanswered lines are the only sign. sweep also detects that the process was stopped, and that
// the lease of the endpoint list has expired.
func (t *RequestTable) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.requests.names.expire(now)
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
			r.migrate(recorder.ServerUnresponsive)
		}
	}
}
