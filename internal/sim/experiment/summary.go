package experiment

import (
	"math"

	"ferryspar/internal/sim/emulator"
)

// Point is a value at a point in time.
type Point struct {
	AtS   float64 `json:"atS"`
	Value float64 `json:"value"`
}

// Series is a curve of a plot. Class is empty if it covers the whole fleet.
type Series struct {
	Name   string  `json:"name"`
	Class  string  `json:"class,omitempty"`
	Points []Point `json:"points"`
}

// VariantSummary holds the figures and series of a variant.
type VariantSummary struct {
	Name    string   `json:"name"`
	Figures []Figure `json:"figures"`
	Series  []Series `json:"series"`
}

// Summary is the result of an experiment.
type Summary struct {
	Name        string           `json:"name"`
	Description string           `json:"about"`
	Emulated    bool             `json:"emulated"`
	Seeds       int              `json:"seeds"`
	FirstSeed   uint64           `json:"firstSeed"`
	Losses      []emulator.Loss  `json:"losses"`
	Variants    []VariantSummary `json:"variants"`
}

// Summarize summarizes the runs and computes the differences from the first variant.
func Summarize(configuration Configuration, all []VariantRuns) Summary {
	summary := Summary{
		Name:        configuration.Name,
		Description: configuration.Description,
		Emulated:    true,
		Seeds:       configuration.Seeds,
		FirstSeed:   configuration.FirstSeed,
		Losses:      configuration.Scenarios[0].Losses,
	}
	var first map[string][]float64
	for number, runs := range all {
		scenario := configuration.Scenarios[number]
		names, values := gather(runs.Results, configuration.periods())
		if first == nil {
			first = values
		}
		variant := VariantSummary{Name: runs.Variant, Series: series(runs.Results, scenario)}
		for _, name := range names {
			figure := Figure{Name: name, Values: values[name], Estimate: estimate(values[name])}
			if base := first[name]; number > 0 && len(base) == len(values[name]) {
				difference := estimate(differences(values[name], base))
				figure.Difference = &difference
			}
			variant.Figures = append(variant.Figures, figure)
		}
		summary.Variants = append(summary.Variants, variant)
	}
	return summary
}

// gather returns the names of the figures in order of appearance, and their values, one per seed.
func gather(results []emulator.Result, spans []period) ([]string, map[string][]float64) {
	var names []string
	values := map[string][]float64{}
	for _, result := range results {
		for _, measured := range measure(result, spans) {
			if values[measured.name] == nil {
				names = append(names, measured.name)
			}
			values[measured.name] = append(values[measured.name], measured.value)
		}
	}
	return names, values
}

// differences returns values minus base, element by element.
func differences(values, base []float64) []float64 {
	found := make([]float64, len(values))
	for index := range values {
		found[index] = values[index] - base[index]
	}
	return found
}

const (
	// seriesInTime and the constants below are the names of the series.
	seriesInTime   = "share inside the aim"
	seriesMedian   = "first token p50, ms"
	seriesTail     = "first token p95, ms"
	seriesPauses   = "longest pause p95, ms"
	seriesRejected = "share refused"
	seriesQueue    = "requests waiting or queued"
	seriesRun      = "streams running"
	seriesWarm     = "warm tokens"
	seriesLoads    = "loads so far (store and disk)"
)

// series returns the curves of a variant, pooled over the seeds.
func series(results []emulator.Result, scenario emulator.Scenario) []Series {
	var found []Series
	for class, result := range results[0].Classes {
		lines := map[string]*Series{}
		names := []string{seriesInTime, seriesMedian, seriesTail, seriesPauses, seriesRejected}
		for _, name := range names {
			lines[name] = &Series{Name: name, Class: result.Name, Points: []Point{}}
		}
		for number, bucket := range result.Buckets {
			if bucket.AtS >= scenario.LengthS {
				continue
			}
			for name, value := range pooledBucket(results, class, number) {
				if !math.IsNaN(value) {
					lines[name].Points = append(lines[name].Points, Point{bucket.AtS, value})
				}
			}
		}
		for _, name := range names {
			found = append(found, *lines[name])
		}
	}
	return append(found, sampleSeries(results)...)
}

// pooledBucket returns the values of one bucket of a class, pooled over the seeds, by series.
func pooledBucket(results []emulator.Result, class, number int) map[string]float64 {
	sums := newBucketSums()
	for _, result := range results {
		sums.add(result.Classes[class].Buckets[number])
	}
	values := map[string]float64{
		seriesInTime:   share(sums.inTime, sums.offered),
		seriesRejected: share(sums.rejected, sums.offered),
	}
	if sums.firsts.TotalCount() > 0 {
		values[seriesMedian] = quantile(sums.firsts, 50)
		values[seriesTail] = quantile(sums.firsts, 95)
		values[seriesPauses] = quantile(sums.pauses, 95)
	}
	return values
}

// sampleSeries returns the curves of the fleet's samples, as means over the seeds.
func sampleSeries(results []emulator.Result) []Series {
	lines := []struct {
		name string
		of   func(emulator.Sample) float64
	}{
		{seriesQueue, func(s emulator.Sample) float64 { return float64(s.Waiting + s.Queued) }},
		{seriesRun, func(s emulator.Sample) float64 { return float64(s.Running) }},
		{seriesWarm, func(s emulator.Sample) float64 { return s.CachedTokens }},
		{seriesLoads, func(s emulator.Sample) float64 { return float64(s.StoreLoads + s.DiskLoads) }},
	}
	found := make([]Series, len(lines))
	for number, line := range lines {
		found[number] = Series{Name: line.name, Points: []Point{}}
		for index, sample := range results[0].Samples {
			values := make([]float64, len(results))
			for run := range results {
				values[run] = line.of(results[run].Samples[index])
			}
			found[number].Points = append(found[number].Points, Point{sample.AtS, estimate(values).Mean})
		}
	}
	return found
}
