package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file carries out what the decision module wants of calls.

// send does what the module wants: one more attempt. What the rules forbid is never sent.
func (x *Exchange) send(id decide.RequestID, to decide.Backend, timeout float64, pool []decide.View) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.calls[id]
	if denial := x.mayTry(c, to); denial != guard.Allowed {
		x.post(decide.Outcome{ID: id, Backend: to, Status: decide.Moot, Closed: c == nil || c.state != Held, Report: decide.NoReport})
		return
	}
	c.try(x.roster.servers[to], timeout)
	if x.Tap != nil {
		c.tapPlace(pool)
	}
}

// mayTry tells whether an attempt of a call that the module wants may be started. The caller holds the lock.
func (x *Exchange) mayTry(c *Call, to decide.Backend) guard.Denial {
	if c == nil {
		return guard.NotWaiting
	}
	var s *Server
	if to >= 0 && int(to) < len(x.roster.servers) {
		s = x.roster.servers[to]
	}
	denial := guard.MayTry(x.Clock.Now(), c.guarded(c.state == Held), s.target(), &x.list)
	if denial != guard.Allowed {
		c.deny(denial, s)
	}
	return denial
}

// finish gives a request the module's final answer. It comes too late for one that is up or ended.
func (x *Exchange) finish(id decide.RequestID, a Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.calls[id]
	if c == nil || guard.MayAnswer(c.state == Ended, c.state == Up) != guard.Allowed {
		return
	}
	if a.Kind == Refused && guard.MayRefuse(c.guarded(true)) != guard.Allowed {
		c.violated(guard.Promise, nil)
		a.Kind = Failed
	}
	if a.why != decide.NoReason && a.why <= decide.NotAgain {
		x.figures.refusals[a.why]++
	}
	c.end(a)
}

// overdue is the backstop behind the module: a request that has no answer well after its deadline fails.
func (x *Exchange) overdue(id decide.RequestID) (late bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.calls[id]
	if c == nil || c.state == Up || c.state == Ended {
		return false
	}
	x.post(decide.Gone{ID: id})
	c.end(Answer{Kind: Failed, Cause: decide.TimedOut, by: recorder.Late})
	return true
}

// move asks the server side to send a client away politely.
func (x *Exchange) move(id decide.RequestID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.calls[id]; c != nil {
		c.move(recorder.Module)
	}
}

func (c *Call) move(by recorder.By) {
	if c.state == Up && !c.moving {
		c.moving = true
		if c.x.Tap != nil {
			c.x.Tap.Put(&recorder.Record{At: c.x.Clock.Now(), Kind: recorder.Move, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number), By: by})
		}
		c.remote.Wake()
	}
}

// cancel stops the wait for an attempt.
func (x *Exchange) cancel(id decide.RequestID, no int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.calls[id]; c != nil && c.state == Trying && c.attempt.No == no {
		c.canceled = true
		if c.remote != nil {
			c.remote.Close(Clean)
		}
	}
}
