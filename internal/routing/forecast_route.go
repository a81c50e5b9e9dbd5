package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/drill"
)

// demandTTL is the age from which a sampled request whose model is loaded nowhere is left out of a forecast:
// this data plane may have stopped following the model (docs/design/parts.md).
const demandTTL = 30 * time.Second

// forecastDecision is the replica that a request would be sent to, nil for none, and the score of the pair.
type forecastDecision struct {
	replica        *Replica
	scored         scoredPair
	modelNotLoaded bool // no replica had the model loaded
}

// routeForecast accumulates one route's part of a forecast.
type routeForecast struct {
	drill.DataPlaneRoute
	firstTokenNow       *hdrhistogram.Histogram // predicted time to the first event, ms
	firstTokenAfterLoss *hdrhistogram.Histogram
}

// forecastRoute decides a route's sampled requests, the newest first, until the budget of pairs to score is
// used up.
func (f *forecaster) forecastRoute(sample []*Request, budget int) drill.DataPlaneRoute {
	first := sample[0]
	route := routeForecast{
		DataPlaneRoute: drill.DataPlaneRoute{
			Name:            first.Route,
			Priority:        first.Priority,
			LatencyTargetMs: float64(first.LatencyTarget.Milliseconds()),
		},
		firstTokenNow:       drill.NewHistogram(),
		firstTokenAfterLoss: drill.NewHistogram(),
	}
	oldest := f.now
	for position := len(sample) - 1; position >= 0 && budget > 0; position-- {
		request := sample[position]
		hosts := f.before.index.Hosts(request.Backend, request.Model)
		budget -= 2*len(hosts) + 1
		if request.ArrivedAt.Before(oldest) {
			oldest = request.ArrivedAt
		}
		if hosts == nil && f.now.Sub(request.ArrivedAt) > demandTTL {
			route.NotSubscribed++
			continue
		}
		f.decide(&route, request)
	}
	route.RatePerS = float64(route.Sampled+route.NotSubscribed) / max(f.now.Sub(oldest).Seconds(), 1)
	route.FirstTokenNow = drill.EncodeHistogram(route.firstTokenNow)
	route.FirstTokenAfterLoss = drill.EncodeHistogram(route.firstTokenAfterLoss)
	return route.DataPlaneRoute
}

// decide decides a sampled request as if it arrived now, once without the loss and once with it.
func (f *forecaster) decide(route *routeForecast, sampled *Request) {
	request := sampled.clone()
	if sampled.wasSent {
		request.PrefixHashes = sampled.PrefixHashes[:sampled.cachedParts]
		request.Parts = sampled.Parts[:sampled.cachedParts]
	}
	request.ArrivedAt = f.now
	request.Deadline = f.now.Add(sampled.Deadline.Sub(sampled.ArrivedAt))
	without := f.before.decideAlone(request, f.now)
	with := f.after.decideAlone(request, f.now)
	route.Sampled++
	route.countNow(request, without)
	f.countAfterLoss(route, request, without, with)
}

// decideAlone returns the decision on one request alone.
func (m *Matcher) decideAlone(request *Request, now time.Time) forecastDecision {
	chosen := m.solve([]*Request{request}, now)
	if chosen == nil || chosen[0] < 0 {
		return forecastDecision{modelNotLoaded: request.modelNotLoaded}
	}
	at := m.graph.rowStarts[0] + chosen[0]
	return forecastDecision{
		replica: m.graph.nodes[m.graph.arcs[at].node].replica,
		scored:  m.graph.scored[at],
	}
}

// countNow counts a request's decision without the loss.
func (r *routeForecast) countNow(request *Request, without forecastDecision) {
	switch {
	case without.replica == nil && without.modelNotLoaded:
		r.ModelNotLoadedNow++
	case without.replica == nil:
		r.WaitingNow++
	default:
		drill.RecordLatency(r.firstTokenNow, without.scored.predictedMs)
		r.LateNow += lateCount(without.scored, request)
	}
}

// countAfterLoss counts a request's decision with the loss, compared to the decision without it.
func (f *forecaster) countAfterLoss(route *routeForecast, request *Request, without, with forecastDecision) {
	switch {
	case with.replica != nil:
		drill.RecordLatency(route.firstTokenAfterLoss, with.scored.predictedMs)
		route.Late += lateCount(with.scored, request)
		if without.replica != nil {
			route.RecomputedTokens += with.scored.uncachedTokens - without.scored.uncachedTokens
		}
		if without.replica != nil && f.lost[without.replica.ID] != nil {
			route.Moved++
		} else {
			route.NotMoved++
		}
	case f.loss.LosesAllRegions(request.AllowedRegions):
		route.AllRegionsLost++
	case with.modelNotLoaded:
		route.ModelNotLoaded++
	default:
		route.Waiting++
	}
}

// lateCount returns 1 if the first event is predicted after the request's latency target, else 0.
func lateCount(scored scoredPair, request *Request) int {
	if scored.predictedMs > float64(request.LatencyTarget.Milliseconds()) {
		return 1
	}
	return 0
}
