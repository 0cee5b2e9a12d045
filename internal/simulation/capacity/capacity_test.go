package capacity

import (
	"math"
	"testing"
)

// Fit returns the line on which the points lie, or else the line of least squares.
func TestFit(t *testing.T) {
	on, err := Fit([]Point{{1, 5}, {2, 7}, {10, 23}})
	if err != nil || math.Abs(on.Slope-2) > 1e-9 || math.Abs(on.Constant-3) > 1e-9 {
		t.Errorf("fit of points on a line: got %+v, %v, want slope 2 and constant 3", on, err)
	}
	beside, err := Fit([]Point{{0, 0}, {1, 2}, {2, 1}})
	if err != nil || math.Abs(beside.Slope-0.5) > 1e-9 || math.Abs(beside.Constant-0.5) > 1e-9 {
		t.Errorf("fit of points beside a line: got %+v, %v, want slope and constant 0.5", beside, err)
	}
	for _, points := range [][]Point{nil, {{1, 1}}, {{3, 1}, {3, 2}}} {
		if _, err := Fit(points); err == nil {
			t.Errorf("fit of points %v returned a line, want an error", points)
		}
	}
}

// SizeAt returns the size where a line reaches the limit, 0 if the line starts above it, and +Inf if the line
// does not rise.
func TestSizeAt(t *testing.T) {
	for _, c := range []struct {
		line        Line
		limit, want float64
	}{
		{Line{2, 10}, 30, 10},
		{Line{0, 10}, 30, math.Inf(1)},
		{Line{-1, 10}, 30, math.Inf(1)},
		{Line{1, 40}, 30, 0},
	} {
		if got := c.line.SizeAt(c.limit); got != c.want {
			t.Errorf("line %+v reaches the limit %v at size %v, want %v", c.line, c.limit, got, c.want)
		}
	}
}

// RelativeError is a fraction of the measured value, negative if the prediction was too low.
func TestRelativeError(t *testing.T) {
	if got := RelativeError(90, 100); math.Abs(got+0.1) > 1e-9 {
		t.Errorf("got a relative error of %v, want -0.1", got)
	}
}
