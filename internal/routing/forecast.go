package routing

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ferryspar/internal/drill"
)

// ZoneFilter reports whether a zone of a region belongs to a loss that is forecast or rehearsed.
type ZoneFilter func(zone, region string) bool

// Forecast works out what this data plane would do if replicas were lost (docs/design/rehearsal.md). It
// decides on a copy of the matcher with the ordinary code, so nothing changes; Run pauses only
// for the copy. Any goroutine may call it.
func (m *Matcher) Forecast(ctx context.Context, loss drill.Loss) (drill.ForecastResponse, error) {
	reply := make(chan *Matcher, 1)
	select {
	case m.forkRequests <- reply:
		before := <-reply
		return before.forecast(loss, before.clock()), nil
	case <-ctx.Done():
		return drill.ForecastResponse{}, ctx.Err()
	}
}

// maxForecastPairs is how many pairs of request and replica a forecast weighs at most, over all routes.
const maxForecastPairs = 100_000

// forecast runs on a fork: m decides without the loss, a second fork after it. What runs at the lost
// replicas and what waits is placed first, so that the rest is as full as it would be.
func (m *Matcher) forecast(loss drill.Loss, now time.Time) drill.ForecastResponse {
	rest, lost := m.snapshot.without(loss.Covers)
	after := m.fork(now, m.ledger.forkOrdered())
	after.useSnapshot(rest, NewIndex(rest.Replicas))
	answer := drill.ForecastResponse{
		Ready:    m.snapshot.Table != nil,
		Cached:   m.ledger.cachedTokensByModel(lost),
		Replicas: map[string]drill.ReplicaLoad{},
	}
	if !answer.Ready {
		return answer
	}
	for id, state := range m.states {
		if state.running > 0 {
			answer.Replicas[id] = drill.ReplicaLoad{Running: state.running}
		}
	}
	after.forecastInFlight(m.inFlightAt(lost), loss, &answer, now)
	routes := routeForecaster{
		before: m,
		after:  after,
		loss:   loss,
		lost:   lost,
		budget: maxForecastPairs / max(len(m.ledger.samples.routes), 1),
		now:    now,
	}
	for _, route := range m.snapshot.Table.Configuration.Routes {
		ring := m.ledger.samples.routes[route.Name]
		if ring != nil && len(ring.requests) > 0 {
			answer.Routes = append(answer.Routes, routes.forecast(ring.requests))
		}
	}
	return answer
}

// cachedTokensByModel counts the tokens in the ledger by model: at lost replicas, those of them that are at
// no other replica, and kept.
func (l *PrefixLedger) cachedTokensByModel(lost map[string]*Replica) map[string]drill.CachedTokens {
	elsewhere := map[ledgerKey]bool{}
	for key := range l.entries {
		if lost[key.replica] == nil {
			elsewhere[key.withoutReplica()] = true
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
			if prefix := key.withoutReplica(); !elsewhere[prefix] && !counted[prefix] {
				sum.OnlyInScope += entry.tokens
				counted[prefix] = true
			}
		}
		result[key.model] = sum
	}
	return result
}

// anywhere is the key without its replica.
func (k ledgerKey) withoutReplica() ledgerKey {
	return ledgerKey{model: k.model, prefix: k.prefix}
}

// inFlightAt are copies of the requests that run at lost replicas, sorted by attempt.
func (m *Matcher) inFlightAt(lost map[string]*Replica) []*Request {
	var requests []*Request
	for id, state := range m.states {
		if lost[id] == nil {
			continue
		}
		for ticket := range state.inFlight {
			requests = append(requests, ticket.request.clone())
		}
	}
	slices.SortFunc(requests, func(left, right *Request) int { return cmp.Compare(left.Attempt, right.Attempt) })
	return requests
}

// forecastInFlight places what ran at lost replicas and what waits, in batches by rank, and counts
// where it ends.
func (m *Matcher) forecastInFlight(inFlight []*Request, loss drill.Loss, answer *drill.ForecastResponse, now time.Time) {
	flight := &answer.InFlight
	for _, load := range answer.Replicas {
		flight.Running += load.Running
	}
	flight.OnLostReplicas = len(inFlight)
	flight.Waiting = len(m.waiting)
	for _, request := range inFlight {
		if request.Idempotent {
			flight.Resumable++
		} else {
			flight.Aborted++
		}
	}
	requests := append(append([]*Request{}, inFlight...), m.waiting...)
	slices.SortStableFunc(requests, compareRank)
	for start := 0; start < len(requests); start += m.parameters.BatchSize {
		batch := requests[start:min(start+m.parameters.BatchSize, len(requests))]
		for _, request := range batch {
			request.Decided = make(chan Decision, 1)
		}
		m.assign(batch, now)
		for _, request := range batch {
			countMove(request, loss, answer)
		}
	}
}

// countMove counts where one request of forecastInFlight went.
func countMove(request *Request, loss drill.Loss, answer *drill.ForecastResponse) {
	select {
	case decision := <-request.Decided:
		load := answer.Replicas[decision.Replica.ID]
		load.Moved++
		answer.Replicas[decision.Replica.ID] = load
		answer.InFlight.Placed++
	default:
		if loss.LosesAllRegions(request.AllowedRegions) {
			answer.InFlight.BoundToLost++
		} else {
			answer.InFlight.StillWaiting++
		}
	}
}
