package placement

import (
	"sort"
	"strconv"
	"strings"

	"ferryspar/internal/configuration"
)

// referenceView looks up everything in the view itself, except that it caches the demand by model.
type referenceView struct {
	*View
	totals map[string]Demand
}

func (v referenceView) ownDemand(backend, reference string) Demand {
	if found := v.Demand[ModelKey(backend, reference)]; found != nil {
		return *found
	}
	return Demand{}
}

func (v referenceView) totalDemand(backend, model string) Demand {
	if total, known := v.totals[ModelKey(backend, model)]; known {
		return total
	}
	total := Demand{}
	for key, demand := range v.Demand {
		demandBackend, reference, _ := strings.Cut(key, " ")
		base, _ := SplitReference(reference)
		if demandBackend != backend || base != model {
			continue
		}
		total.add(demand)
	}
	v.totals[ModelKey(backend, model)] = total
	return total
}

func (v referenceView) copies(backend, reference string) []*Server {
	var found []*Server
	for _, server := range v.Servers {
		if server.Backend == backend && server.isServing(v.View) && server.Loaded[reference] {
			found = append(found, server)
		}
	}
	return found
}

func (v referenceView) serving(backend string) []*Server {
	var found []*Server
	for _, server := range v.Servers {
		if server.Backend == backend && server.isServing(v.View) {
			found = append(found, server)
		}
	}
	return found
}

func (v referenceView) idle(backend string) []*Server {
	var found []*Server
	for _, server := range v.Servers {
		if server.Backend == backend && server.isServing(v.View) && server.Ready {
			found = append(found, server)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	return found
}

func (s *Server) adapterCount() int {
	total := 0
	for reference := range s.Loaded {
		if strings.Contains(reference, "/") {
			total++
		}
	}
	return total
}

// configuredSize returns the configured size, in MB, of all models and adapters that are certainly loaded.
func (s *Server) configuredSize(runtime *configuration.Runtime) float64 {
	total := 0.0
	for reference := range s.Loaded {
		size, _ := configuredSize(runtime, reference)
		total += size
	}
	return total
}

func adapterNames(model configuration.Model) []string {
	names := make([]string, model.Adapters)
	for index := range names {
		names[index] = "a" + strconv.Itoa(index+1)
	}
	return names
}
