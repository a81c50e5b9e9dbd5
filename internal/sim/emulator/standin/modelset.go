package standin

import (
	"sort"
	"strings"

	"ferryspar/internal/discovery"
)

// ModelSet is a set of references, each a model or "model/adapter".
type ModelSet map[string]bool

// NewModelSet is the set of the given references.
func NewModelSet(references ...string) ModelSet {
	set := ModelSet{}
	for _, reference := range references {
		set[reference] = true
	}
	return set
}

// Remove removes a reference and, if it is a model, its adapters.
func (h ModelSet) Remove(reference string) {
	for loaded := range h {
		if loaded == reference || strings.HasPrefix(loaded, reference+"/") {
			delete(h, loaded)
		}
	}
}

// List is the set as the platform lists it, ordered by name; adapters without their model
// are left out.
func (h ModelSet) List() []discovery.LoadedModel {
	references := make([]string, 0, len(h))
	for reference := range h {
		references = append(references, reference)
	}
	sort.Strings(references)
	list := []discovery.LoadedModel{}
	for _, reference := range references {
		model, adapter, adapted := strings.Cut(reference, "/")
		if !adapted {
			list = append(list, discovery.LoadedModel{Name: model, Revision: 1, Adapters: []string{}})
			continue
		}
		for position := range list {
			if list[position].Name == model {
				list[position].Adapters = append(list[position].Adapters, adapter)
			}
		}
	}
	return list
}
