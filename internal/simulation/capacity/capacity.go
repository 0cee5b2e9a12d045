// Package capacity holds the arithmetic of docs/CAPACITY.md: the sizes that the page computes with, straight
// lines fitted to measured points, and how far a prediction was off where it was checked. Its tests measure
// the slopes that the page quotes, on the program itself and on its parts, and check the page's own sums.
// Only they call it.
package capacity

import (
	"errors"
	"math"
)

// Size is how large a deployment is, over all its relays unless another whole is said.
type Size struct {
	Relays      float64
	Connections float64 // of clients
	Deliveries  float64 // lines to clients a second
	Shards      float64 // of topics
	Listeners   float64 // of the largest topic
	Regions     float64
	Zones       float64
}

// Target returns the size to design for.
func Target() Size {
	return Size{
		Relays:      1100,
		Connections: 57e6,
		Deliveries:  11e6,
		Shards:      75_000,
		Listeners:   1.2e6,
		Regions:     5,
		Zones:       17,
	}
}

// ConnectionsPerRelay returns the mean.
func (s Size) ConnectionsPerRelay() float64 { return s.Connections / s.Relays }

// DeliveriesPerRelay returns the mean, in lines a second.
func (s Size) DeliveriesPerRelay() float64 { return s.Deliveries / s.Relays }

// Point is one measurement: a value at a size.
type Point struct{ Size, Value float64 }

// Line is a cost by size: Slope x size + Constant.
type Line struct{ Slope, Constant float64 }

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Slope*size + l.Constant }

// Reaches returns the size at which the cost comes to a limit, 0 where it is over it from the start, +Inf
// where it never does.
func (l Line) SizeAt(limit float64) float64 {
	switch {
	case l.Constant >= limit:
		return 0
	case l.Slope <= 0:
		return math.Inf(1)
	}
	return (limit - l.Constant) / l.Slope
}

// errTooFewPoints says that no line can be fitted.
var errTooFewPoints = errors.New("a line needs two points of different sizes")

// Fit returns the straight line with the least squared distance to the points. It fails without two points of
// different sizes.
func Fit(points []Point) (Line, error) {
	n := float64(len(points))
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.Size / n
		meanValue += p.Value / n
	}
	var variance, covariance float64
	for _, p := range points {
		variance += (p.Size - meanSize) * (p.Size - meanSize)
		covariance += (p.Size - meanSize) * (p.Value - meanValue)
	}
	if len(points) < 2 || variance == 0 {
		return Line{}, errTooFewPoints
	}
	slope := covariance / variance
	return Line{Slope: slope, Constant: meanValue - slope*meanSize}, nil
}

// RelativeError returns how far a prediction is from what was measured, as a part of the latter: negative
// where it was too low.
func RelativeError(predicted, measured float64) float64 { return predicted/measured - 1 }
