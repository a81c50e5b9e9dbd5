package experiment

import (
	"image/color"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// plotWidth and plotHeight are the size of a plot.
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// legendWidthFactor widens the time axis to leave space for the legend.
	legendWidthFactor = 1.35
)

// plotFiles is the file that each series is drawn in; some share one.
var plotFiles = map[string]string{
	seriesInTime:   "in-time",
	seriesMedian:   "first-token",
	seriesTail:     "first-token",
	seriesPauses:   "pauses",
	seriesRejected: "refusals",
	seriesQueue:    "queues",
	seriesRun:      "running",
	seriesWarm:     "warm-tokens",
	seriesLoads:    "loads",
}

// plotLabels ends the legend of series that share a plot.
var plotLabels = map[string]string{seriesMedian: " p50", seriesTail: " p95"}

// picture is a plot being drawn, and its highest value.
type picture struct {
	plot    *plot.Plot
	highest float64
}

// draw draws all series into PNG files in the folder.
func (s Summary) draw(folder string) error {
	pictures := map[string]*picture{}
	var order []string
	for number, variant := range s.Variants {
		for _, line := range variant.Series {
			if len(line.Points) == 0 {
				continue
			}
			name := plotFiles[line.Name]
			if line.Class != "" {
				name += "-" + strings.ReplaceAll(line.Class, " ", "-")
			}
			if pictures[name] == nil {
				pictures[name] = s.picture(line)
				order = append(order, name)
			}
			if err := pictures[name].add(line, variant.Name, number); err != nil {
				return errors.Wrap(err, name)
			}
		}
	}
	for _, name := range order {
		if err := s.markLosses(pictures[name]); err != nil {
			return errors.Wrap(err, name)
		}
		if err := pictures[name].plot.Save(plotWidth, plotHeight, filepath.Join(folder, name+".png")); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

// picture begins the plot that a series is drawn in.
func (s Summary) picture(line Series) *picture {
	drawn := plot.New()
	drawn.Title.Text = s.Name + " (emulated): " + line.Name
	if line.Class != "" {
		drawn.Title.Text = s.Name + " (emulated), class " + line.Class + ": " + line.Name
	}
	if plotFiles[line.Name] == "first-token" {
		drawn.Title.Text = s.Name + " (emulated), class " + line.Class + ": first token, ms"
	}
	drawn.X.Label.Text = "time of arrival or look, s"
	drawn.Y.Label.Text = line.Name
	if plotLabels[line.Name] != "" {
		drawn.Y.Label.Text = "first token, ms"
	}
	drawn.Y.Min = 0
	drawn.X.Min = 0
	drawn.X.Max = line.Points[len(line.Points)-1].AtS * legendWidthFactor
	drawn.Legend.Top = true
	drawn.Add(plotter.NewGrid())
	return &picture{plot: drawn}
}

// add draws a series in the colour of its variant.
func (p *picture) add(curve Series, variant string, number int) error {
	points := make(plotter.XYs, len(curve.Points))
	for index, point := range curve.Points {
		points[index] = plotter.XY{X: point.AtS, Y: point.Value}
		p.highest = max(p.highest, point.Value)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(number)
	line.Width = vg.Points(1.5)
	if curve.Name == seriesTail {
		line.Dashes = plotutil.Dashes(1)
	}
	p.plot.Add(line)
	p.plot.Legend.Add(variant+plotLabels[curve.Name], line)
	return nil
}

// markLosses draws a line at each loss and each return.
func (s Summary) markLosses(p *picture) error {
	p.plot.Y.Max = max(p.highest*1.05, 0.01)
	for _, loss := range s.Losses {
		for _, at := range []float64{loss.AtS, loss.RestoreS} {
			if at == 0 {
				continue
			}
			line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: p.plot.Y.Max}})
			if err != nil {
				return err
			}
			line.Color = color.Gray{Y: 90}
			line.Dashes = plotutil.Dashes(2)
			p.plot.Add(line)
		}
	}
	return nil
}
