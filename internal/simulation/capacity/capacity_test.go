package capacity

import (
	"math"
	"testing"
)

// A fit gives back the line its points lie on, and the least squares where they lie beside one.
func TestFit(t *testing.T) {
	on, err := Fit([]Point{{1, 5}, {2, 7}, {10, 23}})
	if err != nil || math.Abs(on.Slope-2) > 1e-9 || math.Abs(on.Constant-3) > 1e-9 {
		t.Errorf("%+v, %v", on, err)
	}
	beside, err := Fit([]Point{{0, 0}, {1, 2}, {2, 1}})
	if err != nil || math.Abs(beside.Slope-0.5) > 1e-9 || math.Abs(beside.Constant-0.5) > 1e-9 {
		t.Errorf("%+v, %v", beside, err)
	}
	for _, points := range [][]Point{nil, {{1, 1}}, {{3, 1}, {3, 2}}} {
		if _, err := Fit(points); err == nil {
			t.Errorf("%v: a line", points)
		}
	}
}

// A line comes to a limit where it says, at 0 if it begins over it, and never if it does not rise.
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
			t.Errorf("%+v reaches %v at %v, want %v", c.line, c.limit, got, c.want)
		}
	}
}

// An error is a part of what was measured, negative where the prediction was too low.
func TestRelativeError(t *testing.T) {
	if got := RelativeError(90, 100); math.Abs(got+0.1) > 1e-9 {
		t.Errorf("an error of %v", got)
	}
}
