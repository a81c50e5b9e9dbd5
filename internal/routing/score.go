package routing

import (
	"math"
	"time"

	"ferryspar/internal/discovery"
)

const (
	// inTimeMidpoint and inTimeWidth, as shares of the latency target, shape the smooth step from served in
	// time to served late.
	inTimeMidpoint = 0.9
	inTimeWidth    = 0.12
	// tokensPerThousand converts tokens to the unit of the latency model.
	tokensPerThousand = 1000
)

// scoredPair is the value of serving one request at one replica, with its components.
type scoredPair struct {
	weight         float64 // w = v − Ĉ (IEMAS eq. 7); the pair is pruned below 0
	features       Features
	predictedMs    float64 // time to the first token
	cachedTokens   float64 // prompt tokens the ledger expects in the replica's cache
	uncachedTokens float64 // prompt tokens to be read
	pace           float64 // of the model

	// prefill, if set, is where the prompt is to be read; the other fields are of the decode step then.
	prefill *prefillChoice
	// idleMs, at a decode replica, is the time to the first token if nothing waited at the replicas.
	idleMs float64
	// reachable, at a decode replica, says that the first event is predicted before the deadline.
	reachable bool
}

// score computes the weight of a pair of request and replica:
//
//	w = v − Ĉ, v = δP − (1−δ)L   (IEMAS §3 eq. 1, §4.2 eq. 7; §4.1 for the predicted P, L and Ĉ)
//
// P is the expected quality, L the predicted latency as a share of the latency target, and Ĉ the cost of
// the tokens to be read and of crossing zones. At a decode replica it is the weight of the best way to serve the request
// there: with the prompt read there, or at one of the row's prefill replicas. docs/design/routing-policy.md says what differs
// from the paper.
func (m *Matcher) score(row *requestRow, node *replicaNode, now time.Time) scoredPair {
	if node.replica.Phase != discovery.PhaseDecode {
		return m.scoreWhole(row, node, now)
	}
	best := scoredPair{weight: math.Inf(-1)}
	if len(row.prefills) == 0 || row.request.PromptTokens <= MaxColocatedPrefillTokens {
		best = m.scoreDecodeAlone(row, node, now)
	}
	for index := range row.prefills {
		if pair := m.scorePair(row, &row.prefills[index], node, now); pair.weight > best.weight {
			best = pair
		}
	}
	if best.reachable {
		best.weight = servableWeight(best.weight)
	}
	return best
}

// MaxColocatedPrefillTokens is the longest prompt that is read at a decode replica while a prefill replica may read it: every piece
// that is read there holds up the tokens of all streams, and slower streams fill the replica's slots.
const MaxColocatedPrefillTokens = 600

// lowWeight is the weight below which servableWeight bends.
const lowWeight = 0.02

// servableWeight keeps the order of weights and makes all of them positive. Prompts of a split backend may be so long that the
// cost of reading one exceeds the value of a late answer, which grows with the prompt as well: pruning the pair would refuse
// the largest requests alone.
func servableWeight(weight float64) float64 {
	if weight >= lowWeight {
		return weight
	}
	return lowWeight * math.Exp(weight-lowWeight)
}

// isReachable reports whether a first event is predicted before the request's deadline.
func isReachable(request *Request, predictedMs float64, now time.Time) bool {
	return predictedMs <= float64(request.Deadline.Sub(now).Milliseconds())
}

// scoreWhole computes the weight of serving a request at one replica that does both phases.
func (m *Matcher) scoreWhole(row *requestRow, node *replicaNode, now time.Time) scoredPair {
	request, replica, state := row.request, node.replica, node.state
	cachedTokens := m.cachedTokens(row, node, 0, now)
	uncachedTokens := max(request.PromptTokens-cachedTokens, 0)
	features := node.features(*row, cachedTokens, uncachedTokens)
	predictedMs := state.predictor.Latency(features)
	cost := m.parameters.TokenCost*uncachedTokens*row.pace + m.crossingCost(replica)
	return scoredPair{
		weight:         m.value(request, state.predictor.SuccessRate(), predictedMs, now) - cost,
		features:       features,
		predictedMs:    predictedMs,
		cachedTokens:   cachedTokens,
		uncachedTokens: uncachedTokens,
		pace:           row.pace,
	}
}

// scoreDecodeAlone computes the weight of reading a request's prompt at the decode replica that makes its tokens. Nothing of it
// counts as cached there: running streams fill the memory of decode replicas, so that kept parts give way soon, and a long
// prompt that was taken for a cached one holds up all of them.
func (m *Matcher) scoreDecodeAlone(row *requestRow, node *replicaNode, now time.Time) scoredPair {
	request := row.request
	uncached := request.PromptTokens
	features := node.features(*row, 0, uncached)
	predictedMs, idleMs := node.predictStep(stepWhole, &features)
	cost := m.parameters.TokenCost*uncached + m.crossingCost(node.replica)
	if len(row.prefills) > 0 {
		cost += m.interferenceCost(request, node, uncached)
	}
	return scoredPair{
		weight:         m.value(request, node.state.predictor.SuccessRate(), predictedMs, now) - cost,
		features:       features,
		predictedMs:    predictedMs,
		uncachedTokens: uncached,
		pace:           1,
		idleMs:         idleMs,
		reachable:      isReachable(request, predictedMs, now),
	}
}

// Between these shares of a route's longest gap between events, the cost of reading a prompt beside running streams rises from
// nothing to all of it.
const (
	harmlessGapShare = 0.2
	harmfulGapShare  = 0.7
)

// interferenceCost is what reading so many tokens at a decode replica costs the streams that run there: their tokens wait until
// each piece of the prompt is read, and a stream whose events come too far apart counts as late. It is left out where no prefill
// replica could read the prompt instead.
func (m *Matcher) interferenceCost(request *Request, node *replicaNode, uncached float64) float64 {
	gapMs := float64(request.MaxTokenGap.Milliseconds())
	running := float64(node.state.running + node.peerLoad.Running)
	if gapMs <= 0 || running <= 0 {
		return 0
	}
	perThousand := node.models[stepWhole].perThousand()
	readMs := (uncached + node.state.pendingTokens + node.peerLoad.PrefillTokens) / tokensPerThousand * perThousand
	share := (readMs/gapMs - harmlessGapShare) / (harmfulGapShare - harmlessGapShare)
	return m.parameters.InterferenceCost * min(running, maxInterferedStreams) * min(max(share, 0), 1)
}

// maxInterferedStreams bounds how many streams beside a prompt are counted.
const maxInterferedStreams = 16

// value is v of IEMAS eq. 1.
func (m *Matcher) value(request *Request, successRate, predictedMs float64, now time.Time) float64 {
	latencyTargetMs := max(float64(request.LatencyTarget.Milliseconds()), 1)
	quality := m.quality(request, successRate, predictedMs, latencyTargetMs, now)
	latency := min(predictedMs/latencyTargetMs, m.parameters.MaxLatencyRatio)
	return m.parameters.QualityWeight*quality - (1-m.parameters.QualityWeight)*latency
}

// features returns the predictor's inputs for one pair (IEMAS §4.1 eq. 4 and 5): see Features.
func (n *replicaNode) features(row requestRow, cachedTokens, uncachedTokens float64) Features {
	running := float64(n.state.running + n.peerLoad.Running)
	utilization := running / float64(max(n.replica.Slots, 1))
	return Features{
		featureBase:        1,
		featureUncached:    uncachedTokens / tokensPerThousand * row.pace,
		featureUtilization: utilization,
		featurePending:     (n.state.pendingTokens + n.peerLoad.PrefillTokens) / tokensPerThousand,
		featurePaceLoad:    utilization * row.pace,
		featureAffinity:    cachedTokens / max(1, row.request.PromptTokens),
	}
}

// quality is P of IEMAS eq. 1: the replica's success rate times a smooth step at the latency target, with
// a floor for answers that come late but before the deadline, and 0 for those expected after it.
func (m *Matcher) quality(request *Request, successRate, predictedMs, latencyTargetMs float64, now time.Time) float64 {
	remainingMs := float64(request.Deadline.Sub(now).Milliseconds())
	if predictedMs > remainingMs {
		return 0
	}
	elapsedMs := float64(now.Sub(request.ArrivedAt).Milliseconds())
	excessMs := elapsedMs + predictedMs - latencyTargetMs*inTimeMidpoint
	inTime := 1 / (1 + math.Exp(excessMs/(latencyTargetMs*inTimeWidth)))
	late := m.parameters.LateValue
	return successRate * (late + (1-late)*inTime)
}

// rankWeight is the factor of a request's weights: higher for a higher priority (0 is the highest) and for
// more of its latency target waited, so that in a shortage the flow prefers those.
func rankWeight(request *Request, now time.Time) float64 {
	weight := 1 + 1/float64(request.Priority+1)
	if request.LatencyTarget > 0 {
		weight += min(float64(now.Sub(request.ArrivedAt))/float64(request.LatencyTarget), 1)
	}
	return weight
}
