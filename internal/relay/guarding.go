package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
)

// guardFacts is what the guard is told of a call. The caller holds the lock.
func (r *Request) guardFacts(waiting bool) guard.Request {
	class := &r.table.deployment.Settings.Classes[r.Class]
	return guard.Request{
		Waiting:         waiting,
		AttemptInFlight: r.attemptInFlight,
		MayHaveWritten:  r.mayHaveWritten,
		Attempts:        r.attempts,
		MaxAttempts:     r.table.deployment.Settings.MaxAttempts,
		MayHaveRun:      r.mayHaveRun,
		MayHaveRunAt:    Duration(r.mayHaveRunAt),
		MayHaveRunOn:    r.mayHaveRunOn,
		Idempotency:     class.Idempotency,
		DedupScope:      class.DedupScope,
		DedupWindow:     class.DedupWindow,
		Resumed:         r.resumed,
		OwnershipLost:   r.ownershipLost,
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
func (r *Request) recordDenial(why guard.Denial, s *Server) {
	r.table.Denials.Add(why)
	event := r.table.Log.Debug()
	if why == guard.EndpointLeaseExpired || why == guard.OwnershipLost {
		event = r.table.Log.Info()
	}
	if !event.Enabled() {
		return
	}
	if s != nil {
		event = event.Str("server", s.ID)
	}
	event.Uint64("request", uint64(r.ID)).Str("id", r.Name).Int("attempt", r.attempts).Stringer("why", why).Msg("not sent")
}

// recordViolation counts and logs what was done against a rule: a fault of this program. The caller holds the lock.
func (r *Request) recordViolation(rule guard.Invariant, s *Server) {
	r.table.Violations.Add(rule)
	event := r.table.Log.Error()
	if s != nil {
		event = event.Str("server", s.ID).Str("zone", s.zone)
	}
	now := r.table.Clock.Now()
	event.Stringer("rule", rule).Uint64("request", uint64(r.ID)).Str("id", r.Name).Int("attempt", r.attempt.Number).
		Float64("list_age_ms", Millis(r.table.endpointLease.Age(now))).
		Float64("lapsed_ms", Millis(now-r.table.endpointLease.ValidUntil())).Msg("a rule is broken")
}

// FirstLineWritten says that the whole first line of an attempt has been written. It checks once more, after the act, what Begin was asked
// before it.
func (r *Request) FirstLineWritten(no int) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.attempt.Number != no || r.resumed {
		return
	}
	now, s := r.table.Clock.Now(), r.attempt.currentServer()
	if r.table.endpointLease.MayBreakDrainRule(now) || s.mode != decide.Ready && now-Duration(s.unreadyAt) > guard.DrainGrace {
		r.recordViolation(guard.NothingNewAfterDrain, s)
	}
}
