package place

import (
	"math"
	"strings"

	"ferryspar/internal/configuration"
)

// plainUp and plainDown are sizes and room in whole units.
func plainUp(megabytes float64) int64   { return int64(math.Ceil(megabytes * 1048576)) }
func plainDown(megabytes float64) int64 { return int64(math.Floor(megabytes * 1048576)) }

func (p *plainPlanner) room() int64 { return plainDown(p.runtime.WeightSizeMb) }

// listed reports whether the configuration names a reference.
func (p *plainPlanner) listed(reference string) bool { return plainListed(p.runtime, reference) }

func plainListed(runtime *configuration.Runtime, reference string) bool {
	for _, model := range runtime.Models {
		names := []string{""}
		for _, name := range append(names, adapterNames(model)...) {
			if Reference(model.Name, name) == reference {
				return true
			}
		}
	}
	return false
}

func (p *plainPlanner) heldSize(server *Server, reference string) int64 {
	model, adapter := split(reference)
	listed, known := p.sizes[model]
	earlier, remembered := p.view.Sizes.of(server.ID)[reference]
	size := plainUp(listed.WeightSizeMb)
	if adapter != "" {
		size = plainUp(listed.AdapterSizeMb)
	}
	switch {
	case known && remembered:
		return max(size, int64(earlier))
	case known:
		return size
	case remembered:
		return int64(earlier)
	}
	return p.room() + 1
}

func (s *Server) upperHoldings() map[string]bool {
	found := map[string]bool{}
	for _, references := range []map[string]bool{s.Models, s.MayHold} {
		for reference, held := range references {
			if held {
				found[reference] = true
			}
		}
	}
	return found
}

func (p *plainPlanner) taken(server *Server) int64 {
	total := int64(0)
	for reference := range server.upperHoldings() {
		total += p.heldSize(server, reference)
	}
	return total
}

func (p *plainPlanner) places(server *Server) int {
	total := 0
	for reference := range server.upperHoldings() {
		if strings.Contains(reference, "/") {
			total++
		}
	}
	return total
}

func (p *plainPlanner) added(server *Server, reference string) int64 {
	model, adapter := split(reference)
	switch {
	case server.upperHoldings()[reference]:
		return 0
	case adapter == "":
		return plainUp(p.sizes[model].WeightSizeMb)
	}
	return plainUp(p.sizes[model].AdapterSizeMb)
}

// countUncertain counts the serving servers that may hold a reference, beyond the loads under way.
func (p *plainPlanner) countUncertain() {
	p.uncertain = map[string]int{}
	for _, server := range p.view.serving(p.backend.Name) {
		for reference := range server.upperHoldings() {
			if !server.Models[reference] {
				p.uncertain[reference]++
			}
		}
	}
	for reference, servers := range p.uncertain {
		p.uncertain[reference] = max(servers-p.view.Loading[Key(p.backend.Name, reference)], 0)
	}
}

func (p *plainPlanner) loading(reference string) int {
	return p.view.Loading[Key(p.backend.Name, reference)] + p.uncertain[reference]
}

func (p *plainPlanner) repeatLoad(model string) {
	for _, server := range p.idle() {
		allowed := server.Held[model] || p.tokens-p.promisedLoads >= 1
		if server.MayHold[model] && server.Intent == "" && allowed && p.fits(server, model) {
			p.load(server, model, "it is not known whether it was loaded")
			return
		}
	}
}
