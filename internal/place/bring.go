package place

import (
	"cmp"
	"slices"
)

type ranking struct {
	post   int
	burden float64
}

type keeping struct {
	post int
	next int
}

func (p *planner) bring(model int, why string) bool {
	best := -1
	bestCost := 0.0
	size, loadTime := p.item(model).size, p.loadTime(model)
	consider := func(number int, cost float64) {
		if best < 0 || cost < bestCost || cost == bestCost && number < best {
			best, bestCost = number, cost
		}
	}
	for next := p.firstKept(model); next > 0; next = p.kept[next].next {
		if one := &p.posts[p.kept[next].post]; p.suits(one, model) {
			if burden, possible := p.burden(one, size); possible {
				consider(one.number, burden+loadTime*diskCost)
			}
		}
	}
	if p.tokens-p.promised >= 1 {
		if one, found := p.leastBurdened(model, size); found {
			consider(one.post, one.burden+loadTime)
		}
	}
	if best < 0 {
		return false
	}
	one := &p.posts[best]
	if p.fits(one, model) {
		p.load(one, model, why)
		return true
	}
	p.intend(one, p.item(model).name)
	if !p.evict(one, model) {
		one.barren = true
		return p.bring(model, why)
	}
	if !one.server.Held[p.item(model).name] {
		p.promised++
	}
	return true
}

func (p *planner) suits(one *post, model int) bool {
	return one.free() && !one.barren && !one.holds(model) && !p.reserved(one)
}

func (p *planner) firstKept(model int) int {
	if p.kept == nil {
		p.kept = []keeping{{}}
		p.firsts = make([]int, len(p.shelf.items))
		for index := range p.posts {
			if !p.posts[index].free() {
				continue
			}
			for reference := range p.posts[index].server.Held {
				if number, known := p.shelf.names[reference]; known {
					p.kept = append(p.kept, keeping{index, p.firsts[number]})
					p.firsts[number] = len(p.kept) - 1
				}
			}
		}
	}
	if model < len(p.firsts) {
		return p.firsts[model]
	}
	return 0
}

func (p *planner) leastBurdened(model int, size float64) (ranking, bool) {
	list, known := p.ranked[size]
	if !known {
		for index := range p.posts {
			if one := &p.posts[index]; one.free() {
				if burden, possible := p.burden(one, size); possible {
					list = append(list, ranking{index, burden})
				}
			}
		}
		slices.SortFunc(list, func(left, right ranking) int {
			return cmp.Or(cmp.Compare(left.burden, right.burden), left.post-right.post)
		})
	}
	rest := list[:0]
	for index, one := range list {
		if next := &p.posts[one.post]; !next.free() || next.barren {
			continue
		}
		rest = append(rest, one)
		if p.suits(&p.posts[one.post], model) {
			p.ranked[size] = append(rest, list[index+1:]...)
			return one, true
		}
	}
	p.ranked[size] = rest
	return ranking{}, false
}

func (p *planner) reserved(one *post) bool {
	for _, model := range one.models {
		if p.adapterCount(model) > 0 && 2*p.free[model] <= p.copies[model] && p.demand(model).Rate > hotRate {
			return true
		}
	}
	return false
}

func (p *planner) burden(one *post, size float64) (float64, bool) {
	p.weigh(one)
	burden := readingCost * one.disturbance
	need := one.size + size - p.runtime.WeightSizeMb
	for _, next := range one.victims {
		if need <= roomSlack {
			break
		}
		need -= next.freed
		burden += next.loss
	}
	return burden, need <= roomSlack
}
