package emulator

import (
	"math/rand/v2"
	"os"
	"slices"

	"github.com/pkg/errors"

	"gonum.org/v1/gonum/stat/distuv"

	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

// readRecord reads the requests of a recording. It returns an error if any line is damaged.
func readRecord(scenario Scenario) ([]Request, error) {
	file, err := os.Open(scenario.Traffic.Record)
	if err != nil {
		return nil, errors.Wrap(err, "traffic.record")
	}
	defer file.Close()
	entries, damages, err := requestlog.Read(file)
	if err != nil {
		return nil, errors.Wrap(err, "traffic.record")
	}
	if len(damages) > 0 {
		return nil, errors.Errorf("traffic.record: %d lines are damaged, first: %s", len(damages), damages[0])
	}
	return requestsFromRecord(scenario, entries)
}

// requestsFromRecord maps recorded models and routes to those of the scenario in order of appearance; a route
// with the name of a class maps to that class. It draws what the recording does not contain.
func requestsFromRecord(scenario Scenario, entries []requestlog.Entry) ([]Request, error) {
	from := randomSource(scenario.Seed, streamTraffic)
	chance := rand.New(from)
	zones := distuv.NewCategorical(weights(scenario.Zones, func(a Zone) float64 { return a.Clients }), from)
	models := map[string]string{}
	classes := map[string]int{}
	next := 0
	var requests []Request
	for _, entry := range entries {
		if entry.Kind != requestlog.KindRequest || entry.AtMs < 0 || entry.AtMs >= scenario.LengthS*1000 {
			continue
		}
		if _, known := models[entry.Model]; !known {
			models[entry.Model] = modelName(len(models) % scenario.Models.Count)
		}
		if _, known := classes[entry.Route]; !known {
			classes[entry.Route] = slices.IndexFunc(scenario.Classes, func(class Class) bool { return class.Name == entry.Route })
			if classes[entry.Route] < 0 {
				classes[entry.Route] = next % len(scenario.Classes)
				next++
			}
		}
		parts, valid := routing.ParsePromptPrefix(entry.Prefix)
		if !valid {
			return nil, errors.Errorf("traffic.record: prefix %q cannot be read", entry.Prefix)
		}
		requests = append(requests, Request{
			Number: len(requests),
			At:     milliseconds(entry.AtMs),
			Class:  classes[entry.Route],
			Zone:   int(zones.Rand()),
			Model:  models[entry.Model],
			Parts:  parts,
			Prompt: max(entry.PromptTokens, totalTokens(parts)),
			Output: max(int(entry.OutputTokens), 1),
			Draw:   chance.Float64(),
		})
	}
	if len(requests) == 0 {
		return nil, errors.New("traffic.record: no request falls within lengthS")
	}
	return requests, nil
}
