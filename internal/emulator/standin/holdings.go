package standin

import (
	"sort"
	"strings"

	"ferryspar/internal/platform"
)

type Holdings map[string]bool

func NewHoldings(references ...string) Holdings {
	held := Holdings{}
	for _, reference := range references {
		held[reference] = true
	}
	return held
}

func (h Holdings) Drop(reference string) {
	for held := range h {
		if held == reference || strings.HasPrefix(held, reference+"/") {
			delete(h, held)
		}
	}
}

func (h Holdings) List() []platform.Held {
	references := make([]string, 0, len(h))
	for reference := range h {
		references = append(references, reference)
	}
	sort.Strings(references)
	list := []platform.Held{}
	for _, reference := range references {
		model, adapter, adapted := strings.Cut(reference, "/")
		if !adapted {
			list = append(list, platform.Held{Name: model, Revision: 1, Adapters: []string{}})
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
