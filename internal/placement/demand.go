package placement

import (
	"cmp"
	"math"
	"slices"
)

const (
	// hotRate, in requests a second, is the rate beyond which a model is to have two copies;
	// below rareRate one is seldom asked for.
	hotRate  = 1.5
	rareRate = 0.3
	// maxPrefillLoad is the share of its time that a copy is to spend on reading prompts.
	maxPrefillLoad = 0.2
)

// needed is how many copies the running requests of a model need, if each carries targetUtilization of its
// slots.
func (p *planner) copiesNeeded(demand *Demand) float64 {
	if demand.Running == 0 {
		return 0
	}
	return 1 + math.Floor(demand.Running/(p.targetUtilization*float64(max(p.runtime.Slots, 1))))
}

// target is how many copies a model is to have: as many as needed, two if it is hot, and enough that
// all its adapters have room and one copy is to spare. It is never more than all serving servers but
// one.
func (p *planner) targetCopies(model int) float64 {
	demand := p.totalDemand(model)
	target := max(1, p.copiesNeeded(demand))
	if demand.Rate > hotRate {
		target = max(target, 2)
		if adapters := p.adapterCount(model); adapters > 0 && p.runtime.AdapterCapacity > 0 {
			target = max(target, 1+math.Ceil(float64(adapters)/float64(p.runtime.AdapterCapacity)))
		}
	}
	return min(target, float64(max(p.servingCount-1, 1)))
}

// candidateModel is a model to be loaded; the higher urgency goes first.
type candidateModel struct {
	model   int
	urgency float64
}

func compareUrgency(left, right candidateModel) int {
	return cmp.Or(cmp.Compare(right.urgency, left.urgency), left.model-right.model)
}

// missingModels are the models that are waited for, not surely loaded and not surely on their way anywhere,
// the most urgent first.
func (p *planner) missingModels() []candidateModel {
	var candidates []candidateModel
	for _, model := range p.demandedModels {
		demand := p.totalDemand(model)
		if !p.isConfigured(model) || demand.Waiting <= 0 || p.copies[model] != 0 || p.isLoading(model) {
			continue
		}
		candidates = append(candidates, candidateModel{model, p.urgency(model, demand)})
	}
	slices.SortFunc(candidates, compareUrgency)
	return candidates
}

// isMaybeLoading reports whether a model is or may be being loaded, or has room made for it.
func (p *planner) isMaybeLoading(model int) bool {
	return p.uncertain[model] != 0 || p.isLoading(model)
}

// isLoading is isMaybeLoading without the loads of which nobody knows whether they are done.
func (p *planner) isLoading(model int) bool {
	return p.loadsOrdered(model) != 0 || p.intended[p.item(model).name] != 0
}

// loadMissingModels loads what no earlier step has.
func (p *planner) loadMissingModels(candidates []candidateModel) {
	for _, next := range candidates {
		switch {
		case p.isLoading(next.model):
		case p.uncertain[next.model] > 0:
			p.retryUncertainLoad(next.model)
		default:
			p.addCopy(next.model, "asked for and nowhere loaded")
		}
	}
}

// retryUncertainLoad orders a load again at a server that may have done it: there it is done once only.
// Elsewhere the model would take room a second time.
func (p *planner) retryUncertainLoad(model int) {
	for position := range p.servers {
		state := &p.servers[position]
		if !state.isFree() || !state.maybeLoaded(model) {
			continue
		}
		mayLoad := state.server.OnDisk[p.item(model).name] || p.tokens-p.reservedTokens >= 1
		if mayLoad && p.load(state, model, "it is not known whether it was loaded") {
			return
		}
	}
}

const (
	// urgencyGrowth is how much the urgency rises until the oldest waiting request can only just be
	// served in time.
	urgencyGrowth = 0.5
	// lateValue is the worth of serving a request late, of serving it in time.
	lateValue = 0.4
	// maxLateness: beyond so many aims the urgency does not climb with the oldest request's age.
	maxLateness = 4
)

// urgency is the worth of loading a model for those who wait: their count, more as their time runs
// out. Once the oldest can no longer be served in time, those late count lateValue each, and
// the urgency climbs with the oldest one's age.
func (p *planner) urgency(model int, demand *Demand) float64 {
	if demand.Waiting == 0 {
		return 0
	}
	left := max(demand.LatencyTargetMs-p.loadTime(model)*1000, 0)
	if demand.LatencyTargetMs <= 0 || demand.OldestWaitMs <= left {
		return float64(demand.Waiting) * (1 + urgencyGrowth*demand.OldestWaitMs/max(left, 1))
	}
	others := float64(demand.Waiting - 1)
	inTime := others * left / demand.OldestWaitMs
	climb := lateValue * min(demand.OldestWaitMs/demand.LatencyTargetMs, maxLateness)
	return inTime + (others-inTime)*lateValue + climb
}
