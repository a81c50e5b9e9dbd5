package experiment

import (
	"math"
	"strings"

	"ferryspar/internal/sim/emulator"
)

const (
	// overPeriod separates a figure's name from its period; forecasts name the figure alone.
	overPeriod = ", over "
	// perReplicaOf names the figure that compares replica by replica.
	perReplicaOf = "requests moved to a replica, mean of all left"
)

// forecastValues is what a method forecast for a figure, for each of the seeds, or nil if it did
// not.
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

// withErrors adds the estimates from the absolute errors.
func (j Comparison) withErrors(absolute []float64) Comparison {
	j.AbsoluteError, j.MeanTruth = estimate(absolute), estimate(j.Truth)
	if j.MeanTruth.Mean == 0 {
		return j
	}
	relative := make([]float64, len(absolute))
	for index, value := range absolute {
		relative[index] = value / math.Abs(j.MeanTruth.Mean)
	}
	measured := estimate(relative)
	j.RelativeError = &measured
	return j
}

const (
	// flagBiased marks a mean error beyond its interval.
	flagBiased = "biased"
	// flagWorse marks an error larger than that of the other seeds' means, beyond its interval.
	flagWorse = "worse than other seeds"
)

// withFlags adds the flags; base, if given, is the forecast by the other seeds.
func (j Comparison) withFlags(base *Comparison) Comparison {
	if math.Abs(j.Error.Mean) > j.Error.HalfWidth {
		j.Flags = append(j.Flags, flagBiased)
	}
	if base == nil {
		return j
	}
	further := make([]float64, len(j.Truth))
	for index, truth := range j.Truth {
		further[index] = math.Abs(j.Forecast[index]-truth) - math.Abs(base.Forecast[index]-truth)
	}
	if difference := estimate(further); difference.Mean > difference.HalfWidth {
		j.Flags = append(j.Flags, flagWorse)
	}
	return j
}

// perReplica compares where the interrupted requests went, replica by replica; it is empty if the
// method does not forecast it.
func perReplica(results []emulator.Result, method string, size int) []Comparison {
	comparison := Comparison{Figure: perReplicaOf, Method: method, Size: size}
	var absolute, errors []float64
	for _, result := range results {
		loss := result.Losses[0]
		truth := 0.0
		forecast := 0.0
		apart := 0.0
		for _, replica := range loss.Surviving {
			value, known := loss.Forecasts[method][emulator.FigureMovedTo+replica]
			if !known {
				return nil
			}
			moved := float64(loss.MovedTo[replica])
			truth += moved
			forecast += value
			apart += math.Abs(value - moved)
		}
		left := float64(max(len(loss.Surviving), 1))
		comparison.Truth = append(comparison.Truth, truth/left)
		comparison.Forecast = append(comparison.Forecast, forecast/left)
		absolute = append(absolute, apart/left)
		errors = append(errors, (forecast-truth)/left)
	}
	comparison.Error = estimate(errors)
	return []Comparison{comparison.withErrors(absolute).withFlags(nil)}
}

// placementFigures are what became of the interrupted requests, and the loads until the end.
func placementFigures(lost emulator.Result, end float64) []measurement {
	loss := lost.Losses[0]
	moved := 0
	for _, amount := range loss.MovedTo {
		moved += amount
	}
	return []measurement{
		{emulator.FigureInterrupted, float64(loss.Interrupted)},
		{emulator.FigureGoOn, float64(moved)},
		{emulator.FigurePlaced, float64(moved)},
		{emulator.FigureRegionBound, float64(loss.RegionBound)},
		{emulator.FigureFull, float64(loss.FullReplicas)},
		{emulator.FigureLoads, loadedBetween(lost, loss.AtS, end)},
	}
}

// loadedBetween is the loads between two moments, by the samples.
func loadedBetween(result emulator.Result, from, to float64) float64 {
	before, after := 0, 0
	for _, sample := range result.Samples {
		if sample.AtS <= from {
			before = sample.Stored + sample.Disk
		}
		if sample.AtS <= to {
			after = sample.Stored + sample.Disk
		}
	}
	return float64(after - before)
}

// firstTokenFigures are a class's shares and first tokens before and after the loss.
func (c Configuration) firstTokenFigures(lost, spared emulator.Result, number int) []measurement {
	at := lost.Losses[0].AtS
	class := c.Scenarios[0].Classes[number]
	var found []measurement
	add := func(name, during string, value float64) {
		if !math.IsNaN(value) {
			found = append(found, measurement{class.Name + ": " + name + during, value})
		}
	}
	first := countWindow(lost, class, number, at, at+emulator.FirstPhaseS)
	add(emulator.ThenNotLoaded, duringFirst, share(first.notLoaded, first.sent))
	add(emulator.ThenWaits, duringFirst, share(first.waited, first.sent))
	if len(class.AllowedRegions) > 0 {
		add(emulator.ThenRegionBound, duringFirst, share(first.unserved, first.sent))
	}
	before := countWindow(spared, class, number, at-c.InFlightS, at)
	rest := countWindow(lost, class, number, at+emulator.FirstPhaseS, at+c.AfterS)
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

// The periods of a loss, as they end a figure's name.
const (
	duringFirst = overPeriod + "the first 5 s"
	duringRest  = overPeriod + "the rest of the loss"
)

// quantileNames names the figures of the first token in one period.
type quantileNames struct{ missed, median, tail, last string }

var (
	// namesNow and namesThen are the names before and after the loss.
	namesNow  = quantileNames{emulator.NowMissed, emulator.NowMedian, emulator.NowTail, emulator.NowLast}
	namesThen = quantileNames{emulator.ThenMissed, emulator.ThenMedian, emulator.ThenTail, emulator.ThenLast}
)
