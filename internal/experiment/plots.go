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
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	legendRoom = 1.35
)

var files = map[string]string{
	seriesInTime: "in-time", seriesMedian: "first-token", seriesTail: "first-token", seriesPauses: "pauses", seriesRefuse: "refusals",
	seriesQueue: "queues", seriesRun: "running", seriesWarm: "warm-tokens", seriesLoads: "loads",
}

var labels = map[string]string{seriesMedian: " p50", seriesTail: " p95"}

type picture struct {
	plot    *plot.Plot
	highest float64
}

func (s Summary) draw(folder string) error {
	pictures := map[string]*picture{}
	var order []string
	for number, variant := range s.Variants {
		for _, one := range variant.Series {
			if len(one.Points) == 0 {
				continue
			}
			name := files[one.Name]
			if one.Class != "" {
				name += "-" + strings.ReplaceAll(one.Class, " ", "-")
			}
			if pictures[name] == nil {
				pictures[name] = s.picture(one)
				order = append(order, name)
			}
			if err := pictures[name].add(one, variant.Name, number); err != nil {
				return errors.Wrap(err, name)
			}
		}
	}
	for _, name := range order {
		if err := s.mark(pictures[name]); err != nil {
			return errors.Wrap(err, name)
		}
		if err := pictures[name].plot.Save(plotWidth, plotHeight, filepath.Join(folder, name+".png")); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func (s Summary) picture(one Series) *picture {
	drawn := plot.New()
	drawn.Title.Text = s.Name + " (emulated): " + one.Name
	if one.Class != "" {
		drawn.Title.Text = s.Name + " (emulated), class " + one.Class + ": " + one.Name
	}
	if files[one.Name] == "first-token" {
		drawn.Title.Text = s.Name + " (emulated), class " + one.Class + ": first token, ms"
	}
	drawn.X.Label.Text = "time of arrival or look, s"
	drawn.Y.Label.Text = one.Name
	if labels[one.Name] != "" {
		drawn.Y.Label.Text = "first token, ms"
	}
	drawn.Y.Min, drawn.X.Min, drawn.X.Max = 0, 0, one.Points[len(one.Points)-1].AtS*legendRoom
	drawn.Legend.Top = true
	drawn.Add(plotter.NewGrid())
	return &picture{plot: drawn}
}

func (p *picture) add(one Series, variant string, number int) error {
	points := make(plotter.XYs, len(one.Points))
	for index, point := range one.Points {
		points[index] = plotter.XY{X: point.AtS, Y: point.Value}
		p.highest = max(p.highest, point.Value)
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(number)
	line.Width = vg.Points(1.5)
	if one.Name == seriesTail {
		line.Dashes = plotutil.Dashes(1)
	}
	p.plot.Add(line)
	p.plot.Legend.Add(variant+labels[one.Name], line)
	return nil
}

func (s Summary) mark(p *picture) error {
	p.plot.Y.Max = max(p.highest*1.05, 0.01)
	for _, loss := range s.Losses {
		for _, at := range []float64{loss.AtS, loss.BackS} {
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
