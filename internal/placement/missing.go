package placement

import (
	"cmp"
	"slices"
)

// candidateModel is a model to be loaded; the higher urgency goes first.
type candidateModel struct {
	model   int
	urgency float64
}

func compareUrgency(left, right candidateModel) int {
	return cmp.Or(cmp.Compare(right.urgency, left.urgency), left.model-right.model)
}

// missingModels returns the models that are waited for and neither loaded nor certainly being loaded
// anywhere, the most urgent first.
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

// isLoading reports whether a model is being loaded, or has memory freed for it.
func (p *planner) isLoading(model int) bool {
	return p.loadsOrdered(model) != 0 || p.counts.intents[p.items.at(model).name] != 0
}

// isMaybeLoading is isLoading, or whether the model has a load whose outcome is unknown.
func (p *planner) isMaybeLoading(model int) bool {
	return p.counts.uncertain[model] != 0 || p.isLoading(model)
}

// loadMissingModels loads those that no earlier step has.
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

// retryUncertainLoad orders a load again at a server where its outcome is unknown: a replica loads a model
// once only. Elsewhere the model would take memory a second time.
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
	// urgencyGrowth is how much the urgency of a request grows until it can only just be served in time.
	urgencyGrowth = 0.5
	// lateValue is the value of serving a request late, relative to serving it in time.
	lateValue = 0.4
	// maxLateness, in latency targets, limits the growth of the urgency with the oldest request's age.
	maxLateness = 4
	// msPerSecond converts load times to the unit of waiting times.
	msPerSecond = 1000
)

// urgency is the value of loading a model for the requests that wait: their count, more as their time runs
// out. Once the oldest can no longer be served in time, those late count lateValue each, and the urgency
// grows with the oldest one's age.
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
