// Package chart draws time lines: one panel a server, all on one axis of time. It stands by itself, since what draws
// is large, and a relay that serves has no use for it.
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

// MostPanels bounds a picture.
const MostPanels = 24

// ErrEmpty says that there is nothing to draw.
var ErrEmpty = errors.New("nothing to draw: no steps in the time asked for")

var bandColors = map[string]color.Color{
	"listed": color.RGBA{200, 200, 200, 255}, "warming": color.RGBA{250, 200, 90, 255}, "warm": color.RGBA{120, 190, 120, 255},
	"draining": color.RGBA{120, 150, 220, 255}, "gone": color.RGBA{90, 90, 90, 255}, "silent": color.RGBA{160, 60, 160, 255},
	"left out": color.RGBA{210, 70, 60, 255},
}

const (
	low  = -0.35 // where the strip of states lies under the load
	high = -0.05
)

// Write draws a report as "png" or "svg".
func Write(w io.Writer, r *report.Report, format string) error {
	from, to := math.Inf(1), math.Inf(-1)
	var servers []report.Server
	for _, s := range r.Servers {
		if s.Name == timeline.FleetName || len(s.Steps)+len(s.Bands) == 0 {
			continue
		}
		for _, x := range s.Steps {
			from, to = min(from, x.From), max(to, x.From+x.Width)
		}
		servers = append(servers, s)
	}
	if len(servers) == 0 || to <= from {
		return ErrEmpty
	}
	left := max(0, len(servers)-MostPanels)
	servers = servers[:len(servers)-left]
	plots := make([][]*plot.Plot, len(servers))
	top := 1.0
	for _, s := range servers {
		for _, x := range s.Steps {
			top = max(top, float64(x.Load[2]))
		}
	}
	for i, s := range servers {
		p, err := panel(s, from, to, top)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		if i == 0 && left > 0 {
			p.Title.Text = fmt.Sprintf("%s   (%d more servers are not drawn)", p.Title.Text, left)
		}
		plots[i] = []*plot.Plot{p}
	}
	width, height := 26*vg.Centimeter, vg.Length(len(servers))*4.2*vg.Centimeter
	tiles := draw.Tiles{Rows: len(servers), Cols: 1, PadTop: 3, PadBottom: 3, PadLeft: 6, PadRight: 12, PadY: 6}
	switch format {
	case "png":
		c := vgimg.New(width, height)
		render(plots, tiles, draw.New(c))
		_, err := vgimg.PngCanvas{Canvas: c}.WriteTo(w)
		return err
	case "svg":
		c := vgsvg.New(width, height)
		render(plots, tiles, draw.New(c))
		_, err := c.WriteTo(w)
		return err
	}
	return fmt.Errorf("format %q is neither png nor svg", format)
}

func render(plots [][]*plot.Plot, tiles draw.Tiles, c draw.Canvas) {
	for i, row := range plot.Align(plots, tiles, c) {
		plots[i][0].Draw(row[0])
	}
}

// seconds is a time on the axis.
func seconds(ms float64) float64 { return ms / 1000 }

// panel draws one server: load as a line, states as a strip under it, placements, faults and departures as marks.
func panel(s report.Server, from, to, top float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = s.Name
	p.Title.TextStyle.Font.Size = 10
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04:05"}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = seconds(from), seconds(to), low-0.05, top*1.15
	p.Y.Label.Text = "load"
	for _, b := range s.Bands {
		end := b.To
		if end == 0 {
			end = to
		}
		if err := box(p, max(b.From, from), min(end, to), low, high, bandColors[b.Name]); err != nil {
			return nil, err
		}
	}
	for _, e := range s.Events {
		end := e.To
		if end == 0 {
			end = to
		}
		if err := box(p, max(e.From, from), min(end, to), 0, top*1.1, color.NRGBA{255, 60, 60, 60}); err != nil {
			return nil, err
		}
		l, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: seconds(max(e.From, from)), Y: top}}, Labels: []string{e.Name}})
		if err != nil {
			return nil, err
		}
		p.Add(l)
	}
	var load []plotter.XYs // in pieces: where nothing was read nothing is drawn
	var placed, faulty plotter.XYs
	readTo := 0.0
	most := 1.0
	for _, x := range s.Steps {
		most = max(most, float64(x.Placements)/x.Width)
	}
	for _, x := range s.Steps {
		mid := seconds(x.From + x.Width/2)
		if x.Readings > 0 {
			if len(load) == 0 || x.From-readTo > 2*x.Width {
				load = append(load, nil)
			}
			n := len(load) - 1
			load[n], readTo = append(load[n], plotter.XY{X: mid, Y: float64(x.Load[1])}), x.From+x.Width
		}
		if x.Placements > 0 {
			placed = append(placed, plotter.XY{X: mid, Y: 0.02})
		}
		if report.Faults(x) > 0 {
			faulty = append(faulty, plotter.XY{X: mid, Y: top * 0.9})
		}
	}
	for _, piece := range load {
		line, err := plotter.NewLine(piece)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = color.RGBA{30, 60, 140, 255}, 1.2
		p.Add(line)
	}
	for _, marks := range []struct {
		at    plotter.XYs
		shape draw.GlyphDrawer
		tint  color.Color
	}{{placed, draw.PlusGlyph{}, color.RGBA{60, 140, 60, 255}}, {faulty, draw.CrossGlyph{}, color.RGBA{200, 30, 30, 255}}} {
		if len(marks.at) == 0 {
			continue
		}
		dots, err := plotter.NewScatter(marks.at)
		if err != nil {
			return nil, err
		}
		dots.GlyphStyle = draw.GlyphStyle{Color: marks.tint, Radius: 2.2, Shape: marks.shape}
		p.Add(dots)
	}
	return p, nil
}

func box(p *plot.Plot, from, to, y0, y1 float64, tint color.Color) error {
	if to <= from || tint == nil {
		return nil
	}
	b, err := plotter.NewPolygon(plotter.XYs{{X: seconds(from), Y: y0}, {X: seconds(to), Y: y0}, {X: seconds(to), Y: y1}, {X: seconds(from), Y: y1}})
	if err != nil {
		return err
	}
	b.Color, b.LineStyle.Width, b.LineStyle.Color = tint, 0, color.Transparent
	p.Add(b)
	return nil
}
