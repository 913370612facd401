package labcommand

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// PlotCommand plots two columns of a measurement as SVG.
type PlotCommand struct {
	File string `arg:"" help:"File of comma-separated values, as slopes writes them."`
	X    string `name:"x" default:"daemons" help:"Column of the horizontal axis."`
	Y    string `name:"y" default:"cpu_percent_of_a_core" help:"Column of the vertical axis."`
}

// Run reads the columns and writes the plot, with a point for each row.
func (p *PlotCommand) Run(streams *Streams) error {
	points, err := p.readPoints()
	if err != nil {
		return err
	}
	return writePlot(streams.Out, p.X, p.Y, points)
}

// point is one row of a measurement, in the units of its columns.
type point struct {
	x float64
	y float64
}

// readPoints reads the two columns of the file.
func (p *PlotCommand) readPoints() ([]point, error) {
	file, err := os.Open(p.File)
	if err != nil {
		return nil, errors.Wrap(err, "read measurement")
	}
	defer func() {
		_ = file.Close()
	}()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, errors.Errorf("read %s: no comma-separated values: %v", p.File, err)
	}
	columnIndexes := map[string]int{}
	for i, name := range rows[0] {
		columnIndexes[name] = i
	}
	xColumn, hasXColumn := columnIndexes[p.X]
	yColumn, hasYColumn := columnIndexes[p.Y]
	if !hasXColumn || !hasYColumn {
		return nil, errors.Errorf("--x, --y: %s has the columns %v", p.File, rows[0])
	}
	var points []point
	for _, row := range rows[1:] {
		next := point{}
		if next.x, err = strconv.ParseFloat(row[xColumn], 64); err != nil {
			return nil, errors.Wrapf(err, "column %s", p.X)
		}
		if next.y, err = strconv.ParseFloat(row[yColumn], 64); err != nil {
			return nil, errors.Wrapf(err, "column %s", p.Y)
		}
		points = append(points, next)
	}
	return points, nil
}

// Sizes of a plot in pixels, and the number of intervals between the ticks of an
// axis.
const (
	plotWidthPixels  = 560.0
	plotHeightPixels = 320.0
	plotMarginPixels = 60.0
	plotIntervals    = 4
)

// writePlot writes a scatter plot as SVG. Both axes begin at 0.
func writePlot(out io.Writer, xLabel, yLabel string, points []point) error {
	axisMax := point{}
	for _, p := range points {
		axisMax.x = max(axisMax.x, p.x)
		axisMax.y = max(axisMax.y, p.y)
	}
	toPixels := func(p point) (x, y float64) {
		x = plotMarginPixels + p.x/axisMax.x*(plotWidthPixels-2*plotMarginPixels)
		y = plotHeightPixels - plotMarginPixels - p.y/axisMax.y*(plotHeightPixels-2*plotMarginPixels)
		return x, y
	}
	svg := fmt.Sprintf(`<svg xmlns="http://www.w3.org/2000/svg" width="%g" height="%g" font-family="sans-serif" font-size="12">`+"\n", plotWidthPixels, plotHeightPixels)
	svg += fmt.Sprintf(`<rect width="%g" height="%g" fill="white"/>`+"\n", plotWidthPixels, plotHeightPixels)
	for tick := range plotIntervals + 1 {
		tickValue := point{
			x: axisMax.x * float64(tick) / plotIntervals,
			y: axisMax.y * float64(tick) / plotIntervals,
		}
		x, y := toPixels(tickValue)
		svg += fmt.Sprintf(`<text x="%.0f" y="%g" text-anchor="middle">%.4g</text>`+"\n", x, plotHeightPixels-plotMarginPixels+18, tickValue.x)
		svg += fmt.Sprintf(`<text x="%g" y="%.0f" text-anchor="end">%.4g</text>`+"\n", plotMarginPixels-8, y+4, tickValue.y)
		svg += fmt.Sprintf(`<line x1="%g" x2="%g" y1="%.0f" y2="%.0f" stroke="#ddd"/>`+"\n", plotMarginPixels, plotWidthPixels-plotMarginPixels, y, y)
	}
	for _, p := range points {
		x, y := toPixels(p)
		svg += fmt.Sprintf(`<circle cx="%.1f" cy="%.1f" r="4" fill="#2166ac" fill-opacity="0.6"/>`+"\n", x, y)
	}
	svg += fmt.Sprintf(`<text x="%g" y="%g" text-anchor="middle">%s</text>`+"\n", plotWidthPixels/2, plotHeightPixels-14, xLabel)
	svg += fmt.Sprintf(`<text x="%g" y="24">%s</text>`+"\n</svg>\n", plotMarginPixels, yLabel)
	_, err := io.WriteString(out, svg)
	return errors.Wrap(err, "write plot")
}
