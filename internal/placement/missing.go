package placement

import (
	"cmp"
	"math"
	"slices"
)

// candidateModel is a model that a planning step considers for a load.
type candidateModel struct {
	model int
	// slackMs is the time until the load must begin for the most urgent of the requests that it can still serve, infinite if there are
	// none.
	slackMs float64
	// waiting is the number of requests that wait for the model.
	waiting int
}

// compareUrgency orders candidates by their slack, the least first, then by the number of waiting requests, the most first.
func compareUrgency(left, right candidateModel) int {
	return cmp.Or(cmp.Compare(left.slackMs, right.slackMs), right.waiting-left.waiting)
}

// missingModels returns the models that requests wait for and that are neither loaded nor certainly being loaded anywhere,
// the most urgent first.
func (p *planner) missingModels() []candidateModel {
	var candidates []candidateModel
	for _, model := range p.demand.models {
		demand := p.demand.total(model)
		isMissing := p.counts.loaded(model) == 0 && !p.isLoading(model)
		if p.items.isConfigured(model) && demand.Waiting > 0 && isMissing {
			candidates = append(candidates, p.candidate(model))
		}
	}
	slices.SortStableFunc(candidates, compareUrgency)
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

// msPerSecond converts load times to the unit of waiting times.
const msPerSecond = 1000

// candidate returns a model as a candidate for a load.
func (p *planner) candidate(model int) candidateModel {
	demand := p.demand.total(model)
	slackMs := math.Inf(1)
	if demand.LoadDueMs > 0 {
		slackMs = demand.LoadDueMs - p.items.loadTimeS(model)*msPerSecond
	}
	return candidateModel{model: model, slackMs: slackMs, waiting: demand.Waiting}
}
