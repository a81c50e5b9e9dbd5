package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"ferryspar/internal/routing"
)

// Request is one request of the traffic. At is relative to the beginning of the run, Class and Zone are
// indices, and Prompt and Output are numbers of tokens.
type Request struct {
	Number int
	At     time.Duration
	Class  int
	Zone   int
	Model  string
	Parts  []routing.PromptPart
	Prompt float64
	Output int
	// Draw is a random number in [0, 1) that determines the choice of an edge.
	Draw float64
}

const (
	// streamTraffic and streamReplicas number the independent random streams of a seed.
	streamTraffic = iota + 1
	streamReplicas
)

// randomSource returns the random stream of the given number for a seed.
func randomSource(seed, stream uint64) rand.Source { return rand.NewPCG(seed, stream) }

// seconds converts a number of seconds to a duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// modelName returns the name of the model with the given index.
func modelName(number int) string { return fmt.Sprintf("model-%02d", number+1) }

// popularity returns each model's share of the requests by Zipf's law.
func popularity(models Models) []float64 {
	weights := make([]float64, models.Count)
	total := 0.0
	for number := range weights {
		weights[number] = math.Pow(float64(number+1), -models.Zipf)
		total += weights[number]
	}
	for number := range weights {
		weights[number] /= total
	}
	return weights
}

// draw returns a random size of at least 1 and at most Max, rounded, or the median if Sigma is 0.
func (s LogNormal) draw(from rand.Source) float64 {
	if s.Sigma == 0 {
		return s.Median
	}
	drawn := distuv.LogNormal{Mu: math.Log(s.Median), Sigma: s.Sigma, Src: from}.Rand()
	return math.Round(min(max(drawn, 1), s.Max))
}

// rate returns the requests per second at the given time, in seconds since the beginning of the run.
func (t Traffic) rate(at float64) float64 {
	if t.BurstEveryS > 0 && math.Mod(at, t.BurstEveryS) >= t.BurstEveryS-t.BurstLengthS {
		return t.RatePerS * t.BurstFactor
	}
	return t.RatePerS
}

// weights returns the weight of each item.
func weights[T any](items []T, weight func(T) float64) []float64 {
	found := make([]float64, len(items))
	for index, item := range items {
		found[index] = weight(item)
	}
	return found
}

// generator draws the traffic of a scenario.
type generator struct {
	scenario   Scenario
	source     rand.Source
	random     *rand.Rand
	classes    distuv.Categorical
	zones      distuv.Categorical
	models     distuv.Categorical
	lastPartID uint64
	requests   []Request
}

// generate draws dialogues by thinning a Poisson process with the peak rate and returns their requests in
// order of arrival.
func generate(scenario Scenario) []Request {
	from := randomSource(scenario.Seed, streamTraffic)
	g := &generator{
		scenario:   scenario,
		source:     from,
		random:     rand.New(from),
		classes:    distuv.NewCategorical(weights(scenario.Classes, func(c Class) float64 { return c.Share }), from),
		zones:      distuv.NewCategorical(weights(scenario.Zones, func(a Zone) float64 { return a.Clients }), from),
		models:     distuv.NewCategorical(popularity(scenario.Models), from),
		lastPartID: uint64(scenario.Models.Count),
	}
	traffic := scenario.Traffic
	fastest := traffic.RatePerS * traffic.BurstFactor / traffic.Turns
	gap := distuv.Exponential{Rate: fastest, Src: from}
	for at := gap.Rand(); at < scenario.LengthS; at += gap.Rand() {
		if g.random.Float64()*traffic.BurstFactor*traffic.RatePerS <= traffic.rate(at) {
			g.generateDialogue(at)
		}
	}
	slices.SortStableFunc(g.requests, func(left, other Request) int { return cmp.Compare(left.At, other.At) })
	for number := range g.requests {
		g.requests[number].Number = number
	}
	return g.requests
}

// generateDialogue draws a dialogue that begins at the given time, in seconds. The prompt of each turn
// contains all previous prompts and outputs.
func (g *generator) generateDialogue(at float64) {
	class := int(g.classes.Rand())
	zone := int(g.zones.Rand())
	number := int(g.models.Rand())
	model := modelName(number)
	if adapters := g.scenario.Models.Adapters; number == 0 && adapters > 0 && g.random.Float64() < adapterShare {
		model = fmt.Sprintf("%s/a%d", model, 1+g.random.IntN(adapters))
	}
	classSettings := g.scenario.Classes[class]
	parts := []routing.PromptPart{{ID: uint64(number) + 1, Tokens: g.scenario.Models.SharedTokens}}
	think := distuv.Exponential{Rate: 1 / max(g.scenario.Traffic.ThinkS, 0.01), Src: g.source}
	for at < g.scenario.LengthS {
		output := classSettings.Output.draw(g.source)
		g.lastPartID++
		parts = append(slices.Clone(parts), routing.PromptPart{ID: g.lastPartID, Tokens: classSettings.Prompt.draw(g.source)})
		g.requests = append(g.requests, Request{
			At:     seconds(at),
			Class:  class,
			Zone:   zone,
			Model:  model,
			Parts:  parts,
			Prompt: totalTokens(parts),
			Output: int(output),
			Draw:   g.random.Float64(),
		})
		parts = append(slices.Clone(parts), routing.PromptPart{ID: g.lastPartID + outputPartOffset, Tokens: output})
		if g.random.Float64() < 1/g.scenario.Traffic.Turns || totalTokens(parts) > g.scenario.Replica.KvCacheTokens*maxDialogueShare {
			return
		}
		at += think.Rand()
	}
}

const (
	// adapterShare is the share of the first model's dialogues that use an adapter.
	adapterShare = 0.5
	// outputPartOffset separates the part IDs of outputs from those of prompts.
	outputPartOffset = 1 << 40
	// maxDialogueShare is the share of a replica's KV cache beyond which a dialogue ends.
	maxDialogueShare = 0.2
)

// totalTokens returns the sum of the parts' tokens.
func totalTokens(parts []routing.PromptPart) float64 {
	total := 0.0
	for _, part := range parts {
		total += part.Tokens
	}
	return total
}

// requestsFor returns the scenario's traffic, recorded or generated.
func requestsFor(scenario Scenario) ([]Request, error) {
	if scenario.Traffic.Record == "" {
		return generate(scenario), nil
	}
	return readRecord(scenario)
}
