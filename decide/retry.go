package decide

import "time"

const (
	// retryTokensPerRequest is how many retry tokens a request earns its tenant; a retry costs one.
	retryTokensPerRequest = 0.2
	// maxRetryTokens is the most that a tenant saves up: no burst of retries after a calm.
	maxRetryTokens = 2.0
	// plannedAttempts is the most that this module plans for a request, whatever Settings.MaxAttempts allows:
	// the first and one retry.
	plannedAttempts = 2
	// minRetryTicks is the least time left, in ticks, in which a retry can be of use.
	minRetryTicks = 4
	// maxBackoffDoublings keeps the shift of a backoff within its type.
	maxBackoffDoublings = 16
)

// retryBudget is a bucket of retry tokens for each tenant; the last is that of requests without a tenant.
type retryBudget struct{ retryTokens []float64 }

func newRetryBudget(tenants int) *retryBudget {
	b := &retryBudget{retryTokens: make([]float64, tenants+1)}
	for i := range b.retryTokens {
		b.retryTokens[i] = maxRetryTokens
	}
	return b
}

// earn credits a tenant with a request.
func (b *retryBudget) earn(tenant Tenant) {
	b.retryTokens[tenant] = min(maxRetryTokens, b.retryTokens[tenant]+retryTokensPerRequest)
}

// has tells whether a tenant has a token for a retry.
func (b *retryBudget) has(tenant Tenant) bool { return b.retryTokens[tenant] >= 1 }

// spend takes a retry's token.
func (b *retryBudget) spend(tenant Tenant) { b.retryTokens[tenant]-- }

// retryRule decides what follows a failed attempt.
type retryRule struct {
	*environment
	budget     *retryBudget
	rejections *rejectionRule
}

// retryOrReject gives a request whose attempt failed its one retry after a backoff, or its final answer. A
// retry is stopped by the class (rule 2), the clock, the number of attempts or the tenant's budget, in this
// order. The backoff starts from a quarter of the latency objective and leaves most of the time that is left.
func (rule *retryRule) retryOrReject(r *request) {
	left := r.deadline - rule.now
	wait := rule.jitteredBackoff(rule.class(r).LatencyObjective/4, r.attempts-1, left/4)
	switch {
	case r.mayHaveRunOn >= 0 && rule.class(r).Idempotency == NonIdempotent:
		rule.rejections.rejectRequest(r, MayHaveRun)
	case left < minRetryTicks*rule.settings.Tick:
		rule.rejections.rejectRequest(r, DeadlineNear)
	case r.attempts >= min(plannedAttempts, rule.settings.MaxAttempts):
		rule.rejections.rejectRequest(r, AttemptsExhausted)
	case !rule.budget.has(r.Tenant):
		rule.rejections.rejectRequest(r, RetryBudgetExhausted)
	default:
		rule.budget.spend(r.Tenant)
		r.phase, r.wakeAt = phaseBackoff, rule.now+wait
		rule.setTimer(timerRequest, uint64(r.ID), wait)
	}
}

// jitteredBackoff is a full-jitter backoff: anything from 0 to a base that doubles with each failure, capped.
func (e *environment) jitteredBackoff(base time.Duration, failures int, most time.Duration) time.Duration {
	doubled := base << max(0, min(failures, maxBackoffDoublings))
	return time.Duration(e.rng.Float64() * float64(min(most, doubled)))
}
