package relay

import (
	"capersail/internal/observe/recorder"
)

// This file finds connections whose server brings nothing back.

const (
	lateAfter   = 500.0  // an unanswered line is told to the module as a slow message after this
	silentAfter = 4500.0 // and its connection is taken for silent: at 7 s it would be lost
)

// sweep looks for connections whose server brings nothing back. TCP says nothing when a machine vanishes,
// so the lines that came without an answer are all there is to go by.
func (x *Exchange) sweep() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.noticeStop(x.Clock.Now())
	x.checkList()
	now := x.Clock.Now()
	for _, c := range x.calls {
		if c.state != Up || c.asked == 0 || now-c.asked < lateAfter {
			continue
		}
		c.note(now - c.asked)
		if now-c.asked >= silentAfter {
			c.silent = true
			c.move(recorder.Silence)
		}
	}
}
