package routing

import (
	"math"
	"time"

	"ferryspar/internal/discovery"
)

const (
	// inTimeMidpoint and inTimeWidth, as shares of the latency target, are the midpoint and the width of the
	// logistic step from answers in time to late ones.
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
	uncachedTokens float64 // prompt tokens to be prefilled
	prefillFactor  float64 // of the model

	// prefill, if set, is the prefill replica to be used; the other fields then describe the decode step.
	prefill *prefillChoice
	// idleMs, at a decode replica, is the predicted time to the first token if the replicas were idle.
	idleMs float64
	// meetsDeadline, at a decode replica, is set if the first event is predicted before the deadline.
	meetsDeadline bool
}

// score computes the weight of a pair of request and replica:
//
//	w = v − Ĉ, v = δP − (1−δ)L   (IEMAS §3 eq. 1, §4.2 eq. 7; §4.1 for the predicted P, L and Ĉ)
//
// P is the expected quality, L the predicted latency as a share of the latency target, and Ĉ the cost of
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
		if pair := m.scorePair(row, &row.prefills[index], node, now); pair.weight > best.weight {
			best = pair
		}
	}
	if best.meetsDeadline {
		best.weight = servableWeight(best.weight)
	}
	return best
}

// MaxColocatedPrefillTokens is the longest prompt that is prefilled at a decode replica while a prefill replica is available:
// each prefill chunk delays the next tokens of all streams there, and slower streams occupy the replica's slots for longer.
const MaxColocatedPrefillTokens = 600

// minLinearWeight is the weight below which servableWeight is no longer the identity.
const minLinearWeight = 0.02

// servableWeight maps weights to positive ones and keeps their order. At a disaggregated backend the prefill cost of a very
// long prompt may exceed the value of a late answer, although the actual value grows with the prompt as well: pruning such
// pairs would reject the largest requests only.
func servableWeight(weight float64) float64 {
	if weight >= minLinearWeight {
		return weight
	}
	return minLinearWeight * math.Exp(weight-minLinearWeight)
}

// meetsDeadline reports whether a first event is predicted before the request's deadline.
func meetsDeadline(request *Request, predictedMs float64, now time.Time) bool {
	return predictedMs <= float64(request.Deadline.Sub(now).Milliseconds())
}

// scoreUnified computes the weight of serving a request at a replica that does both prefill and decode.
func (m *Matcher) scoreUnified(row *requestRow, node *replicaNode, now time.Time) scoredPair {
	request, replica, state := row.request, node.replica, node.state
	cachedTokens := m.cachedTokens(row, node, 0, now)
	uncachedTokens := max(request.PromptTokens-cachedTokens, 0)
	features := node.features(*row, cachedTokens, uncachedTokens)
	predictedMs := state.predictor.Latency(features)
	cost := m.parameters.TokenCost*uncachedTokens*row.prefillFactor + m.crossZoneCost(replica)
	return scoredPair{
		weight:         m.value(request, state.predictor.SuccessRate(), predictedMs, now) - cost,
		features:       features,
		predictedMs:    predictedMs,
		cachedTokens:   cachedTokens,
		uncachedTokens: uncachedTokens,
		prefillFactor:  row.prefillFactor,
	}
}

// scoreLocalPrefill computes the weight of prefilling a request's prompt at its decode replica. No part of the prompt counts
// as cached there: running streams fill the KV memory of decode replicas, so cached prefixes are soon evicted, and a long
// prompt that is wrongly expected in the cache delays all streams of the replica.
func (m *Matcher) scoreLocalPrefill(row *requestRow, node *replicaNode, now time.Time) scoredPair {
	request := row.request
	uncached := request.PromptTokens
	features := node.features(*row, 0, uncached)
	predictedMs, idleMs := node.predictStep(stepFull, &features)
	cost := m.parameters.TokenCost*uncached + m.crossZoneCost(node.replica)
	if len(row.prefills) > 0 {
		cost += m.interferenceCost(request, node, uncached)
	}
	return scoredPair{
		weight:         m.value(request, node.state.predictor.SuccessRate(), predictedMs, now) - cost,
		features:       features,
		predictedMs:    predictedMs,
		uncachedTokens: uncached,
		prefillFactor:  1,
		idleMs:         idleMs,
		meetsDeadline:  meetsDeadline(request, predictedMs, now),
	}
}

// The interference cost rises linearly from 0 to its maximum while the predicted prefill time rises from the first to the
// second of these shares of the route's maximum token gap.
const (
	minInterferenceGapShare = 0.2
	maxInterferenceGapShare = 0.7
)

// interferenceCost returns the cost, to the streams that run at a decode replica, of prefilling so many tokens there: the next
// tokens of the streams wait for each prefill chunk, and a stream whose token gap exceeds its limit counts as late. It does not
// apply if no prefill replica could be used instead.
func (m *Matcher) interferenceCost(request *Request, node *replicaNode, uncached float64) float64 {
	gapMs := float64(request.MaxTokenGap.Milliseconds())
	running := float64(node.state.running + node.peerLoad.Running)
	if gapMs <= 0 || running <= 0 {
		return 0
	}
	msPerThousand := node.models[stepFull].prefillMsPerThousand()
	prefillMs := (uncached + node.state.pendingTokens + node.peerLoad.PrefillTokens) / tokensPerThousand * msPerThousand
	share := (prefillMs/gapMs - minInterferenceGapShare) / (maxInterferenceGapShare - minInterferenceGapShare)
	return m.parameters.InterferenceCost * min(running, maxInterferedStreams) * min(max(share, 0), 1)
}

// maxInterferedStreams limits the number of streams that the interference cost counts.
const maxInterferedStreams = 16

// value returns v of IEMAS eq. 1.
func (m *Matcher) value(request *Request, successRate, predictedMs float64, now time.Time) float64 {
	latencyTargetMs := max(float64(request.LatencyTarget.Milliseconds()), 1)
	quality := m.quality(request, successRate, predictedMs, latencyTargetMs, now)
	latency := min(predictedMs/latencyTargetMs, m.parameters.MaxLatencyRatio)
	return m.parameters.QualityWeight*quality - (1-m.parameters.QualityWeight)*latency
}

// features returns the predictor's inputs for one pair (IEMAS §4.1 eq. 4 and 5); see Features.
func (n *replicaNode) features(row requestRow, cachedTokens, uncachedTokens float64) Features {
	running := float64(n.state.running + n.peerLoad.Running)
	utilization := running / float64(max(n.replica.Slots, 1))
	return Features{
		featureIntercept:         1,
		featureUncached:          uncachedTokens / tokensPerThousand * row.prefillFactor,
		featureUtilization:       utilization,
		featurePending:           (n.state.pendingTokens + n.peerLoad.PrefillTokens) / tokensPerThousand,
		featureUtilizationFactor: utilization * row.prefillFactor,
		featureAffinity:          cachedTokens / max(1, row.request.PromptTokens),
	}
}

// quality returns P of IEMAS eq. 1: the replica's success rate times a logistic step at the latency target,
// with a floor for answers after the target but before the deadline, and 0 for those expected after it.
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
