package place

import "sort"

type ranking struct {
	post   int
	burden float64
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
	for _, number := range p.keepers(model) {
		if one := &p.posts[number]; p.suits(one, model) {
			if burden, possible := p.burden(one, size); possible {
				consider(number, burden+loadTime*diskCost)
			}
		}
	}
	if p.tokens >= 1 {
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
	p.evict(one, model)
	return true
}

func (p *planner) suits(one *post, model int) bool {
	return one.free() && !one.holds(model) && !p.reserved(one)
}

func (p *planner) keepers(model int) []int {
	if p.kept == nil {
		p.kept = map[int][]int{}
		for index := range p.posts {
			if !p.posts[index].idle() {
				continue
			}
			for reference := range p.posts[index].server.Held {
				if number, known := p.shelf.names[reference]; known {
					p.kept[number] = append(p.kept[number], index)
				}
			}
		}
	}
	return p.kept[model]
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
		sort.SliceStable(list, func(left, right int) bool { return list[left].burden < list[right].burden })
	}
	rest := list[:0]
	for index, one := range list {
		if !p.posts[one.post].free() {
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
	burden := readingCost * one.reading
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
