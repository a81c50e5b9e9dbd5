package placement

import (
	"cmp"
	"slices"
)

// addHotCopies adds a copy of each hot or loaded model that has fewer copies than its target. A model is urgent if requests
// wait for it, or if its copies are too few for the running requests.
func (p *planner) addHotCopies(selected priority) {
	var candidates []int
	for _, model := range p.demand.models {
		demand := p.demand.total(model)
		if !p.items.isConfiguredModel(model) || p.counts.intents[p.items.at(model).name] > 0 {
			continue
		}
		if demand.Rate <= hotRate && p.counts.loaded(model) == 0 {
			continue
		}
		present := float64(p.counts.loaded(model) + p.loadsPending(model))
		if present >= p.targetCopies(model) {
			continue
		}
		if priorityOf(demand.Waiting > 0 || present < p.copiesNeeded(demand)) == selected {
			candidates = append(candidates, model)
		}
	}
	slices.SortFunc(candidates, func(left, right int) int {
		return cmp.Or(cmp.Compare(p.demand.total(right).Rate, p.demand.total(left).Rate), left-right)
	})
	for _, model := range candidates {
		p.addCopy(model, "in high demand")
	}
}
