package place

import (
	"ferryspar/internal/configuration"
	"sort"
	"strconv"
	"strings"
)

// plainView looks all up in the view itself.
type plainView struct {
	*View
	known map[string]Demand
}

func (v plainView) ownDemand(backend, reference string) Demand {
	if found := v.Demand[Key(backend, reference)]; found != nil {
		return *found
	}
	return Demand{}
}

func (v plainView) totalDemand(backend, model string) Demand {
	if total, known := v.known[Key(backend, model)]; known {
		return total
	}
	total := Demand{}
	for name, one := range v.Demand {
		owner, reference, _ := strings.Cut(name, " ")
		base, _ := split(reference)
		if owner != backend || base != model {
			continue
		}
		total.add(one)
	}
	v.known[Key(backend, model)] = total
	return total
}

func (v plainView) copies(backend, reference string) []*Server {
	var found []*Server
	for _, server := range v.Servers {
		if server.Backend == backend && server.counts(v.View) && server.Models[reference] {
			found = append(found, server)
		}
	}
	return found
}

func (v plainView) serving(backend string) []*Server {
	var found []*Server
	for _, server := range v.Servers {
		if server.Backend == backend && server.counts(v.View) {
			found = append(found, server)
		}
	}
	return found
}

func (v plainView) idle(backend string) []*Server {
	var found []*Server
	for _, server := range v.Servers {
		if server.Backend == backend && server.counts(v.View) && server.Ready {
			found = append(found, server)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	return found
}

func (s *Server) adapters() int {
	total := 0
	for reference := range s.Models {
		if strings.Contains(reference, "/") {
			total++
		}
	}
	return total
}

// size is what the configuration says of the models and adapters that are surely held.
func (s *Server) size(runtime *configuration.Runtime) float64 {
	total := 0.0
	for reference := range s.Models {
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
