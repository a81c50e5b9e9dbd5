package routing

import "math"

const (
	// paceLearningRate is the exponent of each observed ratio.
	paceLearningRate = 0.08
	// Limits of the ratio of observed to predicted latency, and of the pace.
	minLatencyRatio = 0.3
	maxLatencyRatio = 3
	minPace         = 0.02
	maxPace         = 5
)

// modelPaces are the paces of models: how long a model takes to read a token relative to the others,
// learned over all replicas. Adapters share the pace of their model.
type modelPaces map[string]float64

// pace returns the pace of a model or adapter, 1 if unknown.
func (p modelPaces) pace(reference string) float64 {
	if learned, known := p[BaseModel(reference)]; known {
		return learned
	}
	return 1
}

// learn moves a model's pace by the ratio of observed to predicted latency.
func (p modelPaces) learn(reference string, ratio float64) {
	current := p.pace(reference)
	bounded := math.Min(math.Max(ratio, minLatencyRatio), maxLatencyRatio)
	p[BaseModel(reference)] = math.Min(math.Max(current*math.Pow(bounded, paceLearningRate), minPace), maxPace)
}
