package placement

import (
	"cmp"
	"slices"
)

// candidateModel is a model that a planning step considers for a load, the highest urgency first.
type candidateModel struct {
	model   int
	urgency float64
}

func compareUrgency(left, right candidateModel) int {
	return cmp.Or(cmp.Compare(right.urgency, left.urgency), left.model-right.model)
}

// missingModels returns the models that requests wait for and that are neither loaded nor certainly being loaded anywhere,
// the most urgent first.
func (p *planner) missingModels() []candidateModel {
	var candidates []candidateModel
	for _, model := range p.demand.models {
		demand := p.demand.total(model)
		isMissing := p.counts.loaded(model) == 0 && !p.isLoading(model)
		if p.items.isConfigured(model) && demand.Waiting > 0 && isMissing {
			candidates = append(candidates, candidateModel{model, p.urgency(model, demand)})
		}
	}
	slices.SortFunc(candidates, compareUrgency)
	return candidates
}

// isLoading reports whether a model is being loaded, or memory is being freed for it.
func (p *planner) isLoading(model int) bool {
	return p.loadsOrdered(model) != 0 || p.counts.intents[p.items.at(model).name] != 0
}

// isMaybeLoading reports whether isLoading holds or the model has a load of unknown outcome.
func (p *planner) isMaybeLoading(model int) bool {
	return p.counts.uncertain[model] != 0 || p.isLoading(model)
}

// loadMissingModels loads those candidates that no earlier step loads.
func (p *planner) loadMissingModels(candidates []candidateModel) {
	for _, candidate := range candidates {
		switch {
		case p.isLoading(candidate.model):
		case p.counts.uncertain[candidate.model] > 0:
			p.retryUncertainLoad(candidate.model)
		default:
			p.addCopy(candidate.model, "asked for and nowhere loaded")
		}
	}
}

// retryUncertainLoad plans a load again at a server where the outcome of an earlier one is unknown. There it is harmless,
// since a replica loads a model only once; at another server the model might take memory a second time.
func (p *planner) retryUncertainLoad(model int) {
	for position := range p.servers {
		state := &p.servers[position]
		if !state.isFree() || !state.maybeLoaded(model) {
			continue
		}
		mayLoad := state.server.OnDisk[p.items.at(model).name] || p.decisions.mayReserveStoreLoad()
		if mayLoad && p.load(state, model, "it is not known whether it was loaded") {
			return
		}
	}
}

const (
	// urgencyGrowth is the share by which the urgency of a request has grown when it can only just be served in time.
	urgencyGrowth = 0.5
	// lateValue is the value of serving a request late, relative to serving it in time.
	lateValue = 0.4
	// maxLateness, in latency targets, limits the growth of the urgency with the oldest request's age.
	maxLateness = 4
	// msPerSecond converts load times to the unit of waiting times.
	msPerSecond = 1000
)

// urgency returns the value of loading a model for the waiting requests. It is their count, and grows as the time in which
// the oldest can be served in time runs out. Once the oldest will be late, each request that is estimated to be late counts
// only lateValue, and the urgency grows with the oldest request's age.
func (p *planner) urgency(model int, demand *Demand) float64 {
	if demand.Waiting == 0 {
		return 0
	}
	remaining := max(demand.LatencyTargetMs-p.items.loadTimeS(model)*msPerSecond, 0)
	if demand.LatencyTargetMs <= 0 || demand.OldestWaitMs <= remaining {
		return float64(demand.Waiting) * (1 + urgencyGrowth*demand.OldestWaitMs/max(remaining, 1))
	}
	others := float64(demand.Waiting - 1)
	inTime := others * remaining / demand.OldestWaitMs
	oldest := lateValue * min(demand.OldestWaitMs/demand.LatencyTargetMs, maxLateness)
	return inTime + (others-inTime)*lateValue + oldest
}
