package routing

import (
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
)

// prefillChoice is a prefill candidate of a request, with the expected latency and cost of the prefill.
type prefillChoice struct {
	node           int // in the graph's prefills, noNode if the prefill is already complete
	source         *Replica
	successRate    float64
	features       Features
	predictedMs    float64 // duration of the prefill step
	cachedTokens   float64
	uncachedTokens float64
	cost           float64
}

// prepareDisaggregated sets the fields of a row that are used with a disaggregated backend.
func (m *Matcher) prepareDisaggregated(row *requestRow, isExcluded func(zone, region string) bool, now time.Time) {
	if len(row.request.prefillHostsIn(m.index)) == 0 && row.request.CompletedPrefill == nil {
		return
	}
	row.disaggregated = true
	row.prefix, row.sharedTokens = row.request.sharedPrefix()
	row.spreadHash = mixHash(row.request.ownHash())
	m.addPrefillChoices(row, isExcluded, now)
}

// hasPrefillCapacity reports whether a prefill replica still has a slot and memory for the request after the earlier requests of
// the batch. It is true if the prefill is already complete.
func (m *Matcher) hasPrefillCapacity(choice *prefillChoice, request *Request) bool {
	if choice.node == noNode {
		return true
	}
	node := &m.graph.prefills[choice.node]
	return node.capacity > 0 && request.PromptTokens <= node.freeMemory
}

// addPrefillChoices adds the prefill candidates of a request to its row. Every pair of a prefill and a decode candidate is
// scored; the number of either is limited, regardless of the size of the fleet.
func (m *Matcher) addPrefillChoices(row *requestRow, isExcluded func(zone, region string) bool, now time.Time) {
	graph, request := &m.graph, row.request
	start := len(graph.choices)
	switch {
	case request.CompletedPrefill != nil:
		graph.choices = append(graph.choices, m.completedPrefillChoice(request.CompletedPrefill))
	case request.NoPrefillStep || request.Resumed:
		return
	default:
		ranked := m.prefillCandidates(row, isExcluded, now)
		for rank, index := range ranked.nodes[:ranked.count] {
			graph.choices = append(graph.choices, m.scorePrefill(row, index, expectedHitRates[rank]*row.sharedTokens, now))
		}
	}
	row.prefills = graph.choices[start:len(graph.choices):len(graph.choices)]
}

// prefillCandidates ranks the prefill replicas that are available to a request: those of the whole fleet if prefilling the
// shared prefix again costs more than crossing zones twice, else those of this data plane's zone, if there are any.
func (m *Matcher) prefillCandidates(row *requestRow, isExcluded func(zone, region string) bool, now time.Time) candidates {
	var all, near candidates
	crossing := m.parameters.TokenCost*row.sharedTokens > 2*m.parameters.CrossZoneCost
	for _, position := range row.request.prefillHostsIn(m.index) {
		index := m.graph.nodeAt[position]
		node := &m.graph.prefills[index]
		if !m.mayPrefill(row.request, node, isExcluded, now) {
			continue
		}
		hash := affinityHash(row.prefix, node.state.idHash)
		all.add(index, hash)
		if node.replica.Zone == m.zone {
			near.add(index, hash)
		}
	}
	if crossing || near.count == 0 {
		return all
	}
	return near
}

// mayPrefill reports whether a prefill replica is available to a request now.
func (m *Matcher) mayPrefill(request *Request, node *replicaNode, isExcluded func(zone, region string) bool, now time.Time) bool {
	if node.capacity <= 0 || request.PromptTokens > node.freeMemory || !m.isEligible(request, node, now) {
		return false
	}
	if now.Before(node.state.noPrefillUntil) || isExcluded != nil && isExcluded(node.replica.Zone, node.replica.Region) {
		return false
	}
	return m.breakerAdmits(request, node.replica, now)
}

// scorePrefill computes the expected latency and cost of a request's prefill at a prefill replica.
func (m *Matcher) scorePrefill(row *requestRow, index int, expectedCached float64, now time.Time) prefillChoice {
	node := &m.graph.prefills[index]
	cached := m.cachedTokens(row, node, expectedCached, now)
	uncached := max(row.request.PromptTokens-cached, 0)
	features := node.features(*row, cached, uncached)
	cost := m.parameters.TokenCost*uncached + m.crossZoneCost(node.replica) + m.congestionCost(row.request, node, uncached)
	predictedMs := node.predictStep(stepPrefill, &features)
	return prefillChoice{
		node:           index,
		source:         node.replica,
		successRate:    node.state.predictor.SuccessRate(),
		features:       features,
		predictedMs:    predictedMs,
		cachedTokens:   cached,
		uncachedTokens: uncached,
		cost:           cost,
	}
}

// maxDelayedRequests limits the number of requests that the congestion cost counts.
const maxDelayedRequests = 8

// congestionCost returns the cost of a prefill to the other requests at a prefill replica, each of which is delayed by its
// duration. Without this cost, requests would move from the busy replica that caches their prefix to replicas that have to
// prefill it again, which increases the load of all replicas.
func (m *Matcher) congestionCost(request *Request, node *replicaNode, uncached float64) float64 {
	prefillMs := uncached / tokensPerThousand * node.models[stepPrefill].prefillMsPerThousand()
	delayed := min(float64(node.state.running+node.peerLoad.Running), maxDelayedRequests)
	targetMs := max(float64(request.LatencyTarget.Milliseconds()), 1)
	return (1 - m.parameters.QualityWeight) * delayed * prefillMs / targetMs
}

// cachedTokens returns how many of the prompt's tokens a replica should have cached: by the ledger of this data plane's own
// requests, or by the expected number, since other data planes send requests with the same prefix there.
func (m *Matcher) cachedTokens(row *requestRow, node *replicaNode, expected float64, now time.Time) float64 {
	if !row.useLedger {
		return 0
	}
	return max(m.ledger.CachedTokens(node.replica.ID, row.request.prompt(), now), expected)
}

// scorePair computes the weight of a prefill replica and a decode replica for a request.
func (m *Matcher) scorePair(row *requestRow, choice *prefillChoice, node *replicaNode, now time.Time) scoredPair {
	request := row.request
	distance := transferDistance(choice.source, node.replica)
	features := m.decodeFeatures(row, node, distance)
	decodeMs := node.predictStep(stepDecode, &features)
	predictedMs := choice.predictedMs + decodeMs
	success := choice.successRate * node.state.predictor.SuccessRate()
	cost := choice.cost + m.parameters.TransferCost*request.PromptTokens*distance
	return scoredPair{
		weight:        m.value(request, success, predictedMs) - cost - m.crossZoneCost(node.replica),
		features:      features,
		predictedMs:   predictedMs,
		prefillFactor: 1,
		prefill:       choice,
		inTime:        m.completesInTime(request, node, predictedMs, now),
	}
}

// Distances of KV cache transfers between replicas, relative to a transfer within a zone.
const (
	sameZoneDistance    = 1.0
	otherZoneDistance   = 2.0
	otherRegionDistance = 10.0
)

// transferDistance returns the duration of a KV cache transfer between two replicas, relative to one within a zone.
func transferDistance(from, to *Replica) float64 {
	switch {
	case from.Zone == to.Zone:
		return sameZoneDistance
	case from.Region == to.Region:
		return otherZoneDistance
	}
	return otherRegionDistance
}

// bitsPerByte and kilobitsPerMegabit convert between the units of a runtime's sizes and bandwidths.
const (
	bitsPerByte        = 8
	kilobitsPerMegabit = 1000
)

// transferMs returns how long the KV cache of so many tokens takes over an idle link within a zone, or 0 if the link's
// bandwidth is not configured.
func transferMs(runtime *configuration.Runtime, tokens float64) float64 {
	if runtime == nil || runtime.LinkMbps <= 0 {
		return 0
	}
	return tokens * runtime.KvTokenBytes * bitsPerByte / (runtime.LinkMbps * kilobitsPerMegabit)
}

// decodeFeatures returns the inputs of a prediction of stepDecode.
func (m *Matcher) decodeFeatures(row *requestRow, node *replicaNode, distance float64) Features {
	features := node.features(*row, 0, 0)
	features[featureTransfer] = transferMs(node.runtime, row.request.PromptTokens) * distance
	features[featureCrossZone] = 0
	if distance > sameZoneDistance {
		features[featureCrossZone] = 1
	}
	return features
}

// crossZoneCost returns the cost of a replica in another zone, 0 for one in this data plane's zone.
func (m *Matcher) crossZoneCost(replica *Replica) float64 {
	if replica.Zone != m.zone {
		return m.parameters.CrossZoneCost
	}
	return 0
}

// sendPair counts a request at both replicas of a pair and resolves it with them.
func (m *Matcher) sendPair(request *Request, node *replicaNode, scored scoredPair, now time.Time) {
	choice := scored.prefill
	source := &m.graph.prefills[choice.node]
	prefill := &Ticket{
		request:        request,
		replica:        source.replica.ID,
		step:           stepPrefill,
		key:            stepKeyOf(source.replica, stepPrefill),
		features:       choice.features,
		predictedMs:    choice.predictedMs,
		cachedTokens:   choice.cachedTokens,
		uncachedTokens: choice.uncachedTokens,
		prefillFactor:  1,
		sentAt:         now,
		kvTTL:          kvTTL(source.runtime),
		timeout:        m.prefillTimeout(request, now),
	}
	decode := m.newDecodeTicket(request, node, scored, prefill, now)
	prefill.decode = decode
	source.capacity--
	source.freeMemory -= request.PromptTokens
	source.state.recordTicket(prefill)
	node.state.reserve(decode)
	m.replicas.watched[source.replica.ID] = source.state
	request.recordCachedParts(choice.cachedTokens)
	m.recordSend(request, node, choice.uncachedTokens, now)
	m.ledger.RecordPrompt(source.replica.ID, request.prompt(), request.ArrivedAt, now)
	m.resolve(request, Decision{
		Replica: node.replica,
		Ticket:  decode,
		Prefill: &PrefillStep{Replica: source.replica, Ticket: prefill, Timeout: prefill.timeout},
	})
}

// prefillMsPerThousand returns the learned time to prefill a thousand uncached tokens, by which the prefill demand is
// reported. At a disaggregated backend it is that of the prefill replicas, wherever the prefill runs.
func (m *Matcher) prefillMsPerThousand(node *replicaNode) float64 {
	if node.replica.Phase != discovery.PhaseDecode {
		return node.state.predictor.PrefillMsPerThousand()
	}
	key := stepKey{backend: node.replica.Backend, phase: discovery.PhasePrefill, step: stepPrefill}
	return m.models.at(key).prefillMsPerThousand()
}

// kvTTL returns how long a prefill replica keeps a KV cache that is not fetched.
func kvTTL(runtime *configuration.Runtime) time.Duration {
	if runtime == nil {
		return 0
	}
	return time.Duration(runtime.PrefixHoldS * float64(time.Second))
}
