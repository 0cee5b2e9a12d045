package resume

import (
	"time"

	"capersail/internal/ownership"
)

// serverLease is the state of the leases for a stream's server. A lease is the time for which the server may
// continue to serve the stream without a message from this relay.
type serverLease struct {
	supported bool          // the server accepts leases
	sentAt    time.Duration // time of the last lease sent
}

// leasesPerSession is how often a server's lease is renewed within SessionTimeout.
const leasesPerSession = 8

func (s *Service) leaseRenewInterval() time.Duration { return s.SessionTimeout / leasesPerSession }

// serverLeaseMargin is the time by which a server's lease outlasts this relay's lease, so that the client is
// migrated before its server ends the stream. The other half of ExpiryMargin is for the transmission of the
// lease to the server.
const serverLeaseMargin = ownership.ExpiryMargin / 2

// minServerLease is the shortest lease that is sent; 0 means no lease.
const minServerLease = time.Millisecond

// BeginAttempt starts an attempt at a server; supported tells whether the server accepts leases. It returns
// the first lease, 0 for none. A new stream needs none, as its client has no token yet to resume it at
// another relay.
func (st *Stream) BeginAttempt(supported bool) time.Duration {
	st.serverLease = serverLease{supported: supported}
	if st.clientFencingToken == 0 {
		return 0
	}
	return st.ServerLease()
}

// ServerLease returns the time for which the server may continue without a message from this relay; 0 if no
// lease is due now. Without leases, the server of a stopped relay would continue to serve the stream while
// the server of the next relay serves it too.
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
