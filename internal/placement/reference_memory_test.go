package placement

import (
	"math"
	"strings"

	"ferryspar/internal/configuration"
)

// roundUpUnits and roundDownUnits convert sizes and the capacity to whole units.
func roundUpUnits(megabytes float64) int64   { return int64(math.Ceil(megabytes * 1048576)) }
func roundDownUnits(megabytes float64) int64 { return int64(math.Floor(megabytes * 1048576)) }

func (p *referencePlanner) capacity() int64 { return roundDownUnits(p.runtime.WeightSizeMb) }

// isConfigured reports whether the configuration names a reference.
func (p *referencePlanner) isConfigured(reference string) bool {
	return isConfiguredReference(p.runtime, reference)
}

func isConfiguredReference(runtime *configuration.Runtime, reference string) bool {
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

func (p *referencePlanner) loadedSize(server *Server, reference string) int64 {
	model, adapter := SplitReference(reference)
	configured, known := p.sizes[model]
	earlier, remembered := p.view.SizeHistory.sizesAt(server.ID)[reference]
	size := roundUpUnits(configured.WeightSizeMb)
	if adapter != "" {
		size = roundUpUnits(configured.AdapterSizeMb)
	}
	switch {
	case known && remembered:
		return max(size, int64(earlier))
	case known:
		return size
	case remembered:
		return int64(earlier)
	}
	return p.capacity() + 1
}

func (s *Server) possiblyLoaded() map[string]bool {
	found := map[string]bool{}
	for _, references := range []map[string]bool{s.Loaded, s.MaybeLoaded} {
		for reference, loaded := range references {
			if loaded {
				found[reference] = true
			}
		}
	}
	return found
}

func (p *referencePlanner) memoryUsed(server *Server) int64 {
	total := int64(0)
	for reference := range server.possiblyLoaded() {
		total += p.loadedSize(server, reference)
	}
	return total
}

func (p *referencePlanner) adapterSlotsUsed(server *Server) int {
	total := 0
	for reference := range server.possiblyLoaded() {
		if strings.Contains(reference, "/") {
			total++
		}
	}
	return total
}

func (p *referencePlanner) addedSize(server *Server, reference string) int64 {
	model, adapter := SplitReference(reference)
	switch {
	case server.possiblyLoaded()[reference]:
		return 0
	case adapter == "":
		return roundUpUnits(p.sizes[model].WeightSizeMb)
	}
	return roundUpUnits(p.sizes[model].AdapterSizeMb)
}

// countUncertain counts the serving servers that may have a reference loaded, less the loads in progress.
func (p *referencePlanner) countUncertain() {
	p.uncertain = map[string]int{}
	for _, server := range p.view.serving(p.backend.Name) {
		for reference := range server.possiblyLoaded() {
			if !server.Loaded[reference] {
				p.uncertain[reference]++
			}
		}
	}
	for reference, servers := range p.uncertain {
		p.uncertain[reference] = max(servers-p.view.Loading[ModelKey(p.backend.Name, reference)], 0)
	}
}

func (p *referencePlanner) loadsPending(reference string) int {
	return p.view.Loading[ModelKey(p.backend.Name, reference)] + p.uncertain[reference]
}

func (p *referencePlanner) retryUncertainLoad(model string) {
	for _, server := range p.idleServers() {
		allowed := server.OnDisk[model] || p.tokens-p.reservedTokens >= 1
		if server.MaybeLoaded[model] && server.Intent == "" && allowed && p.fits(server, model) {
			p.load(server, model, "it is not known whether it was loaded")
			return
		}
	}
}
