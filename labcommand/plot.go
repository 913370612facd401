package labcommand

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// PlotCommand draws columns of a measurement as SVG.
type PlotCommand struct {
	File string `arg:"" help:"File of comma-separated values, as slopes writes them."`
	X    string `name:"x" default:"daemons" help:"Column of the horizontal axis."`
	Y    string `name:"y" default:"cpu_percent_of_a_core" help:"Column of the vertical axis."`
}

// Run writes a point for each run.
func (p *PlotCommand) Run(streams *Streams) error {
	points, err := p.read()
	if err != nil {
		return err
	}
	return draw(streams.Out, p.X, p.Y, points)
}

// point is one run.
type point struct {
	x float64
	y float64
}

// read reads the two columns.
func (p *PlotCommand) read() ([]point, error) {
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
	columns := map[string]int{}
	for i, name := range rows[0] {
		columns[name] = i
	}
	x, hasX := columns[p.X]
	y, hasY := columns[p.Y]
	if !hasX || !hasY {
		return nil, errors.Errorf("--x, --y: %s has the columns %v", p.File, rows[0])
	}
	var points []point
	for _, row := range rows[1:] {
		one := point{}
		if one.x, err = strconv.ParseFloat(row[x], 64); err != nil {
			return nil, errors.Wrapf(err, "column %s", p.X)
		}
		if one.y, err = strconv.ParseFloat(row[y], 64); err != nil {
			return nil, errors.Wrapf(err, "column %s", p.Y)
		}
		points = append(points, one)
	}
	return points, nil
}

// Sizes of a plot.
const (
	plotWidth  = 560.0
	plotHeight = 320.0
	plotMargin = 60.0
	plotTicks  = 4
)

// draw writes the plot. Both axes begin at 0.
func draw(out io.Writer, xName, yName string, points []point) error {
	largest := point{}
	for _, one := range points {
		largest.x = max(largest.x, one.x)
		largest.y = max(largest.y, one.y)
	}
	at := func(one point) (x, y float64) {
		x = plotMargin + one.x/largest.x*(plotWidth-2*plotMargin)
		y = plotHeight - plotMargin - one.y/largest.y*(plotHeight-2*plotMargin)
		return x, y
	}
	picture := fmt.Sprintf(`<svg xmlns="http://www.w3.org/2000/svg" width="%g" height="%g" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	picture += fmt.Sprintf(`<rect width="%g" height="%g" fill="white"/>`+"\n", plotWidth, plotHeight)
	for tick := range plotTicks + 1 {
		value := point{
			x: largest.x * float64(tick) / plotTicks,
			y: largest.y * float64(tick) / plotTicks,
		}
		x, y := at(value)
		picture += fmt.Sprintf(`<text x="%.0f" y="%g" text-anchor="middle">%.4g</text>`+"\n", x, plotHeight-plotMargin+18, value.x)
		picture += fmt.Sprintf(`<text x="%g" y="%.0f" text-anchor="end">%.4g</text>`+"\n", plotMargin-8, y+4, value.y)
		picture += fmt.Sprintf(`<line x1="%g" x2="%g" y1="%.0f" y2="%.0f" stroke="#ddd"/>`+"\n", plotMargin, plotWidth-plotMargin, y, y)
	}
	for _, one := range points {
		x, y := at(one)
		picture += fmt.Sprintf(`<circle cx="%.1f" cy="%.1f" r="4" fill="#2166ac" fill-opacity="0.6"/>`+"\n", x, y)
	}
	picture += fmt.Sprintf(`<text x="%g" y="%g" text-anchor="middle">%s</text>`+"\n", plotWidth/2, plotHeight-14, xName)
	picture += fmt.Sprintf(`<text x="%g" y="24">%s</text>`+"\n</svg>\n", plotMargin, yName)
	_, err := io.WriteString(out, picture)
	return errors.Wrap(err, "write plot")
}
