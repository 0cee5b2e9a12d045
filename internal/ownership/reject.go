package ownership

// RejectReason a want is refused.
type RejectReason uint8

// The reasons. After Held, Unreachable and Slow the token stays good.
const (
	ErrAlreadyOwned       RejectReason = iota // it is served, or being taken on, elsewhere or here
	ErrStaleToken                             // a later token is known to have arrived
	ErrUnknownStream                          // the service has no such record, or none of that generation
	ErrServiceUnreachable                     // the service cannot be asked now
	ErrTimedOut                               // no answer in time
)

// retryAfter is when to come again. Nobody is told a time beyond the session in which a dead relay's claim ends,
// and the times are spread, as a dead relay's streams all come at once.
func (k *Lease) retryAfter(w RejectReason) float64 {
	switch w {
	case ErrAlreadyOwned:
		return max(100, k.sessionTimeout/8) * (1 + k.rng.Float64())
	case ErrServiceUnreachable, ErrTimedOut:
		return 500 * (1 + 2*k.rng.Float64())
	}
	return 0
}

// reject answers the caller and lets it go. What was made for it is cleaned up by the entry.
func (k *Lease) reject(e *entry, handle uint64, why RejectReason) {
	if !e.answered {
		k.emit(Rejected{handle, why, k.retryAfter(why)})
	}
	k.detachCaller(e)
	if e.phase == waitingForService {
		k.removeEntry(e)
	}
}

// rejectAndRemove refuses a caller whose stream nothing was made for.
func (k *Lease) rejectAndRemove(e *entry, why RejectReason) {
	k.reject(e, e.handle, why)
	k.removeEntry(e)
}
