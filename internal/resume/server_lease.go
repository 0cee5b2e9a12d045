package resume

import (
	"capersail/internal/ownership"
	"capersail/internal/relay"
)

// leaseRenewFraction of a session is how often a server hears that it may go on.
const leaseRenewFraction = 1.0 / 8

// BeginAttempt begins an attempt at a server, which is told leases or not. It returns the first lease, 0 for none: a
// new stream has no token out that another relay could be shown.
func (st *Stream) BeginAttempt(leased bool) float64 {
	st.serverLeased, st.leaseSentAt = leased, 0
	if st.shownToken == 0 {
		return 0
	}
	return st.ServerLease()
}

// ServerLease is for how long the server may serve on without hearing of us, in ms; 0 if it need not be told now.
// Without it a relay that is stopped would leave its server serving while the next relay's does too. What the
// lease is longer than our trust by half of ownership.Grace, so that the client is told to move before its server
// ends the stream; the other half is for the lease's way to the server.
func (st *Stream) ServerLease() float64 {
	now := st.service.Clock.NowMillis()
	if !st.serverLeased || st.fencingToken.Load() == 0 || now-st.leaseSentAt < st.service.SessionTimeout*leaseRenewFraction {
		return 0
	}
	st.leaseSentAt = now
	return max(1, st.service.ValidUntil()-now+relay.Millis(ownership.ExpiryMargin)/2)
}
