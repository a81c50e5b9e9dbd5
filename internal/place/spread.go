package place

import (
	"cmp"
	"slices"
)

func (p *planner) spread(pressing bool) {
	var wanted []want
	for _, model := range p.active {
		demand := p.demand(model)
		if model >= len(p.runtime.Models) || demand.Rate <= hotRate && p.copies[model] == 0 || p.intended[p.item(model).name] > 0 {
			continue
		}
		present := float64(p.copies[model] + p.loading(model))
		if present < p.target(model) && pressing == (demand.Waiting > 0 || present < p.needed(demand)) {
			wanted = append(wanted, want{model, demand.Rate})
		}
	}
	slices.SortFunc(wanted, func(left, right want) int {
		return cmp.Or(cmp.Compare(right.gain, left.gain), left.model-right.model)
	})
	for _, one := range wanted {
		p.bring(one.model, "in high demand")
	}
}

func (p *planner) restoreAll() {
	for index := range p.posts {
		if one := &p.posts[index]; one.free() && one.size+p.shelf.smallest <= p.runtime.WeightSizeMb+roomSlack {
			p.restore(one)
		}
	}
}

func (p *planner) restore(one *post) {
	best, bestRank := -1, 0.0
	for reference := range one.server.Held {
		model, known := p.shelf.names[reference]
		if !known || p.item(model).adapter || one.holds(model) || !p.fits(one, model) {
			continue
		}
		copies := p.copies[model] + p.loading(model)
		rank := (p.demand(model).Rate + 0.1) / float64(1+copies*copies)
		if best < 0 || rank > bestRank || rank == bestRank && model < best {
			best, bestRank = model, rank
		}
	}
	if best >= 0 {
		p.load(one, best, "it held this before")
	}
}
