package place

import (
	"cmp"
	"slices"
)

func (p *planner) adapters(pressing bool) {
	type want struct {
		number  int
		waiting int
		copies  int
		rate    float64
	}
	var wanted []want
	for model, adapters := range p.shelf.adapters {
		if len(adapters) == 0 || p.copies[model] == 0 {
			continue
		}
		for _, number := range adapters {
			copies := p.copies[number]
			if copies < 2 {
				copies += p.loading(number)
			}
			demand := p.asked(number)
			if urgent := demand.Waiting > 0 || copies == 0 && demand.Rate > 0; copies < 2 && urgent == pressing {
				wanted = append(wanted, want{number, demand.Waiting, copies, demand.Rate})
			}
		}
	}
	slices.SortFunc(wanted, func(left, right want) int {
		return cmp.Or(left.copies-right.copies, right.waiting-left.waiting, cmp.Compare(right.rate, left.rate), left.number-right.number)
	})
	for _, one := range wanted {
		p.bringAdapter(one.number, one.copies == 0 && (one.waiting > 0 || one.rate > 0))
	}
}

func (p *planner) roomy(model int) []int {
	list, known := p.open[model]
	if !known && model < len(p.holders) {
		for _, index := range p.holders[model] {
			one := &p.posts[index]
			if len(one.adapters) < p.runtime.AdapterCapacity && one.size+p.runtime.Models[model].AdapterSizeMb <= p.runtime.WeightSizeMb+roomSlack {
				list = append(list, index)
			}
		}
	}
	rest := list[:0]
	for _, index := range list {
		if p.posts[index].idle() {
			rest = append(rest, index)
		}
	}
	p.open[model] = rest
	return rest
}

func (p *planner) bringAdapter(number int, urgent bool) {
	var best *post
	for _, index := range p.roomy(p.item(number).model) {
		one := &p.posts[index]
		if !one.holds(number) && (best == nil || len(one.adapters) < len(best.adapters)) {
			best = one
		}
	}
	if best != nil {
		p.view.Loading[p.item(number).key]++
		p.act(best, Action{Load: true, Model: p.item(number).name, Why: "adapter wanted"})
		return
	}
	if urgent {
		p.swapAdapter(p.item(number).model, p.asked(number).Waiting > 0)
	}
}

func (p *planner) swapAdapter(model int, waited bool) {
	bearable, state := 0.0, 2*model
	if waited {
		bearable, state = rareRate, 2*model+1
	}
	if p.stuck[state] || model >= len(p.holders) {
		return
	}
	var best *post
	victim, lowest := "", 0.0
	for _, index := range p.holders[model] {
		one := &p.posts[index]
		if !one.idle() || len(one.adapters) < p.runtime.AdapterCapacity {
			continue
		}
		for _, number := range one.adapters {
			demand, copies := p.asked(number), p.left(number)
			if copies <= 1 && (demand.Waiting > 0 || demand.Running > 0 || demand.Rate > bearable) {
				continue
			}
			loss, name := demand.Rate/float64(copies)-float64(copies), p.item(number).name
			if best == nil || loss < lowest || loss == lowest && name < victim {
				best, victim, lowest = one, name, loss
			}
		}
	}
	if best == nil {
		p.stuck[state] = true
		return
	}
	p.act(best, Action{Model: victim, Why: "adapter makes way for one asked for"})
}
