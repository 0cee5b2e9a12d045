package ownership

import "time"

// RejectReason is the reason why an acquisition is rejected. It is an error, to be compared with errors.Is.
type RejectReason uint8

// The reasons. After ErrStaleToken and ErrUnknownStream the client's resume token can never be used again;
// after the other reasons it stays valid.
const (
	ErrAlreadyOwned       RejectReason = iota // a relay owns the stream, or is acquiring or ending it
	ErrStaleToken                             // the client is known to have a later token
	ErrUnknownStream                          // the stream has no record, or never had that fencing token
	ErrServiceUnreachable                     // the ownership service cannot be reached
	ErrTimedOut                               // the service did not reply by the deadline
)

var rejectReasons = [...]string{
	ErrAlreadyOwned:       "already owned",
	ErrStaleToken:         "stale token",
	ErrUnknownStream:      "unknown stream",
	ErrServiceUnreachable: "ownership service unreachable",
	ErrTimedOut:           "acquisition timed out",
}

// Error returns the name of the reason.
func (r RejectReason) Error() string { return nameOf(rejectReasons[:], int(r), "reject reason") }

// Retry times are random, as all streams of a failed relay are resumed at the same time.
const (
	// minOwnedRetry and ownedRetryDivisor set the retry time for a stream that is already owned: 1 to 2 times
	// the larger of minOwnedRetry and the session timeout divided by ownedRetryDivisor. This is
	// shorter than a session timeout, after which the ownership of a failed relay ends.
	minOwnedRetry     = 100 * time.Millisecond
	ownedRetryDivisor = 8
	// minServiceRetry sets the retry time for an unreachable or slow service: 1 to 3 times minServiceRetry.
	minServiceRetry = 500 * time.Millisecond
)

// retryAfter returns the time after which the client should retry; 0 if a retry would not help.
func (l *Lease) retryAfter(reason RejectReason) time.Duration {
	switch reason {
	case ErrAlreadyOwned:
		base := max(minOwnedRetry, l.sessionTimeout/ownedRetryDivisor)
		return scale(base, 1+l.rng.Float64())
	case ErrServiceUnreachable, ErrTimedOut:
		return scale(minServiceRetry, 1+2*l.rng.Float64())
	}
	return 0
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// reject rejects the entry's caller, unless it already received StreamAcquired, and detaches it. The entry
// stays if a holder may have been created for the caller, so that the holder is cleaned up.
func (l *Lease) reject(e *streamEntry, reason RejectReason) {
	if !e.acquiredEmitted {
		l.emit(AcquisitionRejected{Handle: e.callerHandle, Reason: reason, RetryAfter: l.retryAfter(reason)})
	}
	l.detachCaller(e)
	if e.phase == phaseWaitingForService {
		l.removeEntry(e)
	}
}

// rejectAndRemove rejects a caller for which no holder was created, and removes its entry.
func (l *Lease) rejectAndRemove(e *streamEntry, reason RejectReason) {
	l.reject(e, reason)
	l.removeEntry(e)
}
