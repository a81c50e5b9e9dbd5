package place

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"ferryspar/internal/layout"
)

type Pressure struct {
	Waiting  int
	OldestMs float64
	Rate     float64
	Running  float64
	Reading  float64
	LastSeen time.Time
	Aim      float64
}

type Server struct {
	ID       string
	Backend  string
	Area     string
	Draining bool
	Lost     bool
	Ready    bool
	Models   map[string]bool
	Held     map[string]bool
	Intent   string
}

type View struct {
	Now       time.Time
	Table     *layout.Table
	Servers   []*Server
	Pressure  map[string]*Pressure
	Loading   map[string]int
	Tokens    float64
	Drained   map[string]bool
	Cleanse   []Pair
	Learned   bool
	Cleansing bool
}

type Action struct {
	Server string
	Load   bool
	Model  string
	Stored bool
	Intent string
	Why    string
}

func Reference(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

func split(reference string) (string, string) {
	model, adapter, _ := strings.Cut(reference, "/")
	return model, adapter
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

func (s *Server) size(runtime *layout.Runtime) float64 {
	sizes := map[string]layout.Model{}
	for _, model := range runtime.Models {
		sizes[model.Name] = model
	}
	total := 0.0
	for reference := range s.Models {
		model, adapter := split(reference)
		if adapter == "" {
			total += sizes[model].WeightSizeMb
		} else {
			total += sizes[model].AdapterSizeMb
		}
	}
	return total
}

func key(backend, reference string) string { return backend + " " + reference }

func Key(backend, reference string) string { return key(backend, reference) }

func Unkey(name string) (backend, reference string) {
	backend, reference, _ = strings.Cut(name, " ")
	return backend, reference
}

func (v *View) pressure(backend, reference string) Pressure {
	if found := v.Pressure[key(backend, reference)]; found != nil {
		return *found
	}
	return Pressure{}
}

func (v *View) modelPressure(backend, model string) Pressure {
	total := Pressure{}
	for name, one := range v.Pressure {
		owner, reference, _ := strings.Cut(name, " ")
		base, _ := split(reference)
		if owner != backend || base != model {
			continue
		}
		total.Waiting += one.Waiting
		total.OldestMs = max(total.OldestMs, one.OldestMs)
		total.Rate += one.Rate
		total.Running += one.Running
		total.Reading += one.Reading
		total.Aim = max(total.Aim, one.Aim)
		if one.LastSeen.After(total.LastSeen) {
			total.LastSeen = one.LastSeen
		}
	}
	return total
}

func (s *Server) counts(v *View) bool { return !s.Draining && !s.Lost && !v.Drained[s.Area] }

func (v *View) copies(backend, reference string) []*Server {
	var found []*Server
	for _, server := range v.Servers {
		if server.Backend == backend && server.counts(v) && server.Models[reference] {
			found = append(found, server)
		}
	}
	return found
}

func (v *View) idleOrBusy(backend string) []*Server {
	var found []*Server
	for _, server := range v.Servers {
		if server.Backend == backend && server.counts(v) {
			found = append(found, server)
		}
	}
	return found
}

func (v *View) idle(backend string) []*Server {
	var found []*Server
	for _, server := range v.Servers {
		if server.Backend == backend && server.counts(v) && server.Ready {
			found = append(found, server)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left].ID < found[right].ID })
	return found
}

func adapterNames(model layout.Model) []string {
	names := make([]string, model.Adapters)
	for index := range names {
		names[index] = "a" + strconv.Itoa(index+1)
	}
	return names
}
