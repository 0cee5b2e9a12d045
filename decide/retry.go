package decide

import "time"

const (
	// retryTokensPerRequest is how many retry tokens a request earns its tenant; a retry costs one token.
	retryTokensPerRequest = 0.2
	// maxRetryTokens bounds the tokens of a tenant, so that a quiet period does not allow a burst of retries.
	maxRetryTokens = 2.0
	// maxPlannedAttempts is how many attempts this package plans for a request at most, even if
	// Settings.MaxAttempts allows more: the first attempt and one retry.
	maxPlannedAttempts = 2
	// minRetryTicks is the least time left, in ticks, for which a retry is worthwhile.
	minRetryTicks = 4
	// maxBackoffDoublings bounds the exponent of a backoff, which avoids an overflow.
	maxBackoffDoublings = 16
)

// retryBudget holds a bucket of retry tokens for each tenant. The last bucket is that of requests without a
// tenant.
type retryBudget struct{ retryTokens []float64 }

func newRetryBudget(tenants int) *retryBudget {
	b := &retryBudget{retryTokens: make([]float64, tenants+1)}
	for i := range b.retryTokens {
		b.retryTokens[i] = maxRetryTokens
	}
	return b
}

// addTokens credits a tenant with the tokens of one request.
func (b *retryBudget) addTokens(tenant Tenant) {
	b.retryTokens[tenant] = min(maxRetryTokens, b.retryTokens[tenant]+retryTokensPerRequest)
}

// hasToken reports whether a tenant has a token for a retry.
func (b *retryBudget) hasToken(tenant Tenant) bool { return b.retryTokens[tenant] >= 1 }

// spendToken takes the token for one retry.
func (b *retryBudget) spendToken(tenant Tenant) { b.retryTokens[tenant]-- }

// retryRule decides whether a failed attempt is retried.
type retryRule struct {
	*environment
	budget     *retryBudget
	rejections *rejectionRule
}

// retryOrReject gives a request whose attempt failed its one retry after a backoff, or its final answer. A
// retry is prevented by the request's class (rule 2), its deadline, the number of attempts or its tenant's
// retry budget, checked in this order. The base of the backoff is a quarter of the latency objective; the
// backoff uses at most a quarter of the time left.
func (rule *retryRule) retryOrReject(r *request) {
	left := r.deadline - rule.now
	wait := rule.jitteredBackoff(rule.class(r).LatencyObjective/4, r.attempts-1, left/4)
	switch {
	case r.mayHaveRunOn >= 0 && rule.class(r).Idempotency == NonIdempotent:
		rule.rejections.rejectRequest(r, MayHaveRun)
	case left < minRetryTicks*rule.settings.Tick:
		rule.rejections.rejectRequest(r, DeadlineNear)
	case r.attempts >= min(maxPlannedAttempts, rule.settings.MaxAttempts):
		rule.rejections.rejectRequest(r, AttemptsExhausted)
	case !rule.budget.hasToken(r.Tenant):
		rule.rejections.rejectRequest(r, RetryBudgetExhausted)
	default:
		rule.budget.spendToken(r.Tenant)
		r.phase, r.wakeAt = phaseBackoff, rule.now+wait
		rule.setTimer(timerRequest, uint64(r.ID), wait)
	}
}

// jitteredBackoff is an exponential backoff with full jitter: a random time between 0 and base, doubled with
// each failure, but no more than limit.
func (e *environment) jitteredBackoff(base time.Duration, failures int, limit time.Duration) time.Duration {
	doubled := base << max(0, min(failures, maxBackoffDoublings))
	return time.Duration(e.rng.Float64() * float64(min(limit, doubled)))
}
