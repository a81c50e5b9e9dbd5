package replicatracker

import (
	"sort"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
)

// References returns the references of a replica's models and adapters.
func References(models []discovery.LoadedModel) map[string]bool {
	references := map[string]bool{}
	for _, model := range models {
		references[model.Name] = true
		for _, adapter := range model.Adapters {
			references[placement.Reference(model.Name, adapter)] = true
		}
	}
	return references
}

// loadedModels converts a set of references to the form of the platform's list, ordered by name.
func loadedModels(references map[string]bool) []discovery.LoadedModel {
	adapters := map[string][]string{}
	for reference := range references {
		model, adapter := placement.SplitReference(reference)
		if adapters[model] == nil {
			adapters[model] = []string{}
		}
		if adapter != "" {
			adapters[model] = append(adapters[model], adapter)
		}
	}
	var list []discovery.LoadedModel
	for model, names := range adapters {
		sort.Strings(names)
		list = append(list, discovery.LoadedModel{Name: model, Revision: 1, Adapters: names})
	}
	sort.Slice(list, func(left, right int) bool { return list[left].Name < list[right].Name })
	return list
}

// hasExactlyLoaded reports whether a set of references equals that of the listed models and adapters.
func hasExactlyLoaded(loaded map[string]bool, models []discovery.LoadedModel) bool {
	count := 0
	for _, model := range models {
		if !loaded[model.Name] {
			return false
		}
		for _, adapter := range model.Adapters {
			if !loaded[placement.Reference(model.Name, adapter)] {
				return false
			}
		}
		count += 1 + len(model.Adapters)
	}
	return count == len(loaded)
}
