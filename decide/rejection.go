package decide

// rejectionRule gives the final answer to requests that are not served.
type rejectionRule struct {
	*environment
	requests    *requestTable
	keyFailures keyFailureCounts
}

// rejectRequest rejects a request, with a Retry-After that grows with the failures of its key at this relay.
// A rejection tells the client that a new attempt is safe; if that is not certain, the request fails instead.
func (rule *rejectionRule) rejectRequest(r *request, reason RejectReason) {
	class := rule.class(r)
	failures := rule.keyFailures.recordFailure(r.Key)
	rule.requests.endRequest(r)
	if r.mayHaveRunOn >= 0 && !class.Idempotency.RepeatIsHarmless(class.DedupScope) {
		rule.emit(Fail{ID: r.ID, Reason: reason})
		return
	}
	wait := rule.jitteredBackoff(class.LatencyObjective/2, failures, rule.settings.MaxRetryAfter)
	if !rule.settings.RetryAfter {
		wait = 0
	}
	rule.emit(Reject{ID: r.ID, RetryAfter: wait, Reason: reason})
}
