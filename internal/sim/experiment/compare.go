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

// Comparison holds a method's forecast of a figure against the truth, value by value over the
// seeds.
type Comparison struct {
	Figure string `json:"figure"`
	Method string `json:"method"`
	// Size is how many times larger than the file's the fleet is.
	Size          int       `json:"size"`
	Truth         []float64 `json:"truth"`
	Forecast      []float64 `json:"forecast"`
	Error         Estimate  `json:"error"`
	AbsoluteError Estimate  `json:"absoluteError"`
	MeanTruth     Estimate  `json:"meanTruth"`
	// RelativeError is the absolute error over the mean truth, or nil if that is 0.
	RelativeError *Estimate `json:"relativeError,omitempty"`
	Flags         []string  `json:"flags,omitempty"`
}

const (
	// MethodOtherSeeds forecasts the mean truth of the other seeds, which an emulation of the fleet
	// could forecast.
	MethodOtherSeeds = "emulated, other seeds"
	// slowedShare is the share of the target latency beyond which a request counts as slowed.
	slowedShare = 0.25
)

// scaled is a scenario with so many times the fleet and its traffic.
func scaled(scenario emulator.Scenario, size int) emulator.Scenario {
	scenario.Zones = slices.Clone(scenario.Zones)
	for index := range scenario.Zones {
		scenario.Zones[index].Replicas *= size
		scenario.Zones[index].Edges *= size
	}
	scenario.SpareReplicas *= size
	scenario.Traffic.PerS *= float64(size)
	scenario.Models.LoadsPerS *= float64(size)
	return scenario
}

// CompareForecasts plays the first variant with and without its loss, for every size and seed, and
// compares the forecasters with what happened. It fails if the variant has no loss.
func CompareForecasts(
	ctx context.Context,
	configuration Configuration,
	sizes []int,
	forecasters map[string]emulator.Forecaster,
	atOnce int,
	to io.Writer,
) ([]Comparison, error) {
	var found []Comparison
	if len(configuration.Scenarios[0].Losses) == 0 {
		return nil, errors.New("the first variant names no loss to forecast")
	}
	for _, size := range sizes {
		fmt.Fprintf(to, "fleet size %d: %d seeds, each with and without the loss\n", size, configuration.Seeds)
		lost := scaled(configuration.Scenarios[0], size)
		spared := lost
		spared.Losses = nil
		pair := configuration
		pair.Variants = []Variant{{Name: "lost"}, {Name: "spared"}}
		pair.Scenarios = []emulator.Scenario{lost, spared}
		all, err := run(ctx, pair, atOnce, to, forecasters)
		if err != nil {
			return nil, err
		}
		found = append(found, pair.compare(all, size, slices.Sorted(maps.Keys(forecasters)))...)
	}
	return found, nil
}

// compare compares every figure that the runs with the loss (first) and without it have.
func (c Configuration) compare(all []VariantRuns, size int, methods []string) []Comparison {
	var names []string
	truths := map[string][]float64{}
	seeds := map[string][]int{}
	for seed := range all[0].Results {
		lost := all[0].Results[seed]
		spared := all[1].Results[seed]
		for _, measured := range c.measuredTruth(lost, spared) {
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

// otherSeedsMeans is, for each seed, the mean of the others.
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

// newComparison compares a forecast with the truth.
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

// measuredTruth is what the loss really did, by the names of the forecasts' figures.
func (c Configuration) measuredTruth(lost, spared emulator.Result) []measurement {
	loss := lost.Losses[0]
	moving, warm := 0, 0.0
	for _, amount := range loss.Moving {
		moving += amount
	}
	models := make([]string, 0, len(loss.WarmTokens))
	for model := range loss.WarmTokens {
		models = append(models, model)
	}
	slices.Sort(models)
	for _, model := range models {
		warm += loss.WarmTokens[model]
	}
	end := loss.AtS + c.AfterS
	found := []measurement{
		{emulator.FigureMoving, float64(moving)},
		{emulator.FigureWithoutCopy, float64(len(loss.WithoutCopy))},
		{emulator.FigureWarm, warm},
		{emulator.FigureBack, loss.LastCopyBackS},
		{emulator.FigureReadAgain, readBetween(lost, loss.AtS, end) - readBetween(spared, loss.AtS, end)},
	}
	found = append(found, placementFigures(lost, end)...)
	for number, class := range lost.Classes {
		found = append(found, c.firstTokenFigures(lost, spared, number)...)
		slowdown := slowdownFigures(lost, spared, number, c.Scenarios[0].Classes[number].LatencyTargetMs, period{fromS: loss.AtS, toS: end})
		for _, measured := range slowdown {
			found = append(found, measurement{class.Name + measured.name, measured.value})
		}
	}
	return found
}

// readBetween is the prompt tokens read between two moments, by the samples.
func readBetween(result emulator.Result, from, to float64) float64 {
	before, after := 0.0, 0.0
	for _, sample := range result.Samples {
		if sample.AtS <= from {
			before = sample.Read
		}
		if sample.AtS <= to {
			after = sample.Read
		}
	}
	return after - before
}

// slowdownFigures compares the requests of a class with their twins in the run without the loss;
// the names lack the class's.
func slowdownFigures(lost, spared emulator.Result, number int, aimMs float64, during period) []measurement {
	sent, slow, missed := 0, 0, 0
	late := newHistogram()
	for index, request := range lost.Requests {
		twin := spared.Requests[index]
		if request.Class != number || !during.holds(request.AtS) {
			continue
		}
		sent++
		if twin.InTime && !request.InTime {
			missed++
		}
		if request.FirstMs == 0 || twin.FirstMs == 0 {
			continue
		}
		by := max(request.FirstMs-twin.FirstMs, 0)
		fill(late, []float64{by})
		if by > slowedShare*aimMs {
			slow++
		}
	}
	if sent == 0 {
		return nil
	}
	return []measurement{
		{": share slowed", share(slow, sent)},
		{": share no longer in time", share(missed, sent)},
		{": slower by p50, ms", quantile(late, 50)},
		{": slower by p95, ms", quantile(late, 95)},
	}
}
