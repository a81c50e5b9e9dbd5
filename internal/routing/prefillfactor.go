package routing

import "math"

const (
	// factorLearningRate is the exponent applied to each observed ratio.
	factorLearningRate = 0.08
	// Limits of the ratio of observed to predicted latency, and of the prefill factor.
	minObservedRatio = 0.3
	maxObservedRatio = 3
	minFactor        = 0.02
	maxFactor        = 5
)

// modelPrefillFactors are the prefill times per token of models, relative to other models, learned over all
// replicas. Adapters share the factor of their model.
type modelPrefillFactors map[string]float64

// factor returns the prefill factor of a model or adapter, 1 if unknown.
func (p modelPrefillFactors) factor(reference string) float64 {
	if learned, known := p[BaseModel(reference)]; known {
		return learned
	}
	return 1
}

// learn adjusts a model's prefill factor by the ratio of observed to predicted latency.
func (p modelPrefillFactors) learn(reference string, ratio float64) {
	current := p.factor(reference)
	bounded := math.Min(math.Max(ratio, minObservedRatio), maxObservedRatio)
	p[BaseModel(reference)] = math.Min(math.Max(current*math.Pow(bounded, factorLearningRate), minFactor), maxFactor)
}
