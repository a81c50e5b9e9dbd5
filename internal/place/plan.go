package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	copyShare    = 0.4
	readShare    = 0.2
	hotRate      = 1.5
	rareRate     = 0.3
	lateShare    = 0.4
	readingCost  = 1.5
	diskCost     = 0.25
	recentDemand = 20 * time.Second
	roomSlack    = 0.001
)

func Plan(view *View) []Action {
	var actions []Action
	if view.Table == nil {
		return nil
	}
	if !view.Catalog.Of(view.Table) {
		view.Catalog = NewCatalog(view.Table)
	}
	for _, shelf := range view.Catalog.shelves {
		p := newPlanner(view, shelf)
		p.intents()
		p.adapters()
		p.spread()
		p.missing()
		p.cleanse()
		p.restoreAll()
		actions = append(actions, p.actions...)
		view.Tokens = p.tokens
	}
	return actions
}

func (p *planner) fits(one *post, model int) bool {
	return one.size+p.item(model).size <= p.runtime.WeightSizeMb+roomSlack
}

func (p *planner) loadable(one *post, model int) bool {
	return one.server.Held[p.item(model).name] || p.tokens >= 1
}

func (p *planner) load(one *post, model int, why string) {
	p.view.Loading[p.item(model).key]++
	p.intend(one, "")
	name := p.item(model).name
	p.act(one, Action{Load: true, Model: name, Stored: !one.server.Held[name], Why: why})
}

func (p *planner) intents() {
	for index := range p.posts {
		one := &p.posts[index]
		if !one.idle() || one.server.Intent == "" {
			continue
		}
		model := p.number(one.server.Intent)
		if one.holds(model) {
			p.intend(one, "")
			continue
		}
		if p.fits(one, model) {
			if p.loadable(one, model) {
				p.load(one, model, "room was made for it")
			}
			continue
		}
		p.evict(one, model)
	}
}

func (p *planner) missing() {
	type want struct {
		model int
		gain  float64
	}
	var wanted []want
	for _, model := range p.active {
		demand := p.demand(model)
		if model < len(p.runtime.Models) && demand.Waiting > 0 && p.copies[model] == 0 && p.loading(model) == 0 && p.intended[p.item(model).name] == 0 {
			wanted = append(wanted, want{model, p.gain(model, demand)})
		}
	}
	slices.SortFunc(wanted, func(left, right want) int {
		return cmp.Or(cmp.Compare(right.gain, left.gain), left.model-right.model)
	})
	for _, one := range wanted {
		p.bring(one.model, "asked for and nowhere loaded")
	}
}

func (p *planner) gain(model int, demand *Pressure) float64 {
	gain := float64(demand.Waiting)
	if demand.Aim > 0 && demand.OldestMs+p.loadTime(model)*1000 > demand.Aim {
		gain = gain*lateShare + demand.OldestMs/demand.Aim*lateShare
	}
	return gain
}
