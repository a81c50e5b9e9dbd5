package place

import (
	"cmp"
	"math"
	"slices"
)

func (p *planner) weigh(one *post) {
	if one.weighed {
		return
	}
	one.weighed = true
	for _, model := range one.models {
		one.reading += p.demand(model).Reading / float64(max(p.copies[model], 1))
		if p.expendable(one, model) {
			one.victims = append(one.victims, victim{model, p.loss(model), p.freed(one, model)})
		}
	}
	slices.SortFunc(one.victims, func(left, right victim) int {
		return cmp.Or(cmp.Compare(left.loss, right.loss), cmp.Compare(p.item(left.model).name, p.item(right.model).name))
	})
}

func (p *planner) freed(one *post, model int) float64 {
	total := p.item(model).size
	for _, adapter := range one.adapters {
		if p.item(adapter).model == model {
			total += p.item(adapter).size
		}
	}
	return total
}

func (p *planner) loss(model int) float64 {
	demand := p.demand(model)
	others := p.copies[model] - 1
	loss := 0.0
	if !demand.LastSeen.IsZero() && p.view.Now.Sub(demand.LastSeen) < recentDemand {
		loss += 1 - p.view.Now.Sub(demand.LastSeen).Seconds()/recentDemand.Seconds()
	}
	loss += demand.Rate * 4 / float64(1+others*others*4)
	if p.adapterCount(model) > 0 {
		loss += 3
	}
	return loss
}

func (p *planner) expendable(one *post, model int) bool {
	demand := p.demand(model)
	copies := p.copies[model]
	if copies <= 1 && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > hotRate) {
		return false
	}
	if !p.view.Learned && copies >= 2 {
		return false
	}
	if demand.Rate > hotRate && p.lastAdapter(one, model) {
		return false
	}
	return float64(copies-1) >= max(p.target(model), math.Ceil(demand.Reading/readShare)) || demand.Rate < rareRate
}

func (p *planner) lastAdapter(one *post, model int) bool {
	for _, adapter := range one.adapters {
		if p.item(adapter).model == model && p.copies[adapter] <= 1 {
			return true
		}
	}
	return false
}

func (p *planner) target(model int) float64 {
	demand := p.demand(model)
	slots := float64(max(p.runtime.Slots, 1))
	target := 1 + float64(int(demand.Running/(copyShare*slots)))
	if demand.Rate > hotRate {
		target = max(target, 2)
		if adapters := p.adapterCount(model); adapters > 0 && p.runtime.AdapterCapacity > 0 {
			target = max(target, 1+math.Ceil(float64(adapters)/float64(p.runtime.AdapterCapacity)))
		}
	}
	return min(target, float64(max(p.counting-1, 1)))
}

func (p *planner) evict(one *post, model int) {
	p.weigh(one)
	if len(one.victims) == 0 {
		p.intend(one, "")
		return
	}
	p.act(one, Action{Model: p.item(one.victims[0].model).name, Intent: p.item(model).name, Why: "makes way for " + p.item(model).name})
}
