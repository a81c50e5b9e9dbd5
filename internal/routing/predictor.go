package routing

// Positions in Features.
const (
	featureBase        = iota // constant 1
	featureUncached           // thousand uncached prompt tokens, times pace
	featureUtilization        // running requests per slot
	featurePending            // thousand tokens still to be read before this request
	featurePaceLoad           // utilization times pace
	featureAffinity           // cached share of the prompt (eq. 4)
	featureCount
)

// Features are the inputs of a latency prediction (IEMAS §4.1 eq. 5).
type Features [featureCount]float64

// Predictor predicts a replica's time to the first token in milliseconds and learns from every
// observed one: recursive least squares with a forgetting factor (docs/design/routing-policy.md explains why not
// the Hoeffding trees of IEMAS §4.1). It also keeps the replica's success rate. Not safe for concurrent use.
type Predictor struct {
	weights     Features
	covariance  [featureCount][featureCount]float64
	forgetting  float64
	successRate float64
}

const (
	// Starting weights, in ms for each unit of the feature.
	startUncachedMsPerThousand = 60.0
	startInflightMs            = 40.0
	startPendingMsPerThousand  = 60.0
	startBaseMs                = 30.0
	// startCovariance is the initial diagonal of the covariance: how fast the first observations count.
	startCovariance = 50.0
	// maxCovariance limits the diagonal, which forgetting would otherwise let grow without limit.
	maxCovariance = startCovariance * 10
	// Limits of the learned time to read a thousand tokens.
	minPrefillMsPerThousand = 10.0
	maxPrefillMsPerThousand = 200.0
	// forgettingFactor is the weight of an observation relative to the next one.
	forgettingFactor = 0.995
	// successLearningRate is the weight of one outcome in the success rate.
	successLearningRate = 0.05
)

// NewPredictor returns a predictor with the starting weights and a success rate of 1.
func NewPredictor() *Predictor {
	predictor := &Predictor{forgetting: forgettingFactor, successRate: 1}
	predictor.weights = Features{
		featureBase:        startBaseMs,
		featureUncached:    startUncachedMsPerThousand,
		featureUtilization: startInflightMs,
		featurePending:     startPendingMsPerThousand,
	}
	for index := range predictor.covariance {
		predictor.covariance[index][index] = startCovariance
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

// PrefillMsPerThousand returns the learned time to read a thousand uncached tokens in ms, within limits.
func (p *Predictor) PrefillMsPerThousand() float64 {
	return min(max(p.weights[featureUncached], minPrefillMsPerThousand), maxPrefillMsPerThousand)
}

// Observe learns from one measured time to the first token.
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

// RecordOutcome updates the success rate by the end of one request.
func (p *Predictor) RecordOutcome(served bool) {
	outcome := 0.0
	if served {
		outcome = 1
	}
	p.successRate += successLearningRate * (outcome - p.successRate)
}

// SuccessRate returns the success rate, between 0 and 1.
func (p *Predictor) SuccessRate() float64 { return p.successRate }
