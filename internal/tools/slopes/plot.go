package main

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // the SVG back end
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// yHeadroom extends the y axis so that the legend is above the highest point.
	// Otherwise the sample dot of the legend could be mistaken for a measured point.
	yHeadroom = 1.3
)

// plot writes an SVG file with the points and the fitted line between the outermost points.
func (s series) plot(dir string) error {
	p := plot.New()
	p.Title.Text = s.y + " against " + s.x
	p.X.Label.Text, p.Y.Label.Text = s.x, s.y
	p.Y.Min = 0
	points, line := make(plotter.XYs, len(s.points)), make(plotter.XYs, len(s.points))
	slope, intercept := fit(s.points)
	for i, v := range s.points {
		points[i] = plotter.XY{X: v.x, Y: v.y}
		line[i] = plotter.XY{X: v.x, Y: intercept + slope*v.x}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	fitted, err := plotter.NewLine(line)
	if err != nil {
		return err
	}
	p.Add(plotter.NewGrid(), fitted, dots)
	p.Legend.Add("measured", dots)
	p.Legend.Add("least squares", fitted)
	p.Y.Max *= yHeadroom
	p.Legend.Left, p.Legend.Top = true, true
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, s.file+".svg"))
}
