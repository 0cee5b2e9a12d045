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

// Panel is one chart of measurements: lines over a common axis.
type Panel struct {
	Title, X, Y string
	LogX        bool
	Names       []string // of the lines, for the legend
	Lines       []plotter.XYs
}

// WriteChart writes panels, one under the other, to a file as SVG.
func WriteChart(path string, panels ...Panel) error {
	const width, height = 16 * vg.Centimeter, 7 * vg.Centimeter
	canvas := vgsvg.New(width, height*vg.Length(len(panels)))
	plots := make([][]*plot.Plot, len(panels))
	for i, p := range panels {
		one, err := p.plot()
		if err != nil {
			return fmt.Errorf("%s: %w", p.Title, err)
		}
		plots[i] = []*plot.Plot{one}
	}
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadX: vg.Millimeter, PadY: 3 * vg.Millimeter}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
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

func (p Panel) plot() (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = p.Title
	chart.X.Label.Text = p.X
	chart.Y.Label.Text = p.Y
	chart.Y.Min = 0
	if p.LogX {
		chart.X.Scale = plot.LogScale{}
		chart.X.Tick.Marker = plot.LogTicks{Prec: 0}
	}
	for i, xys := range p.Lines {
		line, points, err := plotter.NewLinePoints(xys)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		points.Color = plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		chart.Add(line, points)
		chart.Legend.Add(p.Names[i], line, points)
	}
	chart.Add(plotter.NewGrid())
	chart.Legend.Top = true
	chart.Legend.Left = true
	return chart, nil
}
