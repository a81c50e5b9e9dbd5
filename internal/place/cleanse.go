package place

type Pair struct {
	Server string
	Model  string
}

const (
	adapterDemand = 0.05
	CleanseReason = "context on it is to be let go"
)

func (p *planner) cleanse() {
	if p.view.Cleansing {
		return
	}
	if len(p.view.Cleanse) > 0 {
		p.places = make(map[string]int, len(p.posts))
		for index := range p.posts {
			p.places[p.posts[index].server.ID] = index
		}
	}
	for _, pair := range p.view.Cleanse {
		place, known := p.places[pair.Server]
		if !known {
			continue
		}
		one := &p.posts[place]
		if !one.server.Models[pair.Model] || !one.server.Ready || one.used || one.server.Intent != "" || !p.covered(one, p.number(pair.Model)) {
			continue
		}
		p.act(one, Action{Model: pair.Model, Intent: pair.Model, Why: CleanseReason})
		p.intend(one, pair.Model)
		p.view.Cleansing = true
		return
	}
}

func (p *planner) covered(one *post, model int) bool {
	if demand := p.demand(model); demand.Waiting == 0 && demand.Running == 0 && demand.Rate < adapterDemand {
		return true
	}
	if p.left(model) < 2 {
		if p.loading(model) == 0 && p.intended[p.item(model).name] == 0 {
			p.bring(model, "a second copy before context on the first is let go")
		}
		return false
	}
	for _, adapter := range one.adapters {
		if p.item(adapter).model != model {
			continue
		}
		asked := p.asked(adapter)
		wanted := asked.Waiting > 0 || asked.Running > 0 || asked.Rate >= adapterDemand
		if wanted && p.left(adapter) < 2 {
			if p.loading(adapter) == 0 {
				p.bringAdapter(adapter, true)
			}
			return false
		}
	}
	return true
}
