package routing

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ferryspar/internal/drill"
)

// ZoneFilter reports whether a zone of a region is part of a forecast or rehearsed loss.
type ZoneFilter func(zone, region string) bool

// Forecast computes what this data plane would do if replicas were lost (docs/design/rehearsal.md). It runs the
// ordinary decisions on a copy of the matcher, so it changes nothing; Run is blocked only while it copies. Any
// goroutine may call it.
func (m *Matcher) Forecast(ctx context.Context, loss drill.Loss) (drill.ForecastResponse, error) {
	reply := make(chan *Matcher, 1)
	select {
	case m.inbox.forkRequests <- reply:
		before := <-reply
		return before.forecast(loss, before.clock()), nil
	case <-ctx.Done():
		return drill.ForecastResponse{}, ctx.Err()
	}
}

// maxForecastPairs limits the pairs of request and replica that a forecast scores, over all routes.
const maxForecastPairs = 100_000

// forecaster decides on two forks of a matcher, one before a loss and one after it.
type forecaster struct {
	before *Matcher
	after  *Matcher
	loss   drill.Loss
	lost   map[string]*Replica // by id
	now    time.Time
}

// forecast computes a forecast. It must be called on a fork, which decides without the loss; a second fork decides with it.
func (m *Matcher) forecast(loss drill.Loss, now time.Time) drill.ForecastResponse {
	rest, lost := m.snapshot.without(loss.Covers)
	after := m.fork(now, m.ledger.forkOrdered())
	after.useSnapshot(rest, NewIndex(rest.Replicas))
	forecaster := forecaster{
		before: m,
		after:  after,
		loss:   loss,
		lost:   lost,
		now:    now,
	}
	return forecaster.run()
}

// run first places the requests that run at lost replicas and those that wait, so that the remaining replicas
// have the load that they would have, and then decides the sampled requests of each route.
func (f *forecaster) run() drill.ForecastResponse {
	table, samples := f.before.snapshot.Table, f.before.ledger.samples.routes
	response := drill.ForecastResponse{
		Ready:    table != nil,
		Cached:   f.before.ledger.cachedTokensByModel(f.lost),
		Replicas: map[string]drill.ReplicaLoad{},
	}
	if !response.Ready {
		return response
	}
	for id, state := range f.before.replicas.states {
		if state.running > 0 {
			response.Replicas[id] = drill.ReplicaLoad{Running: state.running}
		}
	}
	f.placeInFlight(&response)
	budget := maxForecastPairs / max(len(samples), 1)
	for _, route := range table.Configuration.Routes {
		ring := samples[route.Name]
		if ring != nil && len(ring.requests) > 0 {
			response.Routes = append(response.Routes, f.forecastRoute(ring.requests, budget))
		}
	}
	return response
}

// cachedTokensByModel counts the tokens in the ledger by model: those at lost replicas, those cached only
// there, and those at other replicas.
func (l *PrefixLedger) cachedTokensByModel(lost map[string]*Replica) map[string]drill.CachedTokens {
	keptElsewhere := map[ledgerKey]bool{}
	for key := range l.entries {
		if lost[key.replica] == nil {
			keptElsewhere[key.withoutReplica()] = true
		}
	}
	counted := map[ledgerKey]bool{}
	result := map[string]drill.CachedTokens{}
	for key, entry := range l.entries {
		sum := result[key.model]
		if lost[key.replica] == nil {
			sum.Kept += entry.tokens
		} else {
			sum.Lost += entry.tokens
			if prefix := key.withoutReplica(); !keptElsewhere[prefix] && !counted[prefix] {
				sum.OnlyInScope += entry.tokens
				counted[prefix] = true
			}
		}
		result[key.model] = sum
	}
	return result
}

// withoutReplica returns the key with no replica, to compare prefixes between replicas.
func (k ledgerKey) withoutReplica() ledgerKey {
	return ledgerKey{model: k.model, prefix: k.prefix}
}

// inFlightAtLost returns copies of the requests that run at lost replicas, sorted by attempt.
func (f *forecaster) inFlightAtLost() []*Request {
	var requests []*Request
	for id, state := range f.before.replicas.states {
		if f.lost[id] == nil {
			continue
		}
		for ticket := range state.inFlight {
			requests = append(requests, ticket.request.clone())
		}
	}
	slices.SortFunc(requests, func(left, right *Request) int { return cmp.Compare(left.AttemptID, right.AttemptID) })
	return requests
}

// placeInFlight places the requests that ran at lost replicas and those that wait, in batches by rank, and
// counts the results.
func (f *forecaster) placeInFlight(response *drill.ForecastResponse) {
	inFlight, waiting := f.inFlightAtLost(), f.after.queue.requests
	counts := &response.InFlight
	for _, load := range response.Replicas {
		counts.Running += load.Running
	}
	counts.OnLostReplicas = len(inFlight)
	counts.Waiting = len(waiting)
	for _, request := range inFlight {
		if request.Idempotent {
			counts.Resumable++
		} else {
			counts.Aborted++
		}
	}
	requests := append(append([]*Request{}, inFlight...), waiting...)
	slices.SortStableFunc(requests, compareRank)
	batchSize := f.after.parameters.BatchSize
	for start := 0; start < len(requests); start += batchSize {
		batch := requests[start:min(start+batchSize, len(requests))]
		for _, request := range batch {
			request.Decided = make(chan Decision, 1)
		}
		f.after.assign(batch, f.now)
		for _, request := range batch {
			f.countMove(request, response)
		}
	}
}

// countMove counts the result for one request of placeInFlight.
func (f *forecaster) countMove(request *Request, answer *drill.ForecastResponse) {
	select {
	case decision := <-request.Decided:
		load := answer.Replicas[decision.Replica.ID]
		load.Moved++
		answer.Replicas[decision.Replica.ID] = load
		answer.InFlight.Placed++
	default:
		if f.loss.LosesAllRegions(request.AllowedRegions) {
			answer.InFlight.AllRegionsLost++
		} else {
			answer.InFlight.StillWaiting++
		}
	}
}
