package duration

import (
	"math"
	"testing"
	"time"
)

// Scale rounds to the nearest nanosecond and saturates: an overflow would wrap a distant future instant to
// one in the past.
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
			t.Errorf("Scale(%d, %v) = %d, want %d", c.d, c.factor, got, c.want)
		}
	}
}

// Durations survive the conversion to milliseconds and back, and out-of-range values are clamped so that
// their sum does not overflow.
func TestMillisAndBack(t *testing.T) {
	for _, d := range []time.Duration{0, 1, -1, 1234567, time.Hour + 1, 1<<52 + 1, -time.Minute} {
		if got := FromMillis(Millis(d)); got != d {
			t.Errorf("FromMillis(Millis(%d)) = %d, want the same duration", d, got)
		}
	}
	if high, low := FromMillis(math.MaxFloat64), FromMillis(-math.MaxFloat64); high != 1<<60 ||
		low != -1<<60 || high+high < high {
		t.Errorf("clamped to %d and %d, want 1<<60 and -1<<60 ns", high, low)
	}
}
