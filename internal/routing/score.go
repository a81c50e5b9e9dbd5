package routing

import (
	"math"
	"time"

	"ferryspar/internal/discovery"
)

// tokensPerThousand converts tokens to the unit of the latency model.
const tokensPerThousand = 1000

// scoredPair is the value of serving one request at one replica, with its components.
type scoredPair struct {
	weight         float64 // w = v − Ĉ (IEMAS eq. 7)
	features       Features
	predictedMs    float64 // time to the first token
	cachedTokens   float64 // prompt tokens the ledger expects in the replica's cache
	uncachedTokens float64 // prompt tokens to be prefilled
	prefillFactor  float64 // of the model

	// prefill, if set, is the prefill replica to be used; the other fields then describe the decode step.
	prefill *prefillChoice
	// inTime is set if the answer is expected to be complete before the deadline; the pair is pruned otherwise.
	inTime bool
}

// score computes the weight of a pair of request and replica:
//
//	w = v − Ĉ, v = δP − (1−δ)L   (IEMAS §3 eq. 1, §4.2 eq. 7; §4.1 for the predicted P, L and Ĉ)
//
// P is the replica's success rate, L the predicted latency as a share of the latency target, and Ĉ the cost of
// the tokens to be prefilled and of crossing zones. At a decode replica it is the best weight among prefilling the prompt
// there and prefilling it at one of the row's prefill replicas. docs/design/routing-policy.md describes the differences from
// the paper.
func (m *Matcher) score(row *requestRow, node *replicaNode, now time.Time) scoredPair {
	if node.replica.Phase != discovery.PhaseDecode {
		return m.scoreUnified(row, node, now)
	}
	best := scoredPair{weight: math.Inf(-1)}
	if len(row.prefills) == 0 || row.request.PromptTokens <= MaxColocatedPrefillTokens {
		best = m.scoreLocalPrefill(row, node, now)
	}
	for index := range row.prefills {
		if pair := m.scorePair(row, &row.prefills[index], node, now); pair.isBetterThan(&best) {
			best = pair
		}
	}
	return best
}

// MaxColocatedPrefillTokens is the longest prompt that is prefilled at a decode replica while a prefill replica is available:
// each prefill chunk delays the next tokens of all streams there, and slower streams occupy the replica's slots for longer.
const MaxColocatedPrefillTokens = 600

// isBetterThan reports whether a way to serve a request is better than another: in time rather than not, then by weight.
func (p *scoredPair) isBetterThan(other *scoredPair) bool {
	if p.inTime != other.inTime {
		return p.inTime
	}
	return p.weight > other.weight
}

// completesInTime reports whether an answer is expected to be complete before the request's deadline, given the time to read its
// prompt and those ahead of it. An idle replica may always try: nothing is ahead of the request there, and an estimate that is too high
// would otherwise never be corrected.
func (m *Matcher) completesInTime(request *Request, node *replicaNode, promptsMs float64, now time.Time) bool {
	if node.state.running+node.peerLoad.Running == 0 {
		return now.Before(request.Deadline)
	}
	return promptsMs+m.answers.expectedMs(request) <= inMs(request.Deadline.Sub(now))
}

// scoreUnified computes the weight of serving a request at a replica that does both prefill and decode.
func (m *Matcher) scoreUnified(row *requestRow, node *replicaNode, now time.Time) scoredPair {
	request, replica, state := row.request, node.replica, node.state
	cachedTokens := m.cachedTokens(row, node, 0, now)
	uncachedTokens := max(request.PromptTokens-cachedTokens, 0)
	features := node.features(*row, cachedTokens, uncachedTokens)
	predictedMs := state.predictor.Latency(features)
	cost := m.parameters.TokenCost*uncachedTokens*row.prefillFactor + m.crossZoneCost(replica)
	promptsMs := (uncachedTokens*row.prefillFactor + node.pendingTokens()) / tokensPerThousand * state.predictor.PrefillMsPerThousand()
	return scoredPair{
		weight:         m.value(request, state.predictor.SuccessRate(), predictedMs) - cost,
		features:       features,
		predictedMs:    predictedMs,
		cachedTokens:   cachedTokens,
		uncachedTokens: uncachedTokens,
		prefillFactor:  row.prefillFactor,
		inTime:         m.completesInTime(request, node, promptsMs, now),
	}
}

// scoreLocalPrefill computes the weight of prefilling a request's prompt at its decode replica. No part of the prompt counts
// as cached there: running streams fill the KV memory of decode replicas, so cached prefixes are soon evicted, and a long
// prompt that is wrongly expected in the cache delays all streams of the replica.
func (m *Matcher) scoreLocalPrefill(row *requestRow, node *replicaNode, now time.Time) scoredPair {
	request := row.request
	uncached := request.PromptTokens
	features := node.features(*row, 0, uncached)
	predictedMs := node.predictStep(stepFull, &features)
	cost := m.parameters.TokenCost*uncached + m.crossZoneCost(node.replica)
	if len(row.prefills) > 0 {
		cost += m.interferenceCost(request, node, uncached)
	}
	return scoredPair{
		weight:         m.value(request, node.state.predictor.SuccessRate(), predictedMs) - cost,
		features:       features,
		predictedMs:    predictedMs,
		uncachedTokens: uncached,
		prefillFactor:  1,
		inTime:         m.completesInTime(request, node, predictedMs, now),
	}
}

// interferenceCost returns the cost, to the streams that run at a decode replica, of prefilling so many tokens there: the next
// tokens of the streams wait for it, and their routes promise a maximum token gap. It rises with the part of that gap that the prefill
// takes, and does not apply if no prefill replica could be used instead.
func (m *Matcher) interferenceCost(request *Request, node *replicaNode, uncached float64) float64 {
	gapMs := float64(request.MaxTokenGap.Milliseconds())
	running := float64(node.state.running + node.peerLoad.Running)
	if gapMs <= 0 || running <= 0 {
		return 0
	}
	msPerThousand := node.models[stepFull].prefillMsPerThousand()
	prefillMs := (uncached + node.pendingTokens()) / tokensPerThousand * msPerThousand
	return m.parameters.InterferenceCost * min(running, maxInterferedStreams) * min(prefillMs/gapMs, 1)
}

// maxInterferedStreams limits the number of streams that the interference cost counts.
const maxInterferedStreams = 16

// value returns v of IEMAS eq. 1. The latency is relative to the route's latency target, or, without one, to one second.
func (m *Matcher) value(request *Request, successRate, predictedMs float64) float64 {
	scaleMs := inMs(request.LatencyTarget)
	if scaleMs <= 0 {
		scaleMs = inMs(time.Second)
	}
	return m.parameters.QualityWeight*successRate - (1-m.parameters.QualityWeight)*predictedMs/scaleMs
}

// pendingTokens returns the uncached prompt tokens of all data planes' requests that the replica has not read yet.
func (n *replicaNode) pendingTokens() float64 {
	return n.state.pendingTokens + n.peerLoad.PrefillTokens
}

// features returns the predictor's inputs for one pair (IEMAS §4.1 eq. 4 and 5); see Features.
func (n *replicaNode) features(row requestRow, cachedTokens, uncachedTokens float64) Features {
	running := float64(n.state.running + n.peerLoad.Running)
	utilization := running / float64(max(n.replica.Slots, 1))
	return Features{
		featureIntercept:         1,
		featureUncached:          uncachedTokens / tokensPerThousand * row.prefillFactor,
		featureUtilization:       utilization,
		featurePending:           n.pendingTokens() / tokensPerThousand,
		featureUtilizationFactor: utilization * row.prefillFactor,
		featureAffinity:          cachedTokens / max(1, row.request.PromptTokens),
	}
}
