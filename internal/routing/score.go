package routing

import (
	"math"
	"time"
)

const (
	// inTimeMidpoint and inTimeWidth, as shares of the aim, shape the smooth step from served in
	// time to served late.
	inTimeMidpoint = 0.9
	inTimeWidth    = 0.12
)

// scoredPair is the worth of serving one request at one replica, with what it was worked out from.
type scoredPair struct {
	weight         float64 // w = v - C (eq. 7); the pair is pruned below 0
	features       Features
	predictedMs    float64 // time to the first token, ms
	cachedTokens   float64 // prompt tokens the ledger expects in the replica's cache
	uncachedTokens float64 // prompt tokens to be read
	pace           float64 // of the model
}

// score weighs a pair of request and replica (eq. 1, 4, 5 and 7, changed as docs/design/routing-policy.md explains):
// v = δP − (1−δ)L from the chance of full worth P and the predicted latency L as a share of the aim,
// less the cost of the tokens to be read and of crossing zones.
func (m *Matcher) score(row requestRow, node *replicaNode, now time.Time) scoredPair {
	request, replica, state := row.request, node.replica, node.state
	cachedTokens := 0.0
	if row.useLedger {
		cachedTokens = m.ledger.CachedTokens(replica.ID, request.prompt(), now)
	}
	uncached := max(request.PromptTokens-cachedTokens, 0)
	features := node.features(row, cachedTokens, uncached)
	predicted := state.predictor.Latency(features)
	latencyTarget := max(float64(request.LatencyTarget.Milliseconds()), 1)
	quality := m.quality(request, state.predictor.SuccessRate(), predicted, latencyTarget, now)
	price := m.parameters.TokenPrice * uncached * row.pace
	if replica.Zone != m.zone {
		price += m.parameters.CrossPrice
	}
	delta := m.parameters.Delta
	value := delta*quality - (1-delta)*min(predicted/latencyTarget, m.parameters.LatencyBound)
	return scoredPair{
		weight:         value - price,
		features:       features,
		predictedMs:    predicted,
		cachedTokens:   cachedTokens,
		uncachedTokens: uncached,
		pace:           row.pace,
	}
}

// features are the predictor's inputs for one pair (eq. 5): see Features for their sequence.
func (n *replicaNode) features(row requestRow, cachedTokens, uncached float64) Features {
	running := float64(n.state.running + n.peerLoad.Running)
	slots := float64(max(n.replica.Slots, 1))
	utilisation := running / slots
	affinity := cachedTokens / max(1, row.request.PromptTokens)
	return Features{
		featureBase:        1,
		featureUncached:    uncached / 1000 * row.pace,
		featureUtilisation: utilisation,
		featurePending:     (n.state.pendingTokens + n.peerLoad.PrefillTokens) / 1000,
		featurePaceLoad:    running / slots * row.pace,
		featureAffinity:    affinity,
	}
}

// quality is P: the replica's success rate times a smooth step at the aim, with a floor for answers
// that come late but before the deadline, and 0 for those expected after it. predicted and aim are
// in ms.
func (m *Matcher) quality(request *Request, success, predicted, latencyTarget float64, now time.Time) float64 {
	remaining := float64(request.Deadline.Sub(now).Milliseconds())
	if predicted > remaining {
		return 0
	}
	elapsed := float64(now.Sub(request.Arrived).Milliseconds())
	inTime := 1 / (1 + math.Exp((elapsed+predicted-latencyTarget*inTimeMidpoint)/(latencyTarget*inTimeWidth)))
	late := m.parameters.LateWorth
	return success * (late + (1-late)*inTime)
}

// rankWeight is the factor of a request's weights: higher for a higher priority (0 is the highest)
// and for more of its aim waited, so that in a shortage the flow prefers those.
func rankWeight(request *Request, now time.Time) float64 {
	weight := 1 + 1/float64(request.Priority+1)
	if request.LatencyTarget > 0 {
		weight += min(float64(now.Sub(request.Arrived))/float64(request.LatencyTarget), 1)
	}
	return weight
}

const (
	// paceLearningRate is the exponent of each observed ratio; both the ratio and the pace are bounded.
	paceLearningRate = 0.08
	minLatencyRatio  = 0.3
	maxLatencyRatio  = 3
	minPace          = 0.02
	maxPace          = 5
)

// pace is how slow a model is next to the others, learned over all replicas; 1 where unknown.
// Adapters share the pace of their model.
func (m *Matcher) pace(model string) float64 {
	if learned, known := m.paces[BaseModel(model)]; known {
		return learned
	}
	return 1
}

// learnPace moves a model's pace by the ratio of observed to predicted latency.
func (m *Matcher) learnPace(model string, ratio float64) {
	base := BaseModel(model)
	current := m.pace(model)
	bounded := math.Min(math.Max(ratio, minLatencyRatio), maxLatencyRatio)
	m.paces[base] = math.Min(math.Max(current*math.Pow(bounded, paceLearningRate), minPace), maxPace)
}
