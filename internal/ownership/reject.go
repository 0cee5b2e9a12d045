package ownership

import "time"

// RejectReason is why an acquisition is rejected. It is an error, to be compared with errors.Is.
type RejectReason uint8

// The reasons. ErrStaleToken and ErrUnknownStream are final for the client's token; after the others it stays
// valid.
const (
	ErrAlreadyOwned       RejectReason = iota // owned, being acquired or ended, by any relay
	ErrStaleToken                             // a client is known to have a later token
	ErrUnknownStream                          // no such record, or it never had that fencing token
	ErrServiceUnreachable                     // the service cannot be asked now
	ErrTimedOut                               // no reply by the deadline
)

var rejectReasons = [...]string{
	ErrAlreadyOwned:       "already owned",
	ErrStaleToken:         "stale token",
	ErrUnknownStream:      "unknown stream",
	ErrServiceUnreachable: "ownership service unreachable",
	ErrTimedOut:           "acquisition timed out",
}

// Error names the reason.
func (r RejectReason) Error() string { return nameOf(rejectReasons[:], int(r), "reject reason") }

// Retry times are drawn at random, as the streams of a relay that died all come at once.
const (
	// minOwnedRetry and ownedRetryDivisor: a stream that is owned is retried after 1 to 2 times the larger of
	// minOwnedRetry and the session's timeout over ownedRetryDivisor. That is within the session in which a
	// dead relay's ownership ends.
	minOwnedRetry     = 100 * time.Millisecond
	ownedRetryDivisor = 8
	// minServiceRetry: the service is retried after 1 to 3 times as much.
	minServiceRetry = 500 * time.Millisecond
)

// retryAfter is when the client is to retry; 0 if a retry would not help.
func (l *Lease) retryAfter(reason RejectReason) time.Duration {
	switch reason {
	case ErrAlreadyOwned:
		least := max(minOwnedRetry, l.sessionTimeout/ownedRetryDivisor)
		return scale(least, 1+l.rng.Float64())
	case ErrServiceUnreachable, ErrTimedOut:
		return scale(minServiceRetry, 1+2*l.rng.Float64())
	}
	return 0
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// reject answers the entry's caller, unless it has its answer, and detaches it. A holder that may have been
// created for it stays the entry's to clean up.
func (l *Lease) reject(e *entry, reason RejectReason) {
	if !e.answered {
		l.emit(AcquisitionRejected{Handle: e.handle, Reason: reason, RetryAfter: l.retryAfter(reason)})
	}
	l.detachCaller(e)
	if e.phase == waitingForService {
		l.removeEntry(e)
	}
}

// rejectAndRemove rejects a caller for whom nothing was created at the service.
func (l *Lease) rejectAndRemove(e *entry, reason RejectReason) {
	l.reject(e, reason)
	l.removeEntry(e)
}
