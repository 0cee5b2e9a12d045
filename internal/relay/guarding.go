package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
)

// guardFacts is what the guard is told of a call. The caller holds the lock.
func (c *Request) guardFacts(waiting bool) guard.Request {
	class := &c.table.deployment.Settings.Classes[c.Class]
	return guard.Request{
		Waiting:         waiting,
		AttemptInFlight: c.attemptInFlight,
		MayHaveWritten:  c.mayHaveWritten,
		Attempts:        c.attempts,
		MaxAttempts:     c.table.deployment.Settings.MaxAttempts,
		MayHaveRun:      c.mayHaveRun,
		MayHaveRunAt:    Duration(c.mayHaveRunAt),
		MayHaveRunOn:    c.mayHaveRunOn,
		Idempotency:     class.Idempotency,
		DedupScope:      class.DedupScope,
		DedupWindow:     class.DedupWindow,
		Resumed:         c.resumed,
		OwnershipLost:   c.ownershipLost,
	}
}

// guardStatus is a server as the guard is told of it, by the newest list.
func (s *Server) guardStatus() guard.ServerStatus {
	if s == nil {
		return guard.ServerStatus{}
	}
	return guard.ServerStatus{EverListed: true, Ready: s.mode == decide.Ready, Location: s.location()}
}

func (s *Server) location() guard.Location { return guard.Location{Zone: s.zone, Cell: s.cell} }

// recordDenial notes that something was not done for a call. The caller holds the lock.
func (c *Request) recordDenial(why guard.Denial, s *Server) {
	c.table.Denials.Add(why)
	event := c.table.Log.Debug()
	if why == guard.EndpointLeaseExpired || why == guard.OwnershipLost {
		event = c.table.Log.Info()
	}
	if !event.Enabled() {
		return
	}
	if s != nil {
		event = event.Str("server", s.ID)
	}
	event.Uint64("request", uint64(c.ID)).Str("id", c.Name).Int("attempt", c.attempts).Stringer("why", why).Msg("not sent")
}

// recordViolation counts and logs what was done against a rule: a fault of this program. The caller holds the lock.
func (c *Request) recordViolation(rule guard.Invariant, s *Server) {
	c.table.Violations.Add(rule)
	event := c.table.Log.Error()
	if s != nil {
		event = event.Str("server", s.ID).Str("zone", s.zone)
	}
	now := c.table.Clock.Now()
	event.Stringer("rule", rule).Uint64("request", uint64(c.ID)).Str("id", c.Name).Int("attempt", c.attempt.Number).
		Float64("list_age_ms", Millis(c.table.endpointLease.Age(now))).
		Float64("lapsed_ms", Millis(now-c.table.endpointLease.ValidUntil())).Msg("a rule is broken")
}

// FirstLineWritten says that the whole first line of an attempt has been written. It checks once more, after the act, what Begin was asked
// before it.
func (c *Request) FirstLineWritten(no int) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.attempt.Number != no || c.resumed {
		return
	}
	now, s := c.table.Clock.Now(), c.attempt.currentServer()
	if c.table.endpointLease.MayBreakDrainRule(now) || s.mode != decide.Ready && now-Duration(s.unreadyAt) > guard.DrainGrace {
		c.recordViolation(guard.NothingNewAfterDrain, s)
	}
}
