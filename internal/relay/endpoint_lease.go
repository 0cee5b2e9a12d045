package relay

import "capersail/internal/guard"

// LeaseEndpointList puts the list of servers on a lease, which Heard renews: once it has lapsed nothing new is sent until discovery is
// heard again. askWithin is the settings' time for asking, 0 where lists are pushed.
func (t *RequestTable) LeaseEndpointList(askWithin float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpointLease = guard.NewEndpointLease(t.Clock.Now(), Duration(askWithin))
	t.leased, t.checkedAt = true, t.Clock.NowMillis()
	t.checkEndpointLease()
}

const (
	// processStoppedAfter is how long nothing runs here before the process counts as having been stopped: the core loop looks each sweepEvery.
	processStoppedAfter = 4 * sweepInterval
	// ignoreReadsFor is how long after that lines may come that were written meanwhile.
	ignoreReadsFor = 200.0
)

// RenewEndpointLease says that discovery has said something on a call that stands, and that what it said before has been taken in. What is read
// as a stopped process wakes may have waited for it all the while, so it confirms nothing: the next line does.
func (t *RequestTable) RenewEndpointLease() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.NowMillis()
	if t.noticeProcessStop(now); now < t.ignoreReadsUntil {
		return
	}
	age := Millis(t.endpointLease.Age(t.Clock.Now()))
	t.endpointLease.Renew(t.Clock.Now())
	if t.endpoints.leaseExpired {
		t.Log.Info().Float64("list_age_ms", age).Msg("the list of servers is confirmed again")
	}
	t.checkEndpointLease()
}

// noticeProcessStop notices that the process has been stopped. The caller holds the lock.
func (t *RequestTable) noticeProcessStop(now float64) {
	if t.leased && now-t.checkedAt > processStoppedAfter {
		t.Log.Warn().Float64("stopped_ms", now-t.checkedAt).Msg("this process has been stopped")
		t.ignoreReadsUntil = now + ignoreReadsFor
	}
	t.checkedAt = now
}

// RecordDiscoveryLoss says that a call to discovery has ended or brought nothing.
func (t *RequestTable) RecordDiscoveryLoss(why guard.DiscoveryLoss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpointLease.RecordLoss(t.Clock.Now(), why)
	t.checkEndpointLease()
}

// checkEndpointLease tells the module once the list lapses or is confirmed again: to it, servers of a lapsed list drain. They keep what they
// have and get nothing new. The caller holds the lock.
func (t *RequestTable) checkEndpointLease() {
	now := t.Clock.Now()
	lapsed := !t.endpointLease.Valid(now)
	if lapsed && !t.endpoints.leaseExpired {
		t.Log.Warn().Float64("list_age_ms", Millis(t.endpointLease.Age(now))).Msg("the list of servers cannot be confirmed; nothing new is sent by it")
	}
	t.endpoints.leaseExpired = lapsed
	if m := t.endpoints.refreshModes(); len(m.Endpoints) > 0 {
		t.post(m)
	}
}
