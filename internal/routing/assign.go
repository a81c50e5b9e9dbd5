package routing

import (
	"time"
)

// assign decides one micro-batch (IEMAS §4, figure 2 and algorithm 1) and sends every request that was
// assigned a replica. The others stay undecided; the caller keeps them in the queue or rejects them.
func (m *Matcher) assign(requests []*Request, now time.Time) {
	if chosen := m.solve(requests, now); chosen != nil {
		m.sendChosen(requests, chosen, now)
	}
}

// solve builds the assignment graph of a batch and returns, for each request, the position of the chosen
// arc among the request's arcs, or -1. The requests are in the order in which they are served if slots are short; of the
// allocations that keep to it, the result maximizes the sum of weights (IEMAS §4.2 eq. 7). It returns nil if every pair is pruned.
// The result and the graph it refers to are valid until the next call.
func (m *Matcher) solve(requests []*Request, now time.Time) []int {
	graph := &m.graph
	defer graph.reset()
	m.buildNodes(requests, now)
	graph.arcs = graph.arcs[:0]
	graph.scored = graph.scored[:0]
	graph.rowStarts = graph.rowStarts[:0]
	graph.choices = graph.choices[:0]
	useLedger := m.LedgerTrusted == nil || m.LedgerTrusted(now)
	for _, request := range requests {
		graph.rowStarts = append(graph.rowStarts, len(graph.arcs))
		row := requestRow{
			request:       request,
			prefillFactor: m.prefillFactors.factor(request.Model),
			useLedger:     useLedger,
		}
		m.addRow(&row, now)
	}
	if len(graph.arcs) == 0 {
		return nil
	}
	graph.divideRows()
	return graph.solver.assign(graph.rows, graph.capacity)
}

// addRow adds the arcs of one request: one for each usable host of its model that may complete the answer in time.
// Fallback replicas (see limitToShare) are used only if this data plane is designated for no other replica;
// in that case, only the one with the lowest hash fraction is used.
func (m *Matcher) addRow(row *requestRow, now time.Time) {
	graph, request := &m.graph, row.request
	request.modelNotLoaded = true
	hasDesignated := false
	fallback := noNode
	isExcluded := request.drill.excluded(m, request, now)
	m.prepareDisaggregated(row, isExcluded, now)
	decodes := zoneCandidates{}
	for _, position := range request.hostsIn(m.index) {
		index := graph.nodeAt[position]
		node := &graph.nodes[index]
		if !m.isEligible(request, node, now) {
			continue
		}
		if isExcluded != nil && isExcluded(node.replica.Zone, node.replica.Region) {
			continue
		}
		request.modelNotLoaded = false
		if !m.breakerAdmits(request, node.replica, now) {
			continue
		}
		hasDesignated = hasDesignated || node.designated
		switch {
		case node.fallback:
			if fallback == noNode || node.state.hashFraction < graph.nodes[fallback].state.hashFraction {
				fallback = index
			}
		case row.disaggregated:
			decodes.add(node, index, row)
		default:
			m.addArc(row, index, now)
		}
	}
	for _, index := range decodes.nodes() {
		m.addArc(row, index, now)
	}
	if !hasDesignated && fallback != noNode {
		m.addArc(row, fallback, now)
	}
}

// isEligible reports whether a replica may serve a request, regardless of its load: it is neither excluded
// nor in a drained zone, and has not recently answered that the model is not loaded.
func (m *Matcher) isEligible(request *Request, node *replicaNode, now time.Time) bool {
	if !node.replica.accepts(request) || m.snapshot.DrainedZones[node.replica.Zone] {
		return false
	}
	if len(node.state.missingUntil) == 0 {
		return true
	}
	until, missing := node.state.missingUntil[request.Model]
	return !missing || !now.Before(until)
}

// addArc adds the arc between a request and a replica unless the replica has no slot or not enough memory
// for it, or is not expected to complete the answer in the request's remaining time (pruned, IEMAS algorithm 1 line 12).
func (m *Matcher) addArc(row *requestRow, index int, now time.Time) {
	graph := &m.graph
	node := &graph.nodes[index]
	if node.capacity <= 0 || row.request.TotalTokens() > node.freeMemory {
		return
	}
	if scored := m.score(row, node, now); scored.inTime {
		graph.scored = append(graph.scored, scored)
		graph.arcs = append(graph.arcs, arc{index, -scored.weight})
	}
}

// sendChosen sends the assigned requests in their order. The flow has capacities for slots only (IEMAS eq. 2), so a request that no
// longer fits into the replica's KV memory after those sent before it stays undecided.
func (m *Matcher) sendChosen(requests []*Request, chosen []int, now time.Time) {
	graph := &m.graph
	for row, request := range requests {
		if chosen[row] < 0 {
			continue
		}
		at := graph.rowStarts[row] + chosen[row]
		node := &graph.nodes[graph.arcs[at].node]
		if request.TotalTokens() > node.freeMemory {
			continue
		}
		scored := graph.scored[at]
		if scored.prefill != nil && !m.hasPrefillCapacity(scored.prefill, request) {
			continue
		}
		node.freeMemory -= request.TotalTokens()
		switch {
		case scored.prefill == nil:
			m.send(request, node, scored, now)
		case scored.prefill.node == noNode:
			m.sendDecode(request, node, scored, now)
		default:
			m.sendPair(request, node, scored, now)
		}
	}
}

// send counts a request as running at a replica and resolves it with that replica.
func (m *Matcher) send(request *Request, node *replicaNode, scored scoredPair, now time.Time) {
	replica, state := node.replica, node.state
	ticket := &Ticket{
		request:        request,
		replica:        replica.ID,
		features:       scored.features,
		predictedMs:    scored.predictedMs,
		cachedTokens:   scored.cachedTokens,
		uncachedTokens: scored.uncachedTokens,
		prefillFactor:  scored.prefillFactor,
		sentAt:         now,
		key:            stepKeyOf(replica, stepFull),
		expectedMs:     m.expectedMs(request),
	}
	state.recordTicket(ticket)
	request.recordCachedParts(scored.cachedTokens)
	m.recordSend(request, node, scored.uncachedTokens*scored.prefillFactor, now)
	m.demand.recordStart(request)
	m.resolve(request, Decision{Replica: replica, Ticket: ticket})
}

// recordSend counts a request that is sent to the replica that decodes it. uncachedTokens are the prompt tokens to be
// prefilled, there or at another replica, scaled by the prefill factor.
func (m *Matcher) recordSend(request *Request, node *replicaNode, uncachedTokens float64, now time.Time) {
	replica, state := node.replica, node.state
	if request.drill != nil {
		request.drill.recordSend(request, replica)
	}
	state.recordSend(now, node.warmUp.sendsToRemember())
	m.replicas.watched[replica.ID] = state
	prefillMs := uncachedTokens / tokensPerThousand * m.prefillMsPerThousand(node)
	m.demand.recordPrefill(request, prefillMs)
	m.ledger.RecordPrompt(replica.ID, request.prompt(), request.ArrivedAt, now)
}
