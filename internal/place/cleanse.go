package place

import "strings"

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
	for _, pair := range p.view.Cleanse {
		server := p.find(pair.Server)
		if server == nil || !server.Models[pair.Model] || !server.Ready || p.used[server.ID] || server.Intent != "" {
			continue
		}
		if !p.covered(server, pair.Model) {
			continue
		}
		p.act(server, Action{Model: pair.Model, Intent: pair.Model, Why: CleanseReason})
		server.Intent = pair.Model
		p.view.Cleansing = true
		return
	}
}

func (p *planner) find(id string) *Server {
	for _, server := range p.view.Servers {
		if server.ID == id && server.Backend == p.backend.Name {
			return server
		}
	}
	return nil
}

func (p *planner) covered(server *Server, model string) bool {
	demand := p.view.modelPressure(p.backend.Name, model)
	if demand.Waiting == 0 && demand.Running == 0 && demand.Rate < adapterDemand {
		return true
	}
	if len(p.view.copies(p.backend.Name, model)) < 2 {
		if p.view.Loading[key(p.backend.Name, model)] == 0 && !p.intended(model) {
			p.bring(model, "a second copy before context on the first is let go")
		}
		return false
	}
	for reference := range server.Models {
		if !strings.HasPrefix(reference, model+"/") {
			continue
		}
		asked := p.view.pressure(p.backend.Name, reference)
		wanted := asked.Waiting > 0 || asked.Running > 0 || asked.Rate >= adapterDemand
		if wanted && len(p.view.copies(p.backend.Name, reference)) < 2 {
			if p.view.Loading[key(p.backend.Name, reference)] == 0 {
				p.bringAdapter(reference, true)
			}
			return false
		}
	}
	return true
}
