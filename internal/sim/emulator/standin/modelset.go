package standin

import (
	"sort"
	"strings"

	"ferryspar/internal/discovery"
)

// ModelSet is a set of references, each "model" or "model/adapter".
type ModelSet map[string]bool

// NewModelSet returns the set of the given references.
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

// List returns the set in the format of the platform's list, ordered by name. Adapters whose model is not in
// the set are omitted.
func (h ModelSet) List() []discovery.LoadedModel {
	references := make([]string, 0, len(h))
	for reference := range h {
		references = append(references, reference)
	}
	sort.Strings(references)
	list := []discovery.LoadedModel{}
	for _, reference := range references {
		model, adapter, isAdapter := strings.Cut(reference, "/")
		if !isAdapter {
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
