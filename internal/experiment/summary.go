package experiment

import (
	"math"

	"ferryspar/internal/emulator"
)

type Point struct {
	AtS   float64 `json:"atS"`
	Value float64 `json:"value"`
}

type Series struct {
	Name   string  `json:"name"`
	Class  string  `json:"class,omitempty"`
	Points []Point `json:"points"`
}

type VariantSummary struct {
	Name    string   `json:"name"`
	Figures []Figure `json:"figures"`
	Series  []Series `json:"series"`
}

type Summary struct {
	Name      string           `json:"name"`
	About     string           `json:"about"`
	Emulated  bool             `json:"emulated"`
	Seeds     int              `json:"seeds"`
	FirstSeed uint64           `json:"firstSeed"`
	Losses    []emulator.Loss  `json:"losses"`
	Variants  []VariantSummary `json:"variants"`
}

func Summarize(wanted Configuration, all []Runs) Summary {
	summary := Summary{
		Name: wanted.Name, About: wanted.About, Emulated: true, Seeds: wanted.Seeds, FirstSeed: wanted.FirstSeed, Losses: wanted.Built[0].Losses,
	}
	var first map[string][]float64
	for number, runs := range all {
		scenario := wanted.Built[number]
		names, values := gather(runs.Results, wanted.periods())
		if first == nil {
			first = values
		}
		one := VariantSummary{Name: runs.Variant, Series: series(runs.Results, scenario)}
		for _, name := range names {
			figure := Figure{Name: name, Values: values[name], Estimate: estimate(values[name])}
			if base := first[name]; number > 0 && len(base) == len(values[name]) {
				difference := estimate(differences(values[name], base))
				figure.Difference = &difference
			}
			one.Figures = append(one.Figures, figure)
		}
		summary.Variants = append(summary.Variants, one)
	}
	return summary
}

func gather(results []emulator.Result, spans []period) ([]string, map[string][]float64) {
	var names []string
	values := map[string][]float64{}
	for _, result := range results {
		for _, one := range measure(result, spans) {
			if values[one.name] == nil {
				names = append(names, one.name)
			}
			values[one.name] = append(values[one.name], one.value)
		}
	}
	return names, values
}

func differences(values, base []float64) []float64 {
	found := make([]float64, len(values))
	for index := range values {
		found[index] = values[index] - base[index]
	}
	return found
}

const (
	seriesInTime = "share inside the aim"
	seriesMedian = "first token p50, ms"
	seriesTail   = "first token p95, ms"
	seriesPauses = "longest pause p95, ms"
	seriesRefuse = "share refused"
	seriesQueue  = "requests waiting or queued"
	seriesRun    = "streams running"
	seriesWarm   = "warm tokens"
	seriesLoads  = "loads so far (store and disk)"
)

func series(results []emulator.Result, scenario emulator.Scenario) []Series {
	var found []Series
	for class, one := range results[0].Classes {
		lines := map[string]*Series{}
		names := []string{seriesInTime, seriesMedian, seriesTail, seriesPauses, seriesRefuse}
		for _, name := range names {
			lines[name] = &Series{Name: name, Class: one.Name, Points: []Point{}}
		}
		for number, bucket := range one.Buckets {
			if bucket.AtS >= scenario.LengthS {
				continue
			}
			for name, value := range pooled(results, class, number) {
				if !math.IsNaN(value) {
					lines[name].Points = append(lines[name].Points, Point{bucket.AtS, value})
				}
			}
		}
		for _, name := range names {
			found = append(found, *lines[name])
		}
	}
	return append(found, sampled(results)...)
}

func pooled(results []emulator.Result, class, number int) map[string]float64 {
	offered, inTime, refused := 0, 0, 0
	firsts, pauses := newHistogram(), newHistogram()
	for _, result := range results {
		bucket := result.Classes[class].Buckets[number]
		offered, inTime, refused = offered+bucket.Offered, inTime+bucket.InTime, refused+bucket.Refused
		fill(firsts, bucket.Firsts)
		fill(pauses, bucket.Pauses)
	}
	values := map[string]float64{seriesInTime: share(inTime, offered), seriesRefuse: share(refused, offered)}
	if firsts.TotalCount() > 0 {
		values[seriesMedian], values[seriesTail] = quantile(firsts, 50), quantile(firsts, 95)
		values[seriesPauses] = quantile(pauses, 95)
	}
	return values
}

func sampled(results []emulator.Result) []Series {
	looks := []struct {
		name string
		of   func(emulator.Sample) float64
	}{
		{seriesQueue, func(s emulator.Sample) float64 { return float64(s.Waiting + s.Queued) }},
		{seriesRun, func(s emulator.Sample) float64 { return float64(s.Running) }},
		{seriesWarm, func(s emulator.Sample) float64 { return s.Warm }},
		{seriesLoads, func(s emulator.Sample) float64 { return float64(s.Stored + s.Disk) }},
	}
	found := make([]Series, len(looks))
	for number, look := range looks {
		found[number] = Series{Name: look.name, Points: []Point{}}
		for index, sample := range results[0].Samples {
			values := make([]float64, len(results))
			for run := range results {
				values[run] = look.of(results[run].Samples[index])
			}
			found[number].Points = append(found[number].Points, Point{sample.AtS, estimate(values).Mean})
		}
	}
	return found
}
