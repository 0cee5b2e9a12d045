package relay

import "capersail/internal/guard"

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
