package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
)

// This file hands the guard the facts of the moment, and counts and logs what it denies. Callers hold the
// table's lock.

// guardFacts returns the facts about a request.
func (r *Request) guardFacts(waiting bool) guard.Request {
	settings := &r.table.deployment.Settings
	class := &settings.Classes[r.Class]
	return guard.Request{
		Pending:         waiting,
		AttemptInFlight: r.latest.inFlight,
		MayHaveWritten:  r.latest.mayHaveWritten,
		Attempts:        r.attemptsStarted,
		MaxAttempts:     settings.MaxAttempts,
		MayHaveRun:      r.possibleRun.exists,
		MayHaveRunAt:    r.possibleRun.firstByteAt,
		MayHaveRunOn:    r.possibleRun.serverLocation,
		Idempotency:     class.Idempotency,
		DedupScope:      class.DedupScope,
		DedupWindow:     class.DedupWindow,
		Resumed:         r.resumed,
		OwnershipLost:   r.ownershipLost,
	}
}

// guardStatus returns what the newest endpoint list says of a server, nil for one that no list has named.
func (s *Server) guardStatus() guard.ServerStatus {
	if s == nil {
		return guard.ServerStatus{}
	}
	return guard.ServerStatus{EverListed: true, Ready: s.state == decide.Ready, Location: s.location()}
}

// location returns where a server is.
func (s *Server) location() guard.Location { return guard.Location{Zone: s.zone, Cell: s.cell} }

// mayAttempt tells whether an attempt of a request at a server may be started; nil is a server that no list
// has named.
func (r *Request) mayAttempt(s *Server) guard.Denial {
	facts, lease := r.guardFacts(r.state == Queued), &r.table.lease.EndpointLease
	return guard.MayAttempt(r.table.Clock.Now(), facts, s.guardStatus(), lease)
}

// mayWrite tells whether the first byte of an attempt may be written.
func (r *Request) mayWrite(attempt int) guard.Denial {
	waiting := r.attemptInSetUp(attempt)
	clientGone := waiting && r.clientConn.HasUnread()
	facts, lease := r.guardFacts(waiting), &r.table.lease.EndpointLease
	server := r.latest.currentServer().guardStatus()
	return guard.MayWrite(r.table.Clock.Now(), r.latest.Deadline, facts, server, lease, clientGone)
}

// mayReject tells whether a request may be rejected, which promises that a retry is harmless.
func (r *Request) mayReject() bool { return guard.MayReject(r.guardFacts(true)) == guard.Allowed }

// recordDenial counts and logs that something was not done for a request.
func (r *Request) recordDenial(denial guard.Denial, s *Server) {
	r.table.Denials.Add(denial)
	event := r.table.Log.Debug()
	if denial == guard.EndpointLeaseExpired || denial == guard.OwnershipLost {
		event = r.table.Log.Info()
	}
	if !event.Enabled() {
		return
	}
	if s != nil {
		event = event.Str("server", s.ID)
	}
	event.Uint64("request", uint64(r.ID)).
		Str("id", r.Name).
		Int("attempt", r.attemptsStarted).
		Stringer("reason", denial).
		Msg("denied by the guard")
}

// recordViolation counts and logs what was done against an invariant: a fault of this program.
func (r *Request) recordViolation(invariant guard.Invariant, s *Server) {
	r.table.Violations.Add(invariant)
	event := r.table.Log.Error()
	if s != nil {
		event = event.Str("server", s.ID).Str("zone", s.zone)
	}
	now, lease := r.table.Clock.Now(), &r.table.lease
	if lease.Enabled() {
		event = event.Float64("list_age_ms", Millis(lease.Age(now))).
			Float64("expired_ms", Millis(now-lease.ValidUntil()))
	}
	event.Stringer("invariant", invariant).
		Uint64("request", uint64(r.ID)).
		Str("id", r.Name).
		Int("attempt", r.latest.Number).
		Msg("invariant violated: a fault of this program, report it with this line")
}

// FirstLineWritten says that the complete first line of an attempt has been written. It checks once more,
// after the act, what BeginWrite checked before it.
func (r *Request) FirstLineWritten(attempt int) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.latest.Number != attempt || r.resumed {
		return
	}
	now, s := r.table.Clock.Now(), r.latest.currentServer()
	pastGrace := s.state != decide.Ready && now-s.unreadyAt > guard.DrainGrace
	if pastGrace || r.table.lease.MayViolateDrainRule(now) {
		r.recordViolation(guard.NoNewRequestAfterDrain, s)
	}
}
