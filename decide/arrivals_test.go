package decide

import (
	"math"
	"testing"
	"time"
)

func TestRequestRateFollowsASurge(t *testing.T) {
	env := testEnvironment(settings())
	rate := &arrivalRate{environment: env}
	for range 60 { // one per second
		env.now += time.Second
		rate.recordRequest()
	}
	if got := rate.requestRate(); got < 0.5 || got > 2 {
		t.Errorf("rate after a minute of one request per second: %.2f, want 0.5 to 2", got)
	}
	for range 100 { // a hundred at once
		rate.recordRequest()
	}
	if got := rate.requestRate(); got < 30 {
		t.Errorf("rate after 100 requests at once: %.1f, want at least 30", got)
	}
	env.now += 10 * time.Second
	if got := rate.requestRate(); got > 5 {
		t.Errorf("rate ten windows after the surge: %.1f, want at most 5", got)
	}
}

// A relay that gets one request in ten seconds must not count the latest one as a rate of one per window.
func TestSingleRequestIsNoSurge(t *testing.T) {
	env := testEnvironment(settings())
	rate := &arrivalRate{environment: env}
	for range 6 {
		env.now += 10 * time.Second
		rate.recordRequest()
	}
	if got := rate.requestRate(); got > 0.25 {
		t.Errorf("rate with one request in ten seconds: %.2f per second, want at most 0.25", got)
	}
}

func TestMeanConnectionLife(t *testing.T) {
	env := testEnvironment(settings())
	rate := &arrivalRate{environment: env, requestsTotal: 119}
	if got := rate.meanConnectionLife(20); math.Abs(got-10) > 1e-9 { // 20 open, 2 per second for a minute
		t.Errorf("mean connection life: %.1f s, want 10", got)
	}
}
