// Package capacity holds the arithmetic of docs/CAPACITY.md: the sizes that the page reckons with, straight lines fitted to
// measured points, and how far a prediction was off where it was checked. Its tests measure the slopes that the page quotes,
// and check the page's own sums.
package capacity

import (
	"errors"
	"math"
)

// Size is how large a deployment is.
type Size struct {
	Relays      float64
	Connections float64 // of clients, over all relays
	Deliveries  float64 // lines to clients a second, over all relays
	Shards      float64 // of topics
	Listeners   float64 // of the largest topic
	Regions     float64
	Zones       float64
}

// Target is the size to design for.
func Target() Size {
	return Size{Relays: 1100, Connections: 57e6, Deliveries: 11e6, Shards: 75_000, Listeners: 1.2e6, Regions: 5, Zones: 17}
}

// ConnectionsPerRelay is the mean.
func (s Size) ConnectionsPerRelay() float64 { return s.Connections / s.Relays }

// DeliveriesPerRelay is the mean, a second.
func (s Size) DeliveriesPerRelay() float64 { return s.Deliveries / s.Relays }

// Point is one measurement: a value at a size.
type Point struct{ Size, Value float64 }

// Line is a cost by size: Slope x size + Constant.
type Line struct{ Slope, Constant float64 }

// At is what the line says at a size.
func (l Line) At(size float64) float64 { return l.Slope*size + l.Constant }

// Reaches is the size at which the line comes to a limit, +Inf where it never does.
func (l Line) Reaches(limit float64) float64 {
	switch {
	case l.Constant >= limit:
		return 0
	case l.Slope <= 0:
		return math.Inf(1)
	}
	return (limit - l.Constant) / l.Slope
}

// errPoints says that no line goes through what was measured.
var errPoints = errors.New("a line needs two points of different sizes")

// Fit is the straight line with the least squared distance to the points.
func Fit(points []Point) (Line, error) {
	n := float64(len(points))
	var size, value float64
	for _, p := range points {
		size += p.Size / n
		value += p.Value / n
	}
	var spread, together float64
	for _, p := range points {
		spread += (p.Size - size) * (p.Size - size)
		together += (p.Size - size) * (p.Value - value)
	}
	if len(points) < 2 || spread == 0 {
		return Line{}, errPoints
	}
	slope := together / spread
	return Line{Slope: slope, Constant: value - slope*size}, nil
}

// Error is how far a prediction lies from what was measured, as a part of the latter: negative where it was too low.
func Error(predicted, measured float64) float64 { return predicted/measured - 1 }
