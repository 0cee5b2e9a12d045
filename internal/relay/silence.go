package relay

import (
	"capersail/internal/observe/recorder"
)

// This file finds connections whose server brings nothing back.

const (
	slowMessageAfter = 500.0  // an unanswered line is told to the module as a slow message after this
	silentAfter      = 4500.0 // and its connection is taken for silent: at 7 s it would be lost
)

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
