package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
)

// This file calls the guard with the current state of requests, and counts and logs denials and violations.
// Callers hold the table's lock.

// guardFacts returns the state of a request in the form that the guard uses. pending says whether the request
// is still pending.
func (r *Request) guardFacts(pending bool) guard.Request {
	settings := &r.table.deployment.Settings
	class := &settings.Classes[r.Class]
	return guard.Request{
		Pending:         pending,
		AttemptInFlight: r.lastAttempt.inFlight,
		MayHaveWritten:  r.lastAttempt.mayHaveWritten,
		Attempts:        r.attemptsStarted,
		MaxAttempts:     settings.MaxAttempts,
		MayHaveRun:      r.possibleRun.exists,
		MayHaveRunAt:    r.possibleRun.firstByteAt,
		MayHaveRunOn:    r.possibleRun.location,
		Idempotency:     class.Idempotency,
		DedupScope:      class.DedupScope,
		DedupWindow:     class.DedupWindow,
		Resumed:         r.resumed,
		OwnershipLost:   r.ownershipLost,
	}
}

// guardStatus returns the status of a server by the newest endpoint list. s is nil if no list has named the
// server.
func (s *Server) guardStatus() guard.ServerStatus {
	if s == nil {
		return guard.ServerStatus{}
	}
	return guard.ServerStatus{EverListed: true, Ready: s.state == decide.Ready, Location: s.location()}
}

// location returns the zone and the cell of a server.
func (s *Server) location() guard.Location { return guard.Location{Zone: s.zone, Cell: s.cell} }

// mayAttempt asks the guard whether an attempt of the request at a server may be started. s is nil if no list
// has named the server.
func (r *Request) mayAttempt(s *Server) guard.Denial {
	facts, lease := r.guardFacts(r.state == Queued), &r.table.lease.EndpointLease
	return guard.MayAttempt(r.table.Clock.Now(), facts, s.guardStatus(), lease)
}

// mayWrite asks the guard whether the first byte of an attempt may be written.
func (r *Request) mayWrite(attempt int) guard.Denial {
	pending := r.attemptInSetUp(attempt)
	clientGone := pending && r.clientConn.HasUnread()
	facts, lease := r.guardFacts(pending), &r.table.lease.EndpointLease
	server := r.lastAttempt.currentServer().guardStatus()
	return guard.MayWrite(r.table.Clock.Now(), r.lastAttempt.Deadline, facts, server, lease, clientGone)
}

// mayReject reports whether the request may be rejected, which promises the client that a retry is harmless.
func (r *Request) mayReject() bool { return guard.MayReject(r.guardFacts(true)) == guard.Allowed }

// recordDenial counts and logs a denial by the guard. s is nil if the denial concerns no server.
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
		Msg("guard denied an action on a request")
}

// recordViolation counts and logs the violation of an invariant, which is a bug in this program. s is nil if
// the violation concerns no server.
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
		Int("attempt", r.lastAttempt.Number).
		Msg("invariant violated: report this bug in capersail with this line")
}

// FirstLineWritten reports that the first line of an attempt has been written completely. It repeats the
// check of BeginWrite, because the write may have been delayed, and records a violation if the line was
// written too late.
func (r *Request) FirstLineWritten(attempt int) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.lastAttempt.Number != attempt || r.resumed {
		return
	}
	now, s := r.table.Clock.Now(), r.lastAttempt.currentServer()
	pastGrace := s.state != decide.Ready && now-s.unreadyAt > guard.DrainGrace
	if pastGrace || r.table.lease.MayViolateDrainRule(now) {
		r.recordViolation(guard.NoNewRequestAfterDrain, s)
	}
}
