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
	// legendWidthFactor extends the time axis to make room for the legend.
	legendWidthFactor = 1.35
)

// plotFiles maps each series to its file, without suffix. Some series share a file.
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

// plotLabels holds the legend suffixes of series that share a plot.
var plotLabels = map[string]string{seriesMedian: " p50", seriesTail: " p95"}

// chart is a plot under construction, and its highest value.
type chart struct {
	plot    *plot.Plot
	highest float64
}

// draw writes the plots of all series as PNG files to the directory.
func (s Summary) draw(directory string) error {
	charts := map[string]*chart{}
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
			if charts[name] == nil {
				charts[name] = s.newChart(line)
				order = append(order, name)
			}
			if err := charts[name].add(line, variant.Name, number); err != nil {
				return errors.Wrap(err, name)
			}
		}
	}
	for _, name := range order {
		if err := s.markLosses(charts[name]); err != nil {
			return errors.Wrap(err, name)
		}
		if err := charts[name].plot.Save(plotWidth, plotHeight, filepath.Join(directory, name+".png")); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

// newChart returns an empty chart for a series.
func (s Summary) newChart(line Series) *chart {
	figure := plot.New()
	figure.Title.Text = s.Name + " (emulated): " + line.Name
	if line.Class != "" {
		figure.Title.Text = s.Name + " (emulated), class " + line.Class + ": " + line.Name
	}
	if plotFiles[line.Name] == "first-token" {
		figure.Title.Text = s.Name + " (emulated), class " + line.Class + ": first token, ms"
	}
	figure.X.Label.Text = "time of arrival or sample, s"
	figure.Y.Label.Text = line.Name
	if plotLabels[line.Name] != "" {
		figure.Y.Label.Text = "first token, ms"
	}
	figure.Y.Min = 0
	figure.X.Min = 0
	figure.X.Max = line.Points[len(line.Points)-1].AtS * legendWidthFactor
	figure.Legend.Top = true
	figure.Add(plotter.NewGrid())
	return &chart{plot: figure}
}

// add draws a series in the color of its variant.
func (c *chart) add(curve Series, variant string, number int) error {
	points := make(plotter.XYs, len(curve.Points))
	for index, point := range curve.Points {
		points[index] = plotter.XY{X: point.AtS, Y: point.Value}
		c.highest = max(c.highest, point.Value)
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
	c.plot.Add(line)
	c.plot.Legend.Add(variant+plotLabels[curve.Name], line)
	return nil
}

// markLosses draws a vertical line at each loss and each recovery.
func (s Summary) markLosses(c *chart) error {
	c.plot.Y.Max = max(c.highest*1.05, 0.01)
	for _, loss := range s.Losses {
		for _, at := range []float64{loss.AtS, loss.RestoreS} {
			if at == 0 {
				continue
			}
			line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: c.plot.Y.Max}})
			if err != nil {
				return err
			}
			line.Color = color.Gray{Y: 90}
			line.Dashes = plotutil.Dashes(2)
			c.plot.Add(line)
		}
	}
	return nil
}
