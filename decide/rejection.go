package decide

// rejectionRule gives the final answers to requests that get no server.
type rejectionRule struct {
	*environment
	requests    *requestTable
	keyFailures keyFailureCounts
}

// rejectRequest rejects a request, with a Retry-After that grows with the failures of its key here. Where a
// rejection, which says that a new attempt does no harm, could hide an effect, it fails the request.
func (j *rejectionRule) rejectRequest(r *request, reason RejectReason) {
	class := j.class(r)
	failures := j.keyFailures.recordFailure(r.Key)
	j.requests.endRequest(r)
	if r.mayHaveRunOn >= 0 && !class.Idempotency.RepeatIsHarmless(class.DedupScope) {
		j.emit(Fail{ID: r.ID, Reason: reason})
		return
	}
	wait := j.jitteredBackoff(class.LatencyObjective/2, failures, j.settings.MaxRetryAfter)
	if !j.settings.RetryAfter {
		wait = 0
	}
	j.emit(Reject{ID: r.ID, RetryAfter: wait, Reason: reason})
}
