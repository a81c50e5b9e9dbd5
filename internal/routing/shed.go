package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Requests of a split backend are shed, the more of them the later they would be, while queues alone make them late: a queue that
// every request joins makes all of them late for as long as the load lasts, whereas most are in time if some are sent away.
const (
	// shedFrom and shedMost are the predicted latencies, in latency targets, from which some requests are shed and from which
	// maxShedShare of them are.
	shedFrom = 1.0
	shedMost = 2.0
	// maxShedShare is the largest share of requests that is shed.
	maxShedShare = 0.8
	// idleLateShare: a request that would take more than this share of its target at idle replicas is late by its own size, and
	// sending it away helps it no more than others.
	idleLateShare = 0.8
)

// shedIfLate drops the arcs of a request that is to be sent away: of the best way to serve it, the predicted latency is beyond
// its target, and at idle replicas would not be. A client's retry is never shed.
func (m *Matcher) shedIfLate(row *requestRow, now time.Time) {
	graph, request := &m.graph, row.request
	start := graph.rowStarts[len(graph.rowStarts)-1]
	if len(row.prefills) == 0 || request.ClientRetry || request.HeldPrefill != nil || request.LatencyTarget <= 0 ||
		start == len(graph.scored) {
		return
	}
	best := start
	for at := start; at < len(graph.scored); at++ {
		if graph.scored[at].weight > graph.scored[best].weight {
			best = at
		}
	}
	targetMs := float64(request.LatencyTarget.Milliseconds())
	elapsedMs := float64(now.Sub(request.ArrivedAt).Milliseconds())
	chosen := &graph.scored[best]
	if chosen.idleMs > idleLateShare*targetMs {
		return
	}
	lateness := (elapsedMs + chosen.predictedMs) / targetMs
	share := min((lateness-shedFrom)/(shedMost-shedFrom), 1) * maxShedShare
	if affinityFraction(xxhash.Sum64String(request.AttemptID)) < share {
		request.shed = true
		graph.arcs = graph.arcs[:start]
		graph.scored = graph.scored[:start]
	}
}
