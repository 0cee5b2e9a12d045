package relay

import (
	"time"

	"capersail/internal/guard"
)

const (
	// processStoppedAfter is how long nothing runs here before the process counts as having been stopped:
	// the event loop checks each sweepInterval.
	processStoppedAfter = 4 * sweepInterval
	// ignoreReadsFor is how long after that lines may come that were written meanwhile.
	ignoreReadsFor = 200 * time.Millisecond
)

// endpointLeaseWatch is the lease of the endpoint list, and what tells whether this process has been
// running. The zero one never expires.
type endpointLeaseWatch struct {
	guard.EndpointLease
	checkedAt        time.Duration // when this process last checked the lease
	ignoreReadsUntil time.Duration // until when it may read what came while it was stopped
}

// LeaseEndpointList puts the endpoint list on a lease, which RenewEndpointLease renews: once it has expired
// nothing new is sent until discovery is heard again. pollWithin is the settings' time for a poll, 0 where
// lists are pushed.
func (t *RequestTable) LeaseEndpointList(pollWithin time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.lease = endpointLeaseWatch{EndpointLease: guard.NewEndpointLease(now, pollWithin), checkedAt: now}
	t.checkEndpointLease()
}

// RenewEndpointLease says that discovery has said something on a call that stands, and that what it said
// before has been taken in. What is read as a stopped process wakes may have waited for it all the while,
// so it confirms nothing: the next line does.
func (t *RequestTable) RenewEndpointLease() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.detectProcessStop(now)
	if now < t.lease.ignoreReadsUntil {
		return
	}
	age := t.lease.Age(now)
	t.lease.Renew(now)
	if t.endpoints.leaseExpired {
		t.Log.Info().Float64("list_age_ms", Millis(age)).
			Msg("endpoint list lease renewed, new requests are forwarded")
	}
	t.checkEndpointLease()
}

// RecordDiscoveryLoss says that a call to discovery has ended or brought nothing.
func (t *RequestTable) RecordDiscoveryLoss(loss guard.DiscoveryLoss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.RecordLoss(t.Clock.Now(), loss)
	t.checkEndpointLease()
}

// detectProcessStop notices that the process has been stopped. The caller holds the lock.
func (t *RequestTable) detectProcessStop(now time.Duration) {
	if stopped := now - t.lease.checkedAt; t.lease.Enabled() && stopped > processStoppedAfter {
		t.Log.Warn().Float64("stopped_ms", Millis(stopped)).
			Msg("process was stopped, discovery has to answer anew: " +
				"look for a pause or overload of the machine")
		t.lease.ignoreReadsUntil = now + ignoreReadsFor
	}
	t.lease.checkedAt = now
}

// checkEndpointLease tells the decision module once the lease expires or is renewed: to it, servers of an
// expired list drain. They keep what they have and get nothing new. The caller holds the lock.
func (t *RequestTable) checkEndpointLease() {
	now := t.Clock.Now()
	expired := !t.lease.Valid(now)
	if expired && !t.endpoints.leaseExpired {
		t.Log.Warn().Float64("list_age_ms", Millis(t.lease.Age(now))).
			Msg("endpoint list lease expired, new requests are rejected until discovery answers: check it")
	}
	t.endpoints.leaseExpired = expired
	if event := t.endpoints.refreshStates(); len(event.Endpoints) > 0 {
		t.post(event)
	}
}
