package resume

import (
	"time"

	"capersail/internal/ownership"
)

// serverLease is the lease of a stream's server: how long it may serve on without hearing from this relay.
type serverLease struct {
	supported bool          // the server takes leases
	sentAt    time.Duration // of the last one
}

// leasesPerSession: a server's lease is renewed so often in a session.
const leasesPerSession = 8

func (s *Service) leaseRenewInterval() time.Duration { return s.SessionTimeout / leasesPerSession }

// serverLeaseMargin is by how much a server's lease outlasts this relay's, so that the client is migrated
// before its server ends the stream. The other half of the margin is for the lease's way to the
// server.
const serverLeaseMargin = ownership.ExpiryMargin / 2

// minServerLease is the shortest lease, as 0 stands for none.
const minServerLease = time.Millisecond

// BeginAttempt begins an attempt at a server, which takes leases or not. It returns the first lease, 0 for
// none: a new stream has no token out that another relay could be shown.
func (st *Stream) BeginAttempt(supported bool) time.Duration {
	st.serverLease = serverLease{supported: supported}
	if st.shownFencingToken == 0 {
		return 0
	}
	return st.ServerLease()
}

// ServerLease is for how long the server may serve on without hearing from this relay; 0 if no lease
// is due now. Without it, a relay that is stopped would leave its server serving while the next relay's does
// too.
func (st *Stream) ServerLease() time.Duration {
	s := st.service
	now := s.Clock.Now()
	due := now-st.serverLease.sentAt >= s.leaseRenewInterval()
	if !st.serverLease.supported || st.fencingToken.Load() == 0 || !due {
		return 0
	}
	st.serverLease.sentAt = now
	return max(minServerLease, s.ValidUntil()-now+serverLeaseMargin)
}
