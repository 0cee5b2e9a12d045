package duration

import (
	"math"
	"testing"
	"time"
)

// Scale rounds to the nearest nanosecond and keeps to what a Duration holds: an overflow would put an
// instant before all others in place of after them.
func TestScaleRoundsAndSaturates(t *testing.T) {
	for _, c := range []struct {
		d      time.Duration
		factor float64
		want   time.Duration
	}{
		{4 * time.Second, 0.95, 3800 * time.Millisecond},
		{3, 0.5, 2},
		{-3, 0.5, -2},
		{DistantFuture, 1, DistantFuture},
		{DistantFuture, 2, DistantFuture},
		{DistantPast, 1, DistantPast},
		{DistantFuture, -2, DistantPast},
		{time.Second, 0, 0},
	} {
		if got := Scale(c.d, c.factor); got != c.want {
			t.Errorf("%d times %v is %d, want %d", c.d, c.factor, got, c.want)
		}
	}
}

// A time goes through milliseconds and back without change, and one out of all reason leaves room for sums.
func TestMillisAndBack(t *testing.T) {
	for _, d := range []time.Duration{0, 1, -1, 1234567, time.Hour + 1, 1<<52 + 1, -time.Minute} {
		if got := FromMillis(Millis(d)); got != d {
			t.Errorf("%d came back as %d", d, got)
		}
	}
	if high, low := FromMillis(math.MaxFloat64), FromMillis(-math.MaxFloat64); high != 1<<60 ||
		low != -1<<60 || high+high < high {
		t.Errorf("out of bounds: %d and %d", high, low)
	}
}
