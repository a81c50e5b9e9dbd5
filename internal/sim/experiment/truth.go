package experiment

import (
	"math"
	"strings"

	"ferryspar/internal/sim/emulator"
)

const (
	// overPeriod separates the name of a figure from its period. Forecasts are stored under the name without the period.
	overPeriod = ", over "
	// figurePerReplica is the name of the figure that is compared replica by replica.
	figurePerReplica = "requests moved to a replica, mean of all left"
)

// forecastValues returns the forecasts of a figure by a method, one per seed, or nil if the method does not forecast it.
func forecastValues(results []emulator.Result, method, name string, seeds []int) []float64 {
	var found []float64
	key, _, _ := strings.Cut(name, overPeriod)
	for _, seed := range seeds {
		value, known := results[seed].Losses[0].Forecasts[method][key]
		if !known {
			return nil
		}
		found = append(found, value)
	}
	return found
}

// withErrors returns the comparison with the estimates derived from the absolute errors.
func (c Comparison) withErrors(absolute []float64) Comparison {
	c.AbsoluteError, c.MeanTruth = estimate(absolute), estimate(c.Truth)
	if c.MeanTruth.Mean == 0 {
		return c
	}
	relative := make([]float64, len(absolute))
	for index, value := range absolute {
		relative[index] = value / math.Abs(c.MeanTruth.Mean)
	}
	measured := estimate(relative)
	c.RelativeError = &measured
	return c
}

const (
	// flagBiased marks a mean error that differs significantly from 0, by its confidence interval.
	flagBiased = "biased"
	// flagWorse marks an absolute error significantly larger than that of the baseline MethodOtherSeeds.
	flagWorse = "worse than other seeds"
)

// withFlags returns the comparison with its flags. base is the comparison of MethodOtherSeeds, or nil to omit flagWorse.
func (c Comparison) withFlags(base *Comparison) Comparison {
	if math.Abs(c.Error.Mean) > c.Error.HalfWidth {
		c.Flags = append(c.Flags, flagBiased)
	}
	if base == nil {
		return c
	}
	excess := make([]float64, len(c.Truth))
	for index, truth := range c.Truth {
		excess[index] = math.Abs(c.Forecast[index]-truth) - math.Abs(base.Forecast[index]-truth)
	}
	if difference := estimate(excess); difference.Mean > difference.HalfWidth {
		c.Flags = append(c.Flags, flagWorse)
	}
	return c
}

// perReplica compares the destinations of the interrupted requests, replica by replica. It returns nil if the method does not
// forecast them.
func perReplica(results []emulator.Result, method string, size int) []Comparison {
	comparison := Comparison{Figure: figurePerReplica, Method: method, Size: size}
	var absolute, errors []float64
	for _, result := range results {
		loss := result.Losses[0]
		truth := 0.0
		forecast := 0.0
		absoluteError := 0.0
		for _, replica := range loss.Surviving {
			value, known := loss.Forecasts[method][emulator.FigureMovedTo+replica]
			if !known {
				return nil
			}
			moved := float64(loss.MovedTo[replica])
			truth += moved
			forecast += value
			absoluteError += math.Abs(value - moved)
		}
		left := float64(max(len(loss.Surviving), 1))
		comparison.Truth = append(comparison.Truth, truth/left)
		comparison.Forecast = append(comparison.Forecast, forecast/left)
		absolute = append(absolute, absoluteError/left)
		errors = append(errors, (forecast-truth)/left)
	}
	comparison.Error = estimate(errors)
	return []Comparison{comparison.withErrors(absolute).withFlags(nil)}
}

// placementFigures returns the outcomes of the interrupted requests, and the number of loads from the loss until end.
func placementFigures(withLoss emulator.Result, end float64) []measurement {
	loss := withLoss.Losses[0]
	moved := 0
	for _, amount := range loss.MovedTo {
		moved += amount
	}
	return []measurement{
		{emulator.FigureInterrupted, float64(loss.Interrupted)},
		{emulator.FigureContinuing, float64(moved)},
		{emulator.FigurePlaced, float64(moved)},
		{emulator.FigureRegionBound, float64(loss.RegionBound)},
		{emulator.FigureFull, float64(loss.FullReplicas)},
		{emulator.FigureLoads, loadedBetween(withLoss, loss.AtS, end)},
	}
}

// loadedBetween returns the number of loads between two times, according to the samples.
func loadedBetween(result emulator.Result, from, to float64) float64 {
	before, after := 0, 0
	for _, sample := range result.Samples {
		if sample.AtS <= from {
			before = sample.StoreLoads + sample.DiskLoads
		}
		if sample.AtS <= to {
			after = sample.StoreLoads + sample.DiskLoads
		}
	}
	return float64(after - before)
}

// firstTokenFigures returns the shares and the times to first token of a class, before and after the loss.
func (c Configuration) firstTokenFigures(withLoss, withoutLoss emulator.Result, number int) []measurement {
	at := withLoss.Losses[0].AtS
	class := c.Scenarios[0].Classes[number]
	var found []measurement
	add := func(name, during string, value float64) {
		if !math.IsNaN(value) {
			found = append(found, measurement{class.Name + ": " + name + during, value})
		}
	}
	first := countWindow(withLoss, class, number, at, at+emulator.FirstPhaseS)
	add(emulator.AfterLossNotLoaded, duringFirst, share(first.notLoaded, first.sent))
	add(emulator.AfterLossWaiting, duringFirst, share(first.waited, first.sent))
	if len(class.AllowedRegions) > 0 {
		add(emulator.AfterLossRegionBound, duringFirst, share(first.unserved, first.sent))
	}
	before := countWindow(withoutLoss, class, number, at-c.InFlightS, at)
	rest := countWindow(withLoss, class, number, at+emulator.FirstPhaseS, at+c.AfterS)
	for _, window := range []struct {
		during string
		found  windowCounts
		names  quantileNames
	}{
		{"", before, namesNow},
		{duringFirst, first, namesThen},
		{duringRest, rest, namesThen},
	} {
		add(window.names.missed, window.during, share(window.found.missed, window.found.sent))
		if window.found.firsts.TotalCount() == 0 {
			continue
		}
		add(window.names.median, window.during, quantile(window.found.firsts, 50))
		add(window.names.tail, window.during, quantile(window.found.firsts, 90))
		add(window.names.last, window.during, quantile(window.found.firsts, 99))
	}
	return found
}

// Suffixes of figure names for the periods after a loss.
const (
	duringFirst = overPeriod + "the first 5 s"
	duringRest  = overPeriod + "the rest of the loss"
)

// quantileNames holds the names of the figures of the time to first token in one period.
type quantileNames struct{ missed, median, tail, last string }

var (
	// namesNow and namesThen are the names of the figures before and after the loss.
	namesNow  = quantileNames{emulator.BeforeLossLate, emulator.BeforeLossP50, emulator.BeforeLossP90, emulator.BeforeLossP99}
	namesThen = quantileNames{emulator.AfterLossLate, emulator.AfterLossP50, emulator.AfterLossP90, emulator.AfterLossP99}
)
