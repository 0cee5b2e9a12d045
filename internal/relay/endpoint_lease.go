package relay

import (
	"time"

	"capersail/internal/guard"
)

const (
	// processStoppedAfter is the gap between two checks from which the process counts as having been stopped.
	// While it runs, the event loop checks every sweepInterval.
	processStoppedAfter = 4 * sweepInterval
	// ignoreReadsFor is how long after a stop the process may still read lines that discovery wrote during
	// the stop. Such lines do not renew the lease.
	ignoreReadsFor = 200 * time.Millisecond
)

// endpointLeaseWatch is the lease of the endpoint list, with the state that is needed to detect that this
// process has been stopped. The zero value never expires.
type endpointLeaseWatch struct {
	guard.EndpointLease
	checkedAt        time.Duration // when this process last checked the lease
	ignoreReadsUntil time.Duration // until then, lines may date from a stop and do not renew the lease
}

// EnableEndpointLease enables the lease of the endpoint list, which RenewEndpointLease renews. While the
// lease is expired, no new request is forwarded. pollWithin is the poll interval from the settings, 0 where
// lists are pushed.
func (t *RequestTable) EnableEndpointLease(pollWithin time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	t.lease = endpointLeaseWatch{EndpointLease: guard.NewEndpointLease(now, pollWithin), checkedAt: now}
	t.checkEndpointLease()
}

// RenewEndpointLease renews the lease of the endpoint list. Discovery calls it after it has read a line on an
// open call and has applied everything that it read before. A line that is read just after the process was
// stopped may be as old as the stop, so it does not renew the lease; a later line does.
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
			Msg("endpoint list lease renewed after an expiry, new requests are forwarded again")
	}
	t.checkEndpointLease()
}

// RecordDiscoveryLoss reports that a call to discovery has ended or has returned nothing.
func (t *RequestTable) RecordDiscoveryLoss(loss guard.DiscoveryLoss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease.RecordLoss(t.Clock.Now(), loss)
	t.checkEndpointLease()
}

// detectProcessStop checks whether the process has been stopped since the last check. The caller holds the
// lock.
func (t *RequestTable) detectProcessStop(now time.Duration) {
	if stopped := now - t.lease.checkedAt; t.lease.Enabled() && stopped > processStoppedAfter {
		t.Log.Warn().Float64("stopped_ms", Millis(stopped)).
			Msg("process was stopped, endpoint list must be confirmed by discovery again: " +
				"check the machine for a pause or an overload")
		t.lease.ignoreReadsUntil = now + ignoreReadsFor
	}
	t.lease.checkedAt = now
}

// checkEndpointLease notifies the decision module when the lease has expired or has been renewed. While the
// lease is expired, the module sees all ready servers as draining: they keep their connections and get no new
// requests. The caller holds the lock.
func (t *RequestTable) checkEndpointLease() {
	now := t.Clock.Now()
	expired := !t.lease.Valid(now)
	if expired && !t.endpoints.leaseExpired {
		t.Log.Warn().Float64("list_age_ms", Millis(t.lease.Age(now))).
			Msg("endpoint list lease expired, rejecting new requests: check that discovery is reachable")
	}
	t.endpoints.leaseExpired = expired
	if event := t.endpoints.refreshStates(); len(event.Endpoints) > 0 {
		t.post(event)
	}
}
