package routing

// Positions in Features.
const (
	featureIntercept         = iota // constant 1
	featureUncached                 // thousand uncached prompt tokens, times the prefill factor
	featureUtilization              // running requests per slot
	featurePending                  // thousand tokens to be prefilled before this request
	featureUtilizationFactor        // utilization times the prefill factor
	featureAffinity                 // cached share of the prompt (eq. 4)
	featureCount
)

// Features are the inputs of a latency prediction (IEMAS §4.1 eq. 5).
type Features [featureCount]float64

// Predictor predicts a replica's time to the first token in milliseconds and learns from each
// observation by recursive least squares with a forgetting factor (docs/design/routing-policy.md explains why not
// by the Hoeffding trees of IEMAS §4.1). It also tracks the replica's success rate. Not safe for concurrent use.
type Predictor struct {
	weights     Features
	covariance  [featureCount][featureCount]float64
	forgetting  float64
	successRate float64
}

const (
	// Initial weights, in ms per unit of the feature.
	initialUncachedMsPerThousand = 60.0
	initialUtilizationMs         = 40.0
	initialPendingMsPerThousand  = 60.0
	initialInterceptMs           = 30.0
	// initialCovariance is the initial diagonal of the covariance: the higher, the more the first observations count.
	initialCovariance = 50.0
	// maxCovariance limits the diagonal, which the forgetting factor would otherwise let grow without bound.
	maxCovariance = initialCovariance * 10
	// Limits of the learned time to prefill a thousand tokens.
	minPrefillMsPerThousand = 10.0
	maxPrefillMsPerThousand = 200.0
	// forgettingFactor is the weight of an observation relative to the next one.
	forgettingFactor = 0.995
	// successLearningRate is the weight of one outcome in the success rate.
	successLearningRate = 0.05
)

// NewPredictor returns a predictor with the initial weights and a success rate of 1.
func NewPredictor() *Predictor {
	predictor := &Predictor{forgetting: forgettingFactor, successRate: 1}
	predictor.weights = Features{
		featureIntercept:   initialInterceptMs,
		featureUncached:    initialUncachedMsPerThousand,
		featureUtilization: initialUtilizationMs,
		featurePending:     initialPendingMsPerThousand,
	}
	for index := range predictor.covariance {
		predictor.covariance[index][index] = initialCovariance
	}
	return predictor
}

// Latency returns the predicted time to the first token in ms, at least 1.
func (p *Predictor) Latency(features Features) float64 {
	return max(p.estimate(features), 1)
}

func (p *Predictor) estimate(features Features) float64 {
	total := 0.0
	for index, value := range features {
		total += p.weights[index] * value
	}
	return total
}

// PrefillMsPerThousand returns the learned time to prefill a thousand uncached tokens in ms, within limits.
func (p *Predictor) PrefillMsPerThousand() float64 {
	return min(max(p.weights[featureUncached], minPrefillMsPerThousand), maxPrefillMsPerThousand)
}

// Observe updates the weights with one measured time to the first token.
func (p *Predictor) Observe(features Features, latencyMs float64) {
	var gain Features
	scale := p.forgetting
	for row := range featureCount {
		for column, value := range features {
			gain[row] += p.covariance[row][column] * value
		}
		scale += gain[row] * features[row]
	}
	predictionError := latencyMs - p.estimate(features)
	for row := range featureCount {
		p.weights[row] += gain[row] / scale * predictionError
	}
	for row := range featureCount {
		for column := range featureCount {
			reduced := p.covariance[row][column] - gain[row]*gain[column]/scale
			p.covariance[row][column] = reduced / p.forgetting
		}
		p.covariance[row][row] = min(p.covariance[row][row], maxCovariance)
	}
}

// RecordOutcome updates the success rate with the outcome of one request.
func (p *Predictor) RecordOutcome(served bool) {
	outcome := 0.0
	if served {
		outcome = 1
	}
	p.successRate += successLearningRate * (outcome - p.successRate)
}

// SuccessRate returns the success rate, between 0 and 1.
func (p *Predictor) SuccessRate() float64 { return p.successRate }
