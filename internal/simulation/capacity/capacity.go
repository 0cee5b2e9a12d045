// Package capacity holds the arithmetic of docs/CAPACITY.md: the sizes that the page computes with, straight
// lines fitted to measured points, and the error of a prediction where one was checked. Its tests measure the
// slopes that the page quotes, on the program and on its parts, and check the page's own sums. Only its tests
// use the package.
package capacity

import (
	"errors"
	"math"
)

// Size is the size of a deployment. Its values are totals over all relays unless a field says otherwise.
type Size struct {
	Relays      float64
	Connections float64 // client connections
	Deliveries  float64 // lines sent to clients a second
	Shards      float64 // shards of topics
	Listeners   float64 // listeners of the largest topic
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

// ConnectionsPerRelay returns the mean number of connections of a relay.
func (s Size) ConnectionsPerRelay() float64 { return s.Connections / s.Relays }

// DeliveriesPerRelay returns the mean number of lines that a relay delivers in a second.
func (s Size) DeliveriesPerRelay() float64 { return s.Deliveries / s.Relays }

// Point is one measured value at a size.
type Point struct{ Size, Value float64 }

// Line is a cost that is linear in the size: Slope x size + Constant.
type Line struct{ Slope, Constant float64 }

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Slope*size + l.Constant }

// SizeAt returns the size at which the cost reaches a limit: 0 if Constant is at the limit or above, +Inf if
// the cost never reaches it.
func (l Line) SizeAt(limit float64) float64 {
	switch {
	case l.Constant >= limit:
		return 0
	case l.Slope <= 0:
		return math.Inf(1)
	}
	return (limit - l.Constant) / l.Slope
}

// errTooFewPoints is returned if the points do not determine a line.
var errTooFewPoints = errors.New("fitting a line needs at least two points of different sizes")

// Fit returns the line of least squares through the points. It fails without two points of different sizes.
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

// RelativeError returns the error of a prediction as a fraction of the measured value; it is negative if the
// prediction was too low.
func RelativeError(predicted, measured float64) float64 { return predicted/measured - 1 }
