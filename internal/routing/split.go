package routing

import (
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
)

// prefillChoice is a prefill replica that may read a request's prompt, with what that is expected to take.
type prefillChoice struct {
	node           int // in the graph's prefills, noNode if the prompt was read already
	source         *Replica
	successRate    float64
	features       Features
	predictedMs    float64 // until the prompt is read
	idleMs         float64 // the same at an idle replica
	cachedTokens   float64
	uncachedTokens float64
	cost           float64
}

// prepareSplit finds the replicas of a split backend that are weighed for a request.
func (m *Matcher) prepareSplit(row *requestRow, isExcluded func(zone, region string) bool, now time.Time) {
	if len(row.request.prefillHostsIn(m.index)) == 0 && row.request.HeldPrefill == nil {
		return
	}
	row.isSplit = true
	row.prefix, row.sharedTokens = row.request.sharedPrefix()
	row.spreadHash = mixHash(row.request.ownHash())
	m.addPrefillChoices(row, isExcluded, now)
}

// hasRoomToRead reports whether a prefill replica still has a slot and memory for the request, after those of the batch that
// were sent before.
func (m *Matcher) hasRoomToRead(choice *prefillChoice, request *Request) bool {
	if choice.node == noNode {
		return true
	}
	node := &m.graph.prefills[choice.node]
	return node.capacity > 0 && request.PromptTokens <= node.freeMemory
}

// addPrefillChoices weighs the prefill candidates of the request. Every pair of one of them and a decode candidate is then
// scored: both are few, however many replicas there are.
func (m *Matcher) addPrefillChoices(row *requestRow, isExcluded func(zone, region string) bool, now time.Time) {
	graph, request := &m.graph, row.request
	start := len(graph.choices)
	switch {
	case request.HeldPrefill != nil:
		graph.choices = append(graph.choices, m.heldChoice(request.HeldPrefill))
	case request.NoPrefillStep || request.Resumed:
		return
	default:
		ranked := m.prefillCandidates(row, isExcluded, now)
		for rank, index := range ranked.nodes[:ranked.count] {
			graph.choices = append(graph.choices, m.weighPrefill(row, index, homeHitRates[rank]*row.sharedTokens, now))
		}
	}
	row.prefills = graph.choices[start:len(graph.choices):len(graph.choices)]
}

// prefillCandidates ranks the prefill replicas that may read a request's prompt now: those of the whole fleet if reading the
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

// mayPrefill reports whether a prefill replica may read a request's prompt now.
func (m *Matcher) mayPrefill(request *Request, node *replicaNode, isExcluded func(zone, region string) bool, now time.Time) bool {
	if node.capacity <= 0 || request.PromptTokens > node.freeMemory || !m.isEligible(request, node, now) {
		return false
	}
	if now.Before(node.state.handlesGoneUntil) || isExcluded != nil && isExcluded(node.replica.Zone, node.replica.Region) {
		return false
	}
	return m.breakerAdmits(request, node.replica, now)
}

// weighPrefill predicts what reading the prompt at a prefill replica takes.
func (m *Matcher) weighPrefill(row *requestRow, index int, expectedCached float64, now time.Time) prefillChoice {
	node := &m.graph.prefills[index]
	cached := m.cachedTokens(row, node, expectedCached, now)
	uncached := max(row.request.PromptTokens-cached, 0)
	features := node.features(*row, cached, uncached)
	cost := m.parameters.TokenCost*uncached + m.crossingCost(node.replica) + m.congestionCost(row.request, node, uncached)
	predictedMs, idleMs := node.predictStep(stepPrefill, &features)
	return prefillChoice{
		node:           index,
		source:         node.replica,
		successRate:    node.state.predictor.SuccessRate(),
		features:       features,
		predictedMs:    predictedMs,
		idleMs:         idleMs,
		cachedTokens:   cached,
		uncachedTokens: uncached,
		cost:           cost,
	}
}

// maxDelayedRequests bounds how many requests a reading is taken to delay.
const maxDelayedRequests = 8

// congestionCost is what reading so many tokens costs the other requests at a prefill replica: each that is there comes later by
// the time it takes. Without it each request would leave a busy home of its prefix for a replica that has to read the prefix
// again, which makes all of them busier.
func (m *Matcher) congestionCost(request *Request, node *replicaNode, uncached float64) float64 {
	readMs := uncached / tokensPerThousand * node.models[stepPrefill].perThousand()
	delayed := min(float64(node.state.running+node.peerLoad.Running), maxDelayedRequests)
	targetMs := max(float64(request.LatencyTarget.Milliseconds()), 1)
	return (1 - m.parameters.QualityWeight) * delayed * readMs / targetMs
}

// cachedTokens returns how many of the prompt's tokens a replica should have cached: what this data plane knows of its own
// requests, or expects since others send theirs there.
func (m *Matcher) cachedTokens(row *requestRow, node *replicaNode, expected float64, now time.Time) float64 {
	if !row.useLedger {
		return 0
	}
	return max(m.ledger.CachedTokens(node.replica.ID, row.request.prompt(), now), expected)
}

// scorePair computes the weight of reading a request's prompt at one replica and making its tokens at another.
func (m *Matcher) scorePair(row *requestRow, choice *prefillChoice, node *replicaNode, now time.Time) scoredPair {
	request := row.request
	distance := moveDistance(choice.source, node.replica)
	features := m.decodeFeatures(row, node, distance)
	decodeMs, idleMs := node.predictStep(stepDecode, &features)
	predictedMs := choice.predictedMs + decodeMs
	success := choice.successRate * node.state.predictor.SuccessRate()
	cost := choice.cost + m.parameters.MoveCost*request.PromptTokens*distance
	return scoredPair{
		weight:      m.value(request, success, predictedMs, now) - cost - m.crossingCost(node.replica),
		features:    features,
		predictedMs: predictedMs,
		pace:        1,
		prefill:     choice,
		idleMs:      choice.idleMs + idleMs,
		reachable:   isReachable(request, predictedMs, now),
	}
}

// Distances of moves between replicas, relative to one within a zone.
const (
	sameZoneDistance    = 1.0
	otherZoneDistance   = 2.0
	otherRegionDistance = 10.0
)

// moveDistance is how much longer a move of memory between two replicas takes than within a zone.
func moveDistance(from, to *Replica) float64 {
	switch {
	case from.Zone == to.Zone:
		return sameZoneDistance
	case from.Region == to.Region:
		return otherZoneDistance
	}
	return otherRegionDistance
}

// bitsPerByte and kilobitsPerMegabit convert the sizes and bandwidths of a runtime.
const (
	bitsPerByte        = 8
	kilobitsPerMegabit = 1000
)

// moveMs is how long the memory of so many tokens takes over an idle link within a zone.
func moveMs(runtime *configuration.Runtime, tokens float64) float64 {
	if runtime == nil || runtime.LinkMbps <= 0 {
		return 0
	}
	return tokens * runtime.KvTokenBytes * bitsPerByte / (runtime.LinkMbps * kilobitsPerMegabit)
}

// decodeFeatures returns the inputs of a prediction of stepDecode.
func (m *Matcher) decodeFeatures(row *requestRow, node *replicaNode, distance float64) Features {
	features := node.features(*row, 0, 0)
	features[featureMove] = moveMs(node.runtime, row.request.PromptTokens) * distance
	features[featureFarMove] = 0
	if distance > sameZoneDistance {
		features[featureFarMove] = 1
	}
	return features
}

// crossingCost is the cost of a replica in another zone.
func (m *Matcher) crossingCost(replica *Replica) float64 {
	if replica.Zone != m.zone {
		return m.parameters.CrossZoneCost
	}
	return 0
}

// sendPair counts a request at both replicas of a pair and resolves it with the decision to go there.
func (m *Matcher) sendPair(request *Request, node *replicaNode, scored scoredPair, now time.Time) {
	choice := scored.prefill
	source := &m.graph.prefills[choice.node]
	read := &Ticket{
		request:        request,
		replica:        source.replica.ID,
		step:           stepPrefill,
		key:            stepKeyOf(source.replica, stepPrefill),
		features:       choice.features,
		predictedMs:    choice.predictedMs,
		cachedTokens:   choice.cachedTokens,
		uncachedTokens: choice.uncachedTokens,
		pace:           1,
		sentAt:         now,
		holdTime:       holdTime(source.runtime),
	}
	decode := newDecodeTicket(request, node, scored, read, now)
	read.next = decode
	source.capacity--
	source.freeMemory -= request.PromptTokens
	source.state.recordTicket(read)
	node.state.reserve(decode)
	m.replicas.watched[source.replica.ID] = source.state
	request.recordCachedParts(choice.cachedTokens)
	m.recordSend(request, node, choice.uncachedTokens, now)
	m.ledger.RecordPrompt(source.replica.ID, request.prompt(), request.ArrivedAt, now)
	m.resolve(request, Decision{
		Replica: node.replica,
		Ticket:  decode,
		Prefill: &PrefillStep{Replica: source.replica, Ticket: read, Timeout: read.prefillTimeout()},
	})
}

// prefillMsPerThousand is the learned time to read a thousand uncached tokens, by which the demand for reading is reported: at
// a split backend that of its prefill replicas, wherever a prompt is read.
func (m *Matcher) prefillMsPerThousand(node *replicaNode) float64 {
	if node.replica.Phase != discovery.PhaseDecode {
		return node.state.predictor.PrefillMsPerThousand()
	}
	key := stepKey{backend: node.replica.Backend, phase: discovery.PhasePrefill, step: stepPrefill}
	return m.models.at(key).perThousand()
}

// holdTime is how long a prefill replica holds memory that nobody takes.
func holdTime(runtime *configuration.Runtime) time.Duration {
	if runtime == nil {
		return 0
	}
	return time.Duration(runtime.PrefixHoldS * float64(time.Second))
}
