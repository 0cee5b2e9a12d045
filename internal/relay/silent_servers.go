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
func (c *Request) LineSent() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.unansweredSince == 0 {
		c.unansweredSince = c.table.Clock.NowMillis()
	}
}

// LineReceived says that a line came back from the server. What the oldest unanswered line waited for it is the
// time a message takes there now; the module is told when that is over a third of the shortest aim (where no
// class has one, over lateAfter), and at most once a second for each server.
func (c *Request) LineReceived() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.unansweredSince != 0 {
		c.noteDelay(c.table.Clock.NowMillis() - c.unansweredSince)
		c.unansweredSince = 0
	}
}

func (c *Request) noteDelay(delay float64) {
	least := slowMessageAfter
	for _, class := range c.table.deployment.Settings.Classes {
		if class.MessageLatencyObjective > 0 {
			least = min(least, Millis(class.MessageLatencyObjective)/3)
		}
	}
	now, s := c.table.Clock.NowMillis(), c.attempt.currentServer()
	if delay > least && now-s.delayNotedAt >= 1000 {
		s.delayNotedAt = now
		if c.table.Recorder != nil {
			c.table.Recorder.Put(&recorder.Record{At: now, Kind: recorder.MessageDelayed, Request: uint64(c.ID), Server: int32(s.Number), Elapsed: delay})
		}
		c.table.post(decide.MessageDelay{ID: c.ID, Server: s.Number, Delay: Duration(delay)})
	}
}

// sweepSilentServers looks for connections whose server brings nothing back. TCP says nothing when a machine vanishes,
// so the lines that came without an answer are all there is to go by.
func (x *RequestTable) sweepSilentServers() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.noticeProcessStop(x.Clock.NowMillis())
	x.checkEndpointLease()
	now := x.Clock.NowMillis()
	for _, c := range x.requests {
		if c.state != Established || c.unansweredSince == 0 || now-c.unansweredSince < slowMessageAfter {
			continue
		}
		c.noteDelay(now - c.unansweredSince)
		if now-c.unansweredSince >= silentAfter {
			c.serverSilent = true
			c.migrate(recorder.ServerSilent)
		}
	}
}
