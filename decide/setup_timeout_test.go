package decide

import (
	"testing"
	"time"
)

func TestSetupTimeoutFollowsThePercentile(t *testing.T) {
	cases := []struct {
		name    string
		samples []time.Duration
		left    time.Duration
		want    time.Duration
	}{
		{"no samples: the latency objective", nil, 2 * time.Second, 300 * ms},
		{"near the median: three times the median", repeat(60*ms, 64), 2 * time.Second, 180 * ms},
		{"the percentile", append(repeat(20*ms, 63), 400*ms), 2 * time.Second, 400 * ms},
		{"no less than the connect time-out", repeat(2*ms, 64), 2 * time.Second, 100 * ms},
		{"within the time left", append(repeat(20*ms, 63), 400*ms), 250 * ms, 250 * ms},
	}
	for _, c := range cases {
		r := newRelay(t, settings(), 1, 2)
		for _, took := range c.samples {
			r.handle(Opened{ID: 999, SetupLatency: took})
		}
		req := newRequest(1)
		req.TimeLeft = c.left
		sends := actionsOf[Forward](r.answerProbes(r.handle(req), map[ServerID]float64{0: 0.1, 1: 0.1}))
		if len(sends) != 1 || sends[0].Timeout != c.want {
			t.Errorf("%s: forwards %v, want one with a time-out of %v", c.name, sends, c.want)
		}
	}
}

// A slow backend makes every set-up late, and a set-up that times out is never a sample: the time-out must
// grow, but not because of a single server that hangs.
func TestSetupTimeoutGrowsWhenNothingComes(t *testing.T) {
	loads := map[ServerID]float64{0: 0.1, 1: 0.1, 2: 0.1, 3: 0.1, 4: 0.1, 5: 0.1}
	lastTimeout := func(othersOpen bool) (timeout time.Duration) {
		r := newRelay(t, settings(), 4, 6)
		for range 64 {
			r.handle(Opened{ID: 999, SetupLatency: 40 * ms})
		}
		for id := RequestID(1); id < 8; id++ {
			sends := actionsOf[Forward](
				r.answerProbes(r.advance(3*time.Second).handle(newRequest(id)), loads))
			if len(sends) != 1 {
				t.Fatalf("request %d: forwards %v, want one", id, sends)
			}
			timeout = sends[0].Timeout
			r.handle(Outcome{
				ID:     id,
				Server: sends[0].Server,
				Status: TimedOut,
				Closed: true,
				Report: NoLoadReport,
			})
			if othersOpen {
				r.handle(Opened{ID: 999, SetupLatency: 40 * ms})
			}
		}
		return timeout
	}
	if someLate, allLate := lastTimeout(true), lastTimeout(false); someLate != 120*ms || allLate < 480*ms {
		t.Errorf(
			"time-out %v after some late set-ups, want 120 ms; %v after only late ones, want at least 480 ms",
			someLate, allLate)
	}
}

func repeat(d time.Duration, n int) (list []time.Duration) {
	for range n {
		list = append(list, d)
	}
	return list
}
