package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ferryspar/internal/drill"
)

// demandTTL: a request of a model that nobody holds is left out of a forecast when it is older,
// since this data plane may have stopped to follow the model (docs/design/parts.md).
const demandTTL = 30 * time.Second

// routeForecaster decides the recent requests of routes again, with the loss and without.
type routeForecaster struct {
	before *Matcher
	after  *Matcher
	loss   drill.Loss
	lost   map[string]*Replica
	budget int // pairs that may be weighed for each route
	now    time.Time
}

// forecastDecision is where a request would go and what that was worth; a nil replica is nowhere.
type forecastDecision struct {
	replica  *Replica
	scored   scoredPair
	unplaced bool // no replica held the model
}

// routeCount is one route's part of a forecast in the making.
type routeCount struct {
	drill.DataPlaneRoute
	firstNow  *hdrhistogram.Histogram // predicted time to the first event, ms
	firstThen *hdrhistogram.Histogram
}

// forecast decides a route's sample, the newest request first, until the budget is used.
func (f *routeForecaster) forecast(sample []*Request) drill.DataPlaneRoute {
	first := sample[0]
	route := routeCount{
		DataPlaneRoute: drill.DataPlaneRoute{
			Name:            first.Route,
			Priority:        first.Priority,
			LatencyTargetMs: float64(first.LatencyTarget.Milliseconds()),
		},
		firstNow:  drill.NewHistogram(),
		firstThen: drill.NewHistogram(),
	}
	oldest := f.now
	budget := f.budget
	for position := len(sample) - 1; position >= 0 && budget > 0; position-- {
		request := sample[position]
		hosts := f.before.index.Hosts(request.Backend, request.Model)
		budget -= 2*len(hosts) + 1
		if request.Arrived.Before(oldest) {
			oldest = request.Arrived
		}
		if hosts == nil && f.now.Sub(request.Arrived) > demandTTL {
			route.NotFollowed++
			continue
		}
		f.decide(&route, request)
	}
	route.RatePerS = float64(route.Sampled+route.NotFollowed) / max(f.now.Sub(oldest).Seconds(), 1)
	route.FirstTokenNow = drill.EncodeHistogram(route.firstNow)
	route.FirstTokenAfterLoss = drill.EncodeHistogram(route.firstThen)
	return route.DataPlaneRoute
}

// decide decides a sampled request as though it came now, without the loss and with it.
func (f *routeForecaster) decide(route *routeCount, sampled *Request) {
	request := sampled.clone()
	if sampled.wasSent {
		request.PrefixHashes = sampled.PrefixHashes[:sampled.cachedParts]
		request.Parts = sampled.Parts[:sampled.cachedParts]
	}
	request.Arrived = f.now
	request.Deadline = f.now.Add(sampled.Deadline.Sub(sampled.Arrived))
	here := f.before.decideAlone(request, f.now)
	there := f.after.decideAlone(request, f.now)
	route.Sampled++
	route.countNow(request, here)
	f.countThen(route, request, here, there)
}

// decide is the decision on one request alone.
func (m *Matcher) decideAlone(request *Request, now time.Time) forecastDecision {
	chosen := m.solve([]*Request{request}, now)
	if chosen == nil || chosen[0] < 0 {
		return forecastDecision{unplaced: request.modelNotLoaded}
	}
	at := m.graph.rowStarts[0] + chosen[0]
	return forecastDecision{
		replica: m.graph.nodes[m.graph.arcs[at].node].replica,
		scored:  m.graph.scored[at],
	}
}

// countNow counts a request's decision without the loss.
func (r *routeCount) countNow(request *Request, here forecastDecision) {
	switch {
	case here.replica == nil && here.unplaced:
		r.NowhereLoadedNow++
	case here.replica == nil:
		r.WaitingNow++
	default:
		drill.RecordLatency(r.firstNow, here.scored.predictedMs)
		r.LateNow += lateCount(here.scored, request)
	}
}

// countThen counts its decision with the loss, beside that without.
func (f *routeForecaster) countThen(route *routeCount, request *Request, here, there forecastDecision) {
	switch {
	case there.replica != nil:
		drill.RecordLatency(route.firstThen, there.scored.predictedMs)
		route.Late += lateCount(there.scored, request)
		if here.replica != nil {
			route.RecomputedTokens += there.scored.uncachedTokens - here.scored.uncachedTokens
		}
		if here.replica != nil && f.lost[here.replica.ID] != nil {
			route.Moved++
		} else {
			route.Staying++
		}
	case f.loss.LosesAllRegions(request.AllowedRegions):
		route.BoundToLost++
	case there.unplaced:
		route.NowhereLoaded++
	default:
		route.Waiting++
	}
}

// lateCount is 1 for a first event predicted beyond the request's aim.
func lateCount(scored scoredPair, request *Request) int {
	if scored.predictedMs > float64(request.LatencyTarget.Milliseconds()) {
		return 1
	}
	return 0
}
