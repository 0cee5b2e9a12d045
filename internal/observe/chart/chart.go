// Package chart draws timelines as images with one panel per server and a common time axis. It is a package
// of its own because the drawing library is large and a serving relay does not need it.
package chart

import (
	"errors"
	"fmt"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
)

// MaxPanels is the maximum number of panels of an image.
const MaxPanels = 24

// ErrNothingToDraw means that the report has no intervals in the period of the query.
var ErrNothingToDraw = errors.New("nothing to draw: the timelines have no intervals in the requested period")

var stateColors = map[string]color.Color{
	"listed":   color.RGBA{200, 200, 200, 255},
	"warming":  color.RGBA{250, 200, 90, 255},
	"warm":     color.RGBA{120, 190, 120, 255},
	"draining": color.RGBA{120, 150, 220, 255},
	"gone":     color.RGBA{90, 90, 90, 255},
	"silent":   color.RGBA{160, 60, 160, 255},
	"left out": color.RGBA{210, 70, 60, 255},
}

var (
	loadColor      = color.RGBA{30, 60, 140, 255}
	placementColor = color.RGBA{60, 140, 60, 255}
	faultColor     = color.RGBA{200, 30, 30, 255}
	eventColor     = color.NRGBA{255, 60, 60, 60}
)

// Vertical positions on the load axis of a panel.
const (
	stateLow   = -0.35 // strip of states, below the load
	stateHigh  = -0.05
	placementY = 0.02
	// As multiples of the highest load that is drawn.
	faultHeight = 0.9
	eventHeight = 1.1
	panelHeight = 1.15
)

const (
	pictureWidth = 26 * vg.Centimeter
	rowHeight    = 4.2 * vg.Centimeter
)

// Write draws a report as an image in the format "png" or "svg". It returns ErrNothingToDraw if the report
// has no intervals.
func Write(w io.Writer, r *report.Report, format string) error {
	servers, axes := drawnServers(r)
	if len(servers) == 0 || axes.to <= axes.from {
		return ErrNothingToDraw
	}
	omitted := max(0, len(servers)-MaxPanels)
	servers = servers[:len(servers)-omitted]
	axes.highestLoad = highestLoad(servers)
	plots := make([][]*plot.Plot, len(servers))
	for i, s := range servers {
		p, err := drawPanel(s, axes)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		if i == 0 && omitted > 0 {
			p.Title.Text = fmt.Sprintf("%s   (%d more servers are not drawn)", p.Title.Text, omitted)
		}
		plots[i] = []*plot.Plot{p}
	}
	return encode(w, plots, format)
}

// axes holds the bounds that all panels of an image share.
type axes struct {
	from, to    float64 // Unix time in milliseconds
	highestLoad float64 // 1 at least
}

// drawnServers returns the servers that have intervals or states, and the period that their intervals span.
func drawnServers(r *report.Report) (servers []report.Server, a axes) {
	a.from, a.to = math.Inf(1), math.Inf(-1)
	for _, s := range r.Servers {
		if s.Name == timeline.FleetName || len(s.Intervals)+len(s.States) == 0 {
			continue
		}
		for _, interval := range s.Intervals {
			a.from = min(a.from, interval.From)
			a.to = max(a.to, interval.From+interval.Width)
		}
		servers = append(servers, s)
	}
	return servers, a
}

func highestLoad(servers []report.Server) float64 {
	highest := 1.0
	for _, s := range servers {
		for _, interval := range s.Intervals {
			highest = max(highest, float64(interval.Load[2]))
		}
	}
	return highest
}

func encode(w io.Writer, plots [][]*plot.Plot, format string) error {
	height := vg.Length(len(plots)) * rowHeight
	switch format {
	case "png":
		c := vgimg.New(pictureWidth, height)
		render(plots, draw.New(c))
		_, err := vgimg.PngCanvas{Canvas: c}.WriteTo(w)
		return err
	case "svg":
		c := vgsvg.New(pictureWidth, height)
		render(plots, draw.New(c))
		_, err := c.WriteTo(w)
		return err
	}
	return fmt.Errorf("format %q is neither png nor svg", format)
}

func render(plots [][]*plot.Plot, c draw.Canvas) {
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadTop: 3, PadBottom: 3, PadLeft: 6, PadRight: 12, PadY: 6}
	for i, row := range plot.Align(plots, tiles, c) {
		plots[i][0].Draw(row[0])
	}
}

// seconds converts Unix milliseconds to a time on the time axis.
func seconds(ms float64) float64 { return ms / 1000 }

// drawPanel draws one server: its load as a line, its states as a strip below the load, and its placements,
// faults and events as marks.
func drawPanel(s report.Server, a axes) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name
	p.Title.TextStyle.Font.Size = 10
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05"}
	p.X.Min, p.X.Max = seconds(a.from), seconds(a.to)
	p.Y.Min, p.Y.Max = stateLow-0.05, a.highestLoad*panelHeight
	p.Y.Label.Text = "load"
	if err := drawStates(p, s, a); err != nil {
		return nil, err
	}
	if err := drawEvents(p, s, a); err != nil {
		return nil, err
	}
	if err := drawLoad(p, s); err != nil {
		return nil, err
	}
	return p, drawMarks(p, s, a)
}

func drawStates(p *plot.Plot, s report.Server, a axes) error {
	for _, state := range s.States {
		area := a.clipBox(state.From, state.To, stateLow, stateHigh)
		if err := area.draw(p, stateColors[state.Name]); err != nil {
			return err
		}
	}
	return nil
}

func drawEvents(p *plot.Plot, s report.Server, a axes) error {
	for _, e := range s.Events {
		area := a.clipBox(e.From, e.To, 0, a.highestLoad*eventHeight)
		if err := area.draw(p, eventColor); err != nil {
			return err
		}
		at := plotter.XYs{{X: seconds(area.from), Y: a.highestLoad}}
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: at, Labels: []string{e.Name}})
		if err != nil {
			return err
		}
		p.Add(label)
	}
	return nil
}

// drawLoad draws the mean load as line segments, with gaps where there are no readings.
func drawLoad(p *plot.Plot, s report.Server) error {
	for _, segment := range loadSegments(s) {
		line, err := plotter.NewLine(segment)
		if err != nil {
			return err
		}
		line.Color = loadColor
		line.Width = 1.2
		p.Add(line)
	}
	return nil
}

// loadSegments returns runs of intervals with readings. A gap longer than two intervals separates two runs.
func loadSegments(s report.Server) (segments []plotter.XYs) {
	readTo := 0.0
	for _, interval := range s.Intervals {
		if interval.Readings == 0 {
			continue
		}
		if len(segments) == 0 || interval.From-readTo > 2*interval.Width {
			segments = append(segments, nil)
		}
		last := len(segments) - 1
		segments[last] = append(segments[last], plotter.XY{X: midpoint(interval),
			Y: float64(interval.Load[1])})
		readTo = interval.From + interval.Width
	}
	return segments
}

func midpoint(interval timeline.Interval) float64 { return seconds(interval.From + interval.Width/2) }

// drawMarks marks the intervals that had placements, and those that had faults.
func drawMarks(p *plot.Plot, s report.Server, a axes) error {
	var placements, faults plotter.XYs
	for _, interval := range s.Intervals {
		if interval.Placements > 0 {
			placements = append(placements, plotter.XY{X: midpoint(interval), Y: placementY})
		}
		if report.CountFaults(interval) > 0 {
			faults = append(faults, plotter.XY{X: midpoint(interval), Y: a.highestLoad * faultHeight})
		}
	}
	if err := drawScatter(p, placements, draw.PlusGlyph{}, placementColor); err != nil {
		return err
	}
	return drawScatter(p, faults, draw.CrossGlyph{}, faultColor)
}

func drawScatter(p *plot.Plot, at plotter.XYs, shape draw.GlyphDrawer, tint color.Color) error {
	if len(at) == 0 {
		return nil
	}
	dots, err := plotter.NewScatter(at)
	if err != nil {
		return err
	}
	dots.GlyphStyle = draw.GlyphStyle{Color: tint, Radius: 2.2, Shape: shape}
	p.Add(dots)
	return nil
}

// box is an area of a panel: from and to are in Unix milliseconds, low and high in load.
type box struct{ from, to, low, high float64 }

// clipBox returns an area clipped to the period of the image; a to of 0 means that the area has not ended.
func (a axes) clipBox(from, to, low, high float64) box {
	if to == 0 {
		to = a.to
	}
	return box{max(from, a.from), min(to, a.to), low, high}
}

func (b box) draw(p *plot.Plot, tint color.Color) error {
	if b.to <= b.from || tint == nil {
		return nil
	}
	left, right := seconds(b.from), seconds(b.to)
	polygon, err := plotter.NewPolygon(plotter.XYs{
		{X: left, Y: b.low},
		{X: right, Y: b.low},
		{X: right, Y: b.high},
		{X: left, Y: b.high},
	})
	if err != nil {
		return err
	}
	polygon.Color = tint
	polygon.LineStyle.Width = 0
	polygon.LineStyle.Color = color.Transparent
	p.Add(polygon)
	return nil
}
