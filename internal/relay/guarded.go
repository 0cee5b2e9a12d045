package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
)

// This file asks the guard before each act of the Exchange, and holds the list of servers on its lease.

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

// LeaseEndpointList puts the list of servers on a lease, which Heard renews: once it has lapsed nothing new is sent until discovery is
// heard again. askWithin is the settings' time for asking, 0 where lists are pushed.
func (x *RequestTable) LeaseEndpointList(askWithin float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endpointLease = guard.NewEndpointLease(x.Clock.Now(), Duration(askWithin))
	x.leased, x.checkedAt = true, x.Clock.NowMillis()
	x.checkEndpointLease()
}

const (
	// processStoppedAfter is how long nothing runs here before the process counts as having been stopped: the core loop looks each sweepEvery.
	processStoppedAfter = 4 * sweepInterval
	// ignoreReadsFor is how long after that lines may come that were written meanwhile.
	ignoreReadsFor = 200.0
)

// RenewEndpointLease says that discovery has said something on a call that stands, and that what it said before has been taken in. What is read
// as a stopped process wakes may have waited for it all the while, so it confirms nothing: the next line does.
func (x *RequestTable) RenewEndpointLease() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.NowMillis()
	if x.noticeProcessStop(now); now < x.ignoreReadsUntil {
		return
	}
	age := Millis(x.endpointLease.Age(x.Clock.Now()))
	x.endpointLease.Renew(x.Clock.Now())
	if x.endpoints.leaseExpired {
		x.Log.Info().Float64("list_age_ms", age).Msg("the list of servers is confirmed again")
	}
	x.checkEndpointLease()
}

// noticeProcessStop notices that the process has been stopped. The caller holds the lock.
func (x *RequestTable) noticeProcessStop(now float64) {
	if x.leased && now-x.checkedAt > processStoppedAfter {
		x.Log.Warn().Float64("stopped_ms", now-x.checkedAt).Msg("this process has been stopped")
		x.ignoreReadsUntil = now + ignoreReadsFor
	}
	x.checkedAt = now
}

// RecordDiscoveryLoss says that a call to discovery has ended or brought nothing.
func (x *RequestTable) RecordDiscoveryLoss(why guard.DiscoveryLoss) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endpointLease.RecordLoss(x.Clock.Now(), why)
	x.checkEndpointLease()
}

// GuardStats are what operators see of the guard, since the process started.
type GuardStats struct {
	EndpointListAge      float64 // ms since discovery was last heard, 0 where the list is not held on a lease
	EndpointLeaseExpired bool
	Denials              map[string]uint64 // by what stood in the way
	Rejections           map[string]uint64 // by the module's reason
	Violations           map[string]uint64 // by rule
}

// GuardStats returns the figures of the guard.
func (x *RequestTable) GuardStats() GuardStats {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Clock.Now()
	f := GuardStats{EndpointListAge: Millis(x.endpointLease.Age(now)), EndpointLeaseExpired: !x.endpointLease.Valid(now),
		Denials: map[string]uint64{}, Rejections: map[string]uint64{}, Violations: map[string]uint64{}}
	for _, why := range guard.Denials() {
		f.Denials[why.String()] = x.Denials.Count(why)
	}
	for _, rule := range guard.Invariants() {
		f.Violations[rule.String()] = x.Violations.Count(rule)
	}
	for why, n := range x.counters.rejections {
		f.Rejections[decide.RejectReason(why).String()] = n
	}
	return f
}

// checkEndpointLease tells the module once the list lapses or is confirmed again: to it, servers of a lapsed list drain. They keep what they
// have and get nothing new. The caller holds the lock.
func (x *RequestTable) checkEndpointLease() {
	now := x.Clock.Now()
	lapsed := !x.endpointLease.Valid(now)
	if lapsed && !x.endpoints.leaseExpired {
		x.Log.Warn().Float64("list_age_ms", Millis(x.endpointLease.Age(now))).Msg("the list of servers cannot be confirmed; nothing new is sent by it")
	}
	x.endpoints.leaseExpired = lapsed
	if m := x.endpoints.refreshModes(); len(m.Endpoints) > 0 {
		x.post(m)
	}
}
