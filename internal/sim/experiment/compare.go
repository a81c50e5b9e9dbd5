package experiment

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"

	"ferryspar/internal/sim/emulator"
)

// Comparison compares the forecasts of one figure by one method with the emulated outcomes, with one value per seed.
type Comparison struct {
	Figure string `json:"figure"`
	Method string `json:"method"`
	// Size is the factor by which the fleet of the file is scaled.
	Size          int       `json:"size"`
	Truth         []float64 `json:"truth"`
	Forecast      []float64 `json:"forecast"`
	Error         Estimate  `json:"error"`
	AbsoluteError Estimate  `json:"absoluteError"`
	MeanTruth     Estimate  `json:"meanTruth"`
	// RelativeError is the absolute error divided by the mean truth, or nil if the latter is 0.
	RelativeError *Estimate `json:"relativeError,omitempty"`
	Flags         []string  `json:"flags,omitempty"`
}

const (
	// MethodOtherSeeds is the baseline method: its forecast is the mean outcome of the other seeds, which an emulation of the
	// fleet could provide.
	MethodOtherSeeds = "emulated, other seeds"
	// slowedShare is the share of the target latency by which a request must be delayed to count as slowed.
	slowedShare = 0.25
)

// scaled returns the scenario with its fleet and traffic multiplied by size.
func scaled(scenario emulator.Scenario, size int) emulator.Scenario {
	scenario.Zones = slices.Clone(scenario.Zones)
	for index := range scenario.Zones {
		scenario.Zones[index].Replicas *= size
		scenario.Zones[index].DataPlanes *= size
	}
	scenario.SpareReplicas *= size
	scenario.Traffic.RatePerS *= float64(size)
	scenario.Models.LoadsPerS *= float64(size)
	return scenario
}

// CompareForecasts runs the first variant with and without its loss, for every size and seed, and compares the forecasts with
// the emulated outcomes. It returns an error if the variant has no loss.
func CompareForecasts(
	ctx context.Context,
	configuration Configuration,
	sizes []int,
	forecasters map[string]emulator.Forecaster,
	parallelism int,
	output io.Writer,
) ([]Comparison, error) {
	var found []Comparison
	if len(configuration.Scenarios[0].Losses) == 0 {
		return nil, errors.New("the first variant has no loss to forecast")
	}
	for _, size := range sizes {
		fmt.Fprintf(output, "fleet size %d: %d seeds, each with and without the loss\n", size, configuration.Seeds)
		withLoss := scaled(configuration.Scenarios[0], size)
		withoutLoss := withLoss
		withoutLoss.Losses = nil
		pair := configuration
		pair.Variants = []Variant{{Name: "lost"}, {Name: "spared"}}
		pair.Scenarios = []emulator.Scenario{withLoss, withoutLoss}
		all, err := run(ctx, pair, parallelism, output, forecasters)
		if err != nil {
			return nil, err
		}
		found = append(found, pair.compare(all, size, slices.Sorted(maps.Keys(forecasters)))...)
	}
	return found, nil
}

// compare compares the forecasts of every figure measured. all holds the runs with the loss, then those without it.
func (c Configuration) compare(all []VariantRuns, size int, methods []string) []Comparison {
	var names []string
	truths := map[string][]float64{}
	seeds := map[string][]int{}
	for seed := range all[0].Results {
		withLoss := all[0].Results[seed]
		withoutLoss := all[1].Results[seed]
		for _, measured := range c.measuredTruth(withLoss, withoutLoss) {
			if truths[measured.name] == nil {
				names = append(names, measured.name)
			}
			truths[measured.name] = append(truths[measured.name], measured.value)
			seeds[measured.name] = append(seeds[measured.name], seed)
		}
	}
	var found []Comparison
	for _, name := range names {
		truth := truths[name]
		base := newComparison(name, MethodOtherSeeds, size, truth, otherSeedsMeans(truth))
		for _, method := range methods {
			if forecast := forecastValues(all[0].Results, method, name, seeds[name]); forecast != nil {
				found = append(found, newComparison(name, method, size, truth, forecast).withFlags(&base))
			}
		}
		found = append(found, base)
	}
	for _, method := range methods {
		found = append(found, perReplica(all[0].Results, method, size)...)
	}
	return found
}

// otherSeedsMeans returns for each seed the mean of the other seeds' values.
func otherSeedsMeans(truth []float64) []float64 {
	total := 0.0
	for _, value := range truth {
		total += value
	}
	forecast := make([]float64, len(truth))
	for index, value := range truth {
		forecast[index] = (total - value) / float64(max(len(truth)-1, 1))
	}
	return forecast
}

// newComparison returns the comparison of a forecast with the truth.
func newComparison(name, method string, size int, truth, forecast []float64) Comparison {
	deviations := differences(forecast, truth)
	absolute := make([]float64, len(deviations))
	for index, value := range deviations {
		absolute[index] = math.Abs(value)
	}
	return Comparison{
		Figure:   name,
		Method:   method,
		Size:     size,
		Truth:    truth,
		Forecast: forecast,
		Error:    estimate(deviations),
	}.withErrors(absolute)
}

// measuredTruth returns the emulated effects of the loss, under the names of the forecast figures.
func (c Configuration) measuredTruth(withLoss, withoutLoss emulator.Result) []measurement {
	loss := withLoss.Losses[0]
	moving, warm := 0, 0.0
	for _, amount := range loss.Moving {
		moving += amount
	}
	models := make([]string, 0, len(loss.CachedTokens))
	for model := range loss.CachedTokens {
		models = append(models, model)
	}
	slices.Sort(models)
	for _, model := range models {
		warm += loss.CachedTokens[model]
	}
	end := loss.AtS + c.AfterS
	found := []measurement{
		{emulator.FigureMoving, float64(moving)},
		{emulator.FigureWithoutCopy, float64(len(loss.WithoutCopy))},
		{emulator.FigureLostCachedTokens, warm},
		{emulator.FigureReloadTime, loss.LastReloadS},
		{emulator.FigureRecomputedTokens, readBetween(withLoss, loss.AtS, end) - readBetween(withoutLoss, loss.AtS, end)},
	}
	found = append(found, placementFigures(withLoss, end)...)
	for number, class := range withLoss.Classes {
		found = append(found, c.firstTokenFigures(withLoss, withoutLoss, number)...)
		slowdown := slowdownFigures(
			withLoss, withoutLoss, number, c.Scenarios[0].Classes[number].LatencyTargetMs, period{fromS: loss.AtS, toS: end},
		)
		for _, measured := range slowdown {
			found = append(found, measurement{class.Name + measured.name, measured.value})
		}
	}
	return found
}

// readBetween returns the number of prompt tokens read between two times, according to the samples.
func readBetween(result emulator.Result, from, to float64) float64 {
	before, after := 0.0, 0.0
	for _, sample := range result.Samples {
		if sample.AtS <= from {
			before = sample.PrefillTokens
		}
		if sample.AtS <= to {
			after = sample.PrefillTokens
		}
	}
	return after - before
}

// slowdownFigures compares each request of a class with the same request in the run without the loss. The names returned do not
// include the class.
func slowdownFigures(withLoss, withoutLoss emulator.Result, number int, latencyTargetMs float64, during period) []measurement {
	sent, slowed, missed := 0, 0, 0
	delays := newHistogram()
	for index, request := range withLoss.Requests {
		requestWithoutLoss := withoutLoss.Requests[index]
		if request.Class != number || !during.contains(request.AtS) {
			continue
		}
		sent++
		if requestWithoutLoss.InTime && !request.InTime {
			missed++
		}
		if request.FirstTokenMs == 0 || requestWithoutLoss.FirstTokenMs == 0 {
			continue
		}
		delayMs := max(request.FirstTokenMs-requestWithoutLoss.FirstTokenMs, 0)
		recordMs(delays, []float64{delayMs})
		if delayMs > slowedShare*latencyTargetMs {
			slowed++
		}
	}
	if sent == 0 {
		return nil
	}
	return []measurement{
		{": share slowed", share(slowed, sent)},
		{": share no longer in time", share(missed, sent)},
		{": slower by p50, ms", quantile(delays, 50)},
		{": slower by p95, ms", quantile(delays, 95)},
	}
}
