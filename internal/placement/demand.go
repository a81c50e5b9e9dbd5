package placement

import (
	"math"
	"sort"
)

const (
	// hotRate and rareRate are in requests per second. A model beyond hotRate is hot and should have at least minHotCopies;
	// a model below rareRate is rarely used.
	hotRate  = 1.5
	rareRate = 0.3
	// maxPrefillLoad is the share of its time that a copy should spend on prefill at most.
	maxPrefillLoad = 0.2
	// minHotCopies is the least number of copies that a hot model should have.
	minHotCopies = 2
)

// demandIndex holds the demand of one backend by item number.
type demandIndex struct {
	own    []*Demand // of a model or adapter alone; nil for none
	totals []*Demand // of a model with its adapters; nil for none
	models []int     // models with a total, ascending
}

// noDemand is the demand of an item without requests. It must not be modified.
var noDemand = &Demand{}

func newDemandIndex(items int) demandIndex {
	return demandIndex{own: make([]*Demand, items), totals: make([]*Demand, items)}
}

// growTo extends the index to the given number of items.
func (d *demandIndex) growTo(items int) {
	for len(d.own) < items {
		d.own = append(d.own, nil)
		d.totals = append(d.totals, nil)
	}
}

// of returns the demand for a model or adapter alone.
func (d *demandIndex) of(number int) *Demand {
	if own := d.own[number]; own != nil {
		return own
	}
	return noDemand
}

// total returns the demand for a model with its adapters.
func (d *demandIndex) total(model int) *Demand {
	if total := d.totals[model]; total != nil {
		return total
	}
	return noDemand
}

// indexDemand indexes the view's demand by item number and sums it by model. Unconfigured references are numbered in the
// order of their names, so that equal views give equal plans.
func (p *planner) indexDemand() {
	catalog := p.items.catalog
	var unconfigured []string
	for key, demand := range p.view.Demand {
		if number, known := catalog.byKey[key]; known {
			p.demand.own[number] = demand
		} else if backend, reference := SplitModelKey(key); backend == catalog.backend.Name {
			unconfigured = append(unconfigured, reference)
		}
	}
	sort.Strings(unconfigured)
	for _, reference := range unconfigured {
		number := p.itemNumber(reference)
		p.demand.own[number] = p.view.Demand[ModelKey(catalog.backend.Name, reference)]
	}
	sums := make([]Demand, 0, len(p.view.Demand))
	for number, demand := range p.demand.own {
		if demand == nil {
			continue
		}
		model := p.items.at(number).model
		if p.demand.totals[model] == nil {
			sums = append(sums, Demand{})
			p.demand.totals[model] = &sums[len(sums)-1]
			p.demand.models = append(p.demand.models, model)
		}
		p.demand.totals[model].add(demand)
	}
	sort.Ints(p.demand.models)
}

// copiesNeeded returns how many copies the running requests of a model need if they occupy no more than
// planner.targetUtilization of each copy's slots.
func (p *planner) copiesNeeded(demand *Demand) float64 {
	if demand.Running == 0 {
		return 0
	}
	return 1 + math.Floor(demand.Running/(p.targetUtilization*float64(max(p.runtime.Slots, 1))))
}

// targetCopies returns how many copies a model should have: at least one, as many as copiesNeeded and, if it is hot,
// minHotCopies and enough slots for all its adapters with one copy to spare. It is at most the number of serving servers
// less one, but never less than 1.
func (p *planner) targetCopies(model int) float64 {
	demand := p.demand.total(model)
	target := max(1, p.copiesNeeded(demand))
	if demand.Rate > hotRate {
		target = max(target, minHotCopies)
		if adapters := p.items.adapterCount(model); adapters > 0 && p.runtime.AdapterCapacity > 0 {
			target = max(target, 1+math.Ceil(float64(adapters)/float64(p.runtime.AdapterCapacity)))
		}
	}
	return min(target, float64(max(p.counts.servingServers-1, 1)))
}
