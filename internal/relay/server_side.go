package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds the server side's methods of a call. Each names the attempt that it speaks for.

// Attach makes the attempt's end known, before it dials. It is false if the attempt is wanted no more.
func (c *Call) Attach(no int, r Remote) bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state != Trying || c.attempt.No != no || c.canceled {
		return false
	}
	c.remote = r
	return true
}

// Begin is asked just before the attempt's first byte is written. It is false if the server has begun to
// drain meanwhile (rule 3: half a second after the news nothing new may go there, and a dial can take that
// long), if the attempt is wanted no more, if the client has gone (its side may have had no time to read that), or if
// the time in which servers know a repeated request again is over: then nothing may be written.
func (c *Call) Begin(no int) bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	waiting := c.state == Trying && c.attempt.No == no && !c.canceled
	s := c.attempt.listed()
	denial := guard.MayWrite(c.x.Clock.Now(), c.attempt.Until, c.guarded(waiting), s.target(), &c.x.list, waiting && c.client.Pending())
	if denial != guard.Allowed {
		c.deny(denial, s)
		return false
	}
	c.begun, c.began = true, c.x.Clock.Now()
	c.x.figures.add(c.x.figures.sends, c.Class)
	return true
}

// Dialogue is the client's end for a front whose set-up is a conversation, once the attempt has begun; nil
// if the attempt is wanted no more.
func (c *Call) Dialogue(no int) Client {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state != Trying || c.attempt.No != no || c.canceled {
		return nil
	}
	return c.client
}

// Nudge wakes the server side, for which the client side has left something in what they share.
func (c *Call) Nudge() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.remote != nil && c.out {
		c.remote.Wake()
	}
}

// Reject gives the call its final answer from the server's side: the server will never take it, and no other
// server would. The attempt is to be ended as usual.
func (c *Call) Reject(no int, note string) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state == Trying && c.attempt.No == no {
		c.spoil(note)
	}
}

// Draining tells whether the attempt's server has begun to drain.
func (c *Call) Draining() bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	return c.attempt.listed().mode != decide.Ready
}

// Up says that the server has taken the connection. It returns the client's end, or nil if the client
// has left meanwhile; then the attempt is to be ended.
func (c *Call) Up(no int) Client {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state != Trying || c.attempt.No != no || c.canceled {
		return nil
	}
	c.state, c.wasUp = Up, true
	close(c.settled)
	c.x.figures.add(c.x.figures.answered, c.Class)
	if c.resumed {
		c.x.post(decide.Inherited{Request: c.request(), Backend: c.attempt.Server.Number})
	} else {
		c.x.post(decide.Opened{ID: c.ID, Attempt: no, Backend: c.attempt.Server.Number,
			Took: Duration(c.x.Clock.Now() - c.attempt.SentAt)})
	}
	if c.x.Tap != nil {
		c.x.Tap.Put(&recorder.Record{At: c.x.Clock.Now(), Kind: recorder.Up, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number),
			Took: c.x.Clock.Now() - c.attempt.SentAt, Attempt: uint8(min(no, 255))})
	}
	if c.x.refusing() {
		c.move(recorder.Leaving)
	}
	return c.client
}

// Broken says that the server has ended its connection. It comes before the client's is closed: that makes the
// client's goroutine say that the client has left, and the one to blame would be the wrong one.
func (c *Call) Broken() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	c.broken = c.state == Up
}

// Moving tells whether the client is to be sent away, and whether that is because the server is silent.
func (c *Call) Moving() (moving, silent bool) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	return c.moving, c.silent
}

// Over ends the attempt, exactly once, after its connection has been closed. Before the call is up it goes
// back to the module; after that it is the end of the call.
func (c *Call) Over(no int, status decide.Status, report decide.Report) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if !c.out || c.attempt.No != no {
		return
	}
	c.out = false
	if c.x.Tap != nil {
		c.tapEnd(status, report)
	}
	if (c.canceled || c.state == Ended) && !status.NeverRan() { // whatever else it met, it was called off
		status = decide.Cancelled
	}
	if !c.mayRun && !status.NeverRan() {
		c.mayRun, c.ranAt, c.ranOn = true, c.began, c.attempt.listed().place()
	}
	switch c.state {
	case Trying:
		c.state = Held
	case Up:
		c.state = Ended
	}
	if c.resumed && c.state == Held { // the module does not know it yet
		c.end(Answer{Kind: Failed, Cause: status})
		return
	}
	if c.state == Held {
		c.answer.Cause = status
	}
	c.x.post(decide.Outcome{ID: c.ID, Attempt: no, Backend: c.attempt.Server.Number, Status: status, Report: report,
		Took: Duration(c.x.Clock.Now() - c.attempt.SentAt), Closed: c.state == Ended})
	c.drop()
}

// Heard says that a line came back from the server. What the oldest unanswered line waited for it is the
// time a message takes there now; the module is told when that is over a third of the shortest aim (where no
// class has one, over lateAfter), and at most once a second for each server.
func (c *Call) Heard() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.asked != 0 {
		c.note(c.x.Clock.Now() - c.asked)
		c.asked = 0
	}
}

func (c *Call) note(delay float64) {
	least := lateAfter
	for _, class := range c.x.site.Settings.Classes {
		if class.Message > 0 {
			least = min(least, Millis(class.Message)/3)
		}
	}
	now, s := c.x.Clock.Now(), c.attempt.listed()
	if delay > least && now-s.notedAt >= 1000 {
		s.notedAt = now
		if c.x.Tap != nil {
			c.x.Tap.Put(&recorder.Record{At: now, Kind: recorder.Delay, Request: uint64(c.ID), Server: int32(s.Number), Took: delay})
		}
		c.x.post(decide.DelayNote{ID: c.ID, Backend: s.Number, Delay: Duration(delay)})
	}
}

// Load says that the server has told the connection's load, in microseconds of work a second.
func (c *Call) Load(x float64) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	c.x.post(decide.LoadNote{ID: c.ID, Backend: c.attempt.Server.Number, Load: x / 1e6})
}
