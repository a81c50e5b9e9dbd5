package place

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
	// readShare is the share of its time that a copy is to spend on reading prompts.
	readShare = 0.2
)

// needed is how many copies the running requests of a model need, if each carries slotShare of its
// slots.
func (p *planner) needed(demand *Demand) float64 {
	if demand.Running == 0 {
		return 0
	}
	return 1 + math.Floor(demand.Running/(p.slotShare*float64(max(p.runtime.Slots, 1))))
}

// target is how many copies a model is to have: as many as needed, two if it is hot, and enough that
// all its adapters have room and one copy is to spare. It is never more than all serving servers but
// one.
func (p *planner) target(model int) float64 {
	demand := p.totalDemand(model)
	target := max(1, p.needed(demand))
	if demand.Rate > hotRate {
		target = max(target, 2)
		if adapters := p.adapterCount(model); adapters > 0 && p.runtime.AdapterCapacity > 0 {
			target = max(target, 1+math.Ceil(float64(adapters)/float64(p.runtime.AdapterCapacity)))
		}
	}
	return min(target, float64(max(p.servingCount-1, 1)))
}

// wantedModel is a model to be loaded; the higher urgency goes first.
type wantedModel struct {
	model   int
	urgency float64
}

func compareUrgency(left, right wantedModel) int {
	return cmp.Or(cmp.Compare(right.urgency, left.urgency), left.model-right.model)
}

// absentModels are the models that are waited for, not surely loaded and not surely on their way anywhere,
// the most urgent first.
func (p *planner) absentModels() []wantedModel {
	var wanted []wantedModel
	for _, model := range p.demandedModels {
		demand := p.totalDemand(model)
		if !p.listed(model) || demand.Waiting <= 0 || p.copies[model] != 0 || p.surelyOnItsWay(model) {
			continue
		}
		wanted = append(wanted, wantedModel{model, p.urgency(model, demand)})
	}
	slices.SortFunc(wanted, compareUrgency)
	return wanted
}

// onItsWay reports whether a model is or may be being loaded, or has room made for it.
func (p *planner) onItsWay(model int) bool {
	return p.uncertain[model] != 0 || p.surelyOnItsWay(model)
}

// surelyOnItsWay is onItsWay without the loads of which nobody knows whether they are done.
func (p *planner) surelyOnItsWay(model int) bool {
	return p.ordered(model) != 0 || p.intended[p.item(model).name] != 0
}

// loadAbsentModels loads what no earlier step has.
func (p *planner) loadAbsentModels(wanted []wantedModel) {
	for _, next := range wanted {
		switch {
		case p.surelyOnItsWay(next.model):
		case p.uncertain[next.model] > 0:
			p.repeatLoad(next.model)
		default:
			p.addCopy(next.model, "asked for and nowhere loaded")
		}
	}
}

// repeatLoad orders a load again at a server that may have done it: there it is done once only.
// Elsewhere the model would take room a second time.
func (p *planner) repeatLoad(model int) {
	for position := range p.servers {
		state := &p.servers[position]
		if !state.free() || !state.mayHold(model) {
			continue
		}
		mayLoad := state.server.Held[p.item(model).name] || p.tokens-p.promisedLoads >= 1
		if mayLoad && p.load(state, model, "it is not known whether it was loaded") {
			return
		}
	}
}

const (
	// urgentShare is how much the urgency rises until the oldest waiting request can only just be
	// served in time.
	urgentShare = 0.5
	// lateShare is the worth of serving a request late, of serving it in time.
	lateShare = 0.4
	// latestAims: beyond so many aims the urgency does not climb with the oldest request's age.
	latestAims = 4
)

// urgency is the worth of loading a model for those who wait: their count, more as their time runs
// out. Once the oldest can no longer be served in time, those late count lateShare each, and
// the urgency climbs with the oldest one's age.
func (p *planner) urgency(model int, demand *Demand) float64 {
	if demand.Waiting == 0 {
		return 0
	}
	left := max(demand.Aim-p.loadTime(model)*1000, 0)
	if demand.Aim <= 0 || demand.OldestMs <= left {
		return float64(demand.Waiting) * (1 + urgentShare*demand.OldestMs/max(left, 1))
	}
	others := float64(demand.Waiting - 1)
	inTime := others * left / demand.OldestMs
	climb := lateShare * min(demand.OldestMs/demand.Aim, latestAims)
	return inTime + (others-inTime)*lateShare + climb
}
