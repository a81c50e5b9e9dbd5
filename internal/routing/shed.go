package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Requests to a disaggregated backend are shed under overload, with a probability that rises with their predicted lateness: if
// every request is queued, all of them are late for as long as the overload lasts, whereas most are in time if some are rejected.
const (
	// minShedRatio and maxShedRatio are the ratios of predicted latency to latency target between which the share of shed
	// requests rises from 0 to maxShedShare.
	minShedRatio = 1.0
	maxShedRatio = 2.0
	maxShedShare = 0.8
	// maxIdleShare is the largest share of the latency target that the predicted latency at idle replicas may take for a
	// request to be shed: above it, the request is late because of its own size, not because of queueing.
	maxIdleShare = 0.8
)

// shedIfLate selects a request for shedding and drops its arcs if its predicted latency, by the arc of the highest weight,
// exceeds the latency target but would not at idle replicas. Retries by clients are never shed.
func (m *Matcher) shedIfLate(row *requestRow, now time.Time) {
	graph, request := &m.graph, row.request
	start := graph.rowStarts[len(graph.rowStarts)-1]
	if len(row.prefills) == 0 || request.ClientRetry || request.CompletedPrefill != nil || request.LatencyTarget <= 0 ||
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
	if chosen.idleMs > maxIdleShare*targetMs {
		return
	}
	lateness := (elapsedMs + chosen.predictedMs) / targetMs
	share := min((lateness-minShedRatio)/(maxShedRatio-minShedRatio), 1) * maxShedShare
	if affinityFraction(xxhash.Sum64String(request.AttemptID)) < share {
		request.shed = true
		graph.arcs = graph.arcs[:start]
		graph.scored = graph.scored[:start]
	}
}
