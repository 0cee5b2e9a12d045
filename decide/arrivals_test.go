package decide

import (
	"math"
	"testing"
	"time"
)

func TestRequestRateFollowsASurge(t *testing.T) {
	env := testEnvironment(settings())
	rate := &arrivalRate{environment: env}
	for range 60 { // one a second
		env.now += time.Second
		rate.recordRequest()
	}
	if got := rate.requestRate(); got < 0.5 || got > 2 {
		t.Errorf("one request a second: %.2f", got)
	}
	for range 100 { // a hundred at once
		rate.recordRequest()
	}
	if got := rate.requestRate(); got < 30 {
		t.Errorf("a hundred within the window: %.1f", got)
	}
	env.now += 10 * time.Second
	if got := rate.requestRate(); got > 5 {
		t.Errorf("ten windows later: %.1f", got)
	}
}

// A relay that gets a request in ten seconds must not take the one it just got for a rate of one a window.
func TestSingleRequestIsNoSurge(t *testing.T) {
	env := testEnvironment(settings())
	rate := &arrivalRate{environment: env}
	for range 6 {
		env.now += 10 * time.Second
		rate.recordRequest()
	}
	if got := rate.requestRate(); got > 0.25 {
		t.Errorf("a request in ten seconds: %.2f a second", got)
	}
}

func TestMeanConnectionLife(t *testing.T) {
	env := testEnvironment(settings())
	rate := &arrivalRate{environment: env, requestsTotal: 119}
	if got := rate.meanConnectionLife(20); math.Abs(got-10) > 1e-9 { // 20 open, 2 a second for a minute
		t.Errorf("%.1f s, want 10", got)
	}
}
