package cluster

import (
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Panel is one picture of measurements: lines over a common axis.
type Panel struct {
	Title, X, Y string
	LogX        bool
	Names       []string
	Lines       []plotter.XYs
}

// Paint writes panels, one under the other, as SVG.
func Paint(path string, panels ...Panel) error {
	const width, height = 16 * vg.Centimeter, 7 * vg.Centimeter
	canvas := vgsvg.New(width, height*vg.Length(len(panels)))
	all := make([][]*plot.Plot, len(panels))
	for i, p := range panels {
		one := plot.New()
		one.Title.Text, one.X.Label.Text, one.Y.Label.Text = p.Title, p.X, p.Y
		one.Y.Min = 0
		if p.LogX {
			one.X.Scale, one.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: 0}
		}
		for j, xys := range p.Lines {
			line, points, err := plotter.NewLinePoints(xys)
			if err != nil {
				return fmt.Errorf("%s: %w", p.Title, err)
			}
			line.Color, points.Color, points.Shape = plotutil.Color(j), plotutil.Color(j), plotutil.Shape(j)
			one.Add(line, points)
			one.Legend.Add(p.Names[j], line, points)
		}
		one.Add(plotter.NewGrid())
		one.Legend.Top, one.Legend.Left = true, true
		all[i] = []*plot.Plot{one}
	}
	tiles := plot.Align(all, draw.Tiles{Rows: len(panels), Cols: 1, PadX: vg.Millimeter, PadY: 3 * vg.Millimeter}, draw.New(canvas))
	for i := range all {
		all[i][0].Draw(tiles[i][0])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
