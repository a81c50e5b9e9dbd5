package routing

import (
	"cmp"
	"slices"
	"time"

	"ferryspar/internal/peer"
)

// collectLoad is the load report since the last one: demand by model, and what runs, is suspect or
// has a record at each replica. Replicas with nothing left to tell are no longer watched.
func (m *Matcher) collectLoad() peer.LoadReport {
	now := m.clock()
	m.ledger.Expire(now)
	m.review(now)
	return peer.LoadReport{
		Zone:     m.zone,
		Models:   m.collectModels(now),
		Replicas: m.collectReplicas(now),
	}
}

// collectModels is the demand by model, sorted by backend and model; the counters start anew.
func (m *Matcher) collectModels(now time.Time) []peer.ModelLoad {
	models := map[[2]string]*peer.ModelLoad{}
	at := func(key [2]string) *peer.ModelLoad {
		if models[key] == nil {
			models[key] = &peer.ModelLoad{Backend: key[0], Model: key[1], LatencyTargetMs: m.latencyTargets[key]}
		}
		return models[key]
	}
	for key, amount := range m.arrivals {
		at(key).Arrivals = amount
	}
	for key, amount := range m.prefillMs {
		at(key).PrefillMs = float64(int(amount))
	}
	m.prefillMs = map[[2]string]float64{}
	for key, amount := range m.running {
		at(key).Running = amount
	}
	for _, request := range m.waiting {
		if m.OnDemand != nil {
			m.OnDemand(request.Backend, BaseModel(request.Model))
		}
		model := at([2]string{request.Backend, request.Model})
		model.Waiting++
		model.OldestWaitMs = max(model.OldestWaitMs, float64(now.Sub(request.Arrived).Milliseconds()))
	}
	m.arrivals = map[[2]string]int{}
	var sorted []peer.ModelLoad
	for _, model := range models {
		sorted = append(sorted, *model)
	}
	slices.SortFunc(sorted, func(left, right peer.ModelLoad) int {
		return cmp.Or(cmp.Compare(left.Backend, right.Backend), cmp.Compare(left.Model, right.Model))
	})
	return sorted
}

// collectReplicas is the load by replica id of all watched replicas that are listed.
func (m *Matcher) collectReplicas(now time.Time) map[string]peer.ReplicaLoad {
	replicas := map[string]peer.ReplicaLoad{}
	for id, state := range m.watched {
		_, listed := m.index.positions[id]
		suspect := state.isSuspected(now)
		outcomes := m.health.reported(id, now)
		quiet := !suspect && outcomes == peer.Outcomes{}
		if state.running == 0 && (quiet || !listed) {
			delete(m.watched, id)
		} else if listed {
			replicas[id] = peer.ReplicaLoad{
				Running:       state.running,
				Tokens:        state.tokens,
				PrefillTokens: state.pendingTokens,
				Suspected:     suspect,
				Outcomes:      outcomes,
			}
		}
	}
	if m.unlisted > 0 {
		m.dropUnlisted()
	}
	return replicas
}
