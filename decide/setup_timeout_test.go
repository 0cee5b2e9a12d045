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
		{"near the median: padded", repeat(60*ms, 64), 2 * time.Second, 180 * ms},
		{"the percentile", append(repeat(20*ms, 63), 400*ms), 2 * time.Second, 400 * ms},
		{"no less than a connection may take", repeat(2*ms, 64), 2 * time.Second, 100 * ms},
		{"within what is left", append(repeat(20*ms, 63), 400*ms), 250 * ms, 250 * ms},
	}
	for _, c := range cases {
		r := newRelay(t, settings(), 1, 2)
		for _, took := range c.samples {
			r.do(Opened{ID: 999, SetupLatency: took})
		}
		req := newRequest(1)
		req.TimeLeft = c.left
		sends := actionsOf[Forward](r.answer(r.do(req), map[ServerID]float64{0: 0.1, 1: 0.1}))
		if len(sends) != 1 || sends[0].Timeout != c.want {
			t.Errorf("%s: %v, want %v", c.name, sends, c.want)
		}
	}
}

// A slow store makes every set-up late, and one that timed out is never a sample: the time-out must give way,
// but not to a single server that hangs.
func TestSetupTimeoutGrowsWhenNothingComes(t *testing.T) {
	loads := map[ServerID]float64{0: 0.1, 1: 0.1, 2: 0.1, 3: 0.1, 4: 0.1, 5: 0.1}
	last := func(opens bool) (timeout time.Duration) {
		r := newRelay(t, settings(), 4, 6)
		for range 64 {
			r.do(Opened{ID: 999, SetupLatency: 40 * ms})
		}
		for id := RequestID(1); id < 8; id++ {
			sends := actionsOf[Forward](r.answer(r.advance(3*time.Second).do(newRequest(id)), loads))
			if len(sends) != 1 {
				t.Fatalf("request %d: %v", id, sends)
			}
			timeout = sends[0].Timeout
			r.do(Outcome{
				ID:     id,
				Server: sends[0].Server,
				Status: TimedOut,
				Closed: true,
				Report: NoLoadReport,
			})
			if opens {
				r.do(Opened{ID: 999, SetupLatency: 40 * ms})
			}
		}
		return timeout
	}
	if one, every := last(true), last(false); one != 120*ms || every < 480*ms {
		t.Errorf("time-out %v after some late set-ups, %v after nothing but late ones", one, every)
	}
}

func repeat(d time.Duration, n int) (list []time.Duration) {
	for range n {
		list = append(list, d)
	}
	return list
}
