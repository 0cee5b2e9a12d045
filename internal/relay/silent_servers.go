package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file finds connections whose server brings nothing back.

const (
	slowMessageAfter = 500.0  // an unanswered line is told to the module as a slow message after this
	silentAfter      = 4500.0 // and its connection is taken for silent: at 7 s it would be lost
)

// LineSent says that a line went to the server; see Heard.
func (r *Request) LineSent() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.unansweredSince == 0 {
		r.unansweredSince = r.table.Clock.NowMillis()
	}
}

// LineReceived says that a line came back from the server. What the oldest unanswered line waited for it is the
// time a message takes there now; the module is told when that is over a third of the shortest aim (where no
// class has one, over lateAfter), and at most once a second for each server.
func (r *Request) LineReceived() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.unansweredSince != 0 {
		r.noteDelay(r.table.Clock.NowMillis() - r.unansweredSince)
		r.unansweredSince = 0
	}
}

func (r *Request) noteDelay(delay float64) {
	least := slowMessageAfter
	for _, class := range r.table.deployment.Settings.Classes {
		if class.MessageLatencyObjective > 0 {
			least = min(least, Millis(class.MessageLatencyObjective)/3)
		}
	}
	now, s := r.table.Clock.NowMillis(), r.attempt.currentServer()
	if delay > least && now-s.delayNotedAt >= 1000 {
		s.delayNotedAt = now
		if r.table.Recorder != nil {
			r.table.Recorder.Put(&recorder.Record{At: now, Kind: recorder.MessageDelayed, Request: uint64(r.ID), Server: int32(s.Number), Elapsed: delay})
		}
		r.table.post(decide.MessageDelay{ID: r.ID, Server: s.Number, Delay: Duration(delay)})
	}
}

// sweepSilentServers looks for connections whose server brings nothing back. TCP says nothing when a machine vanishes,
// so the lines that came without an answer are all there is to go by.
func (t *RequestTable) sweepSilentServers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noticeProcessStop(t.Clock.NowMillis())
	t.checkEndpointLease()
	now := t.Clock.NowMillis()
	for _, r := range t.requests {
		if r.state != Established || r.unansweredSince == 0 || now-r.unansweredSince < slowMessageAfter {
			continue
		}
		r.noteDelay(now - r.unansweredSince)
		if now-r.unansweredSince >= silentAfter {
			r.serverSilent = true
			r.migrate(recorder.ServerSilent)
		}
	}
}
