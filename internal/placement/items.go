package placement

// itemTable numbers the models and adapters of one plan. Items of the catalog keep their numbers. Unconfigured references
// that servers have loaded or clients request are numbered after them.
type itemTable struct {
	catalog             *backendCatalog
	unconfigured        []catalogItem
	unconfiguredNumbers map[string]int // by reference
}

func newItemTable(catalog *backendCatalog) itemTable {
	return itemTable{catalog: catalog, unconfiguredNumbers: map[string]int{}}
}

// count returns how many items have a number.
func (t *itemTable) count() int { return len(t.catalog.items) + len(t.unconfigured) }

// at returns the item of a number. The pointer is valid until the next call of number.
func (t *itemTable) at(number int) *catalogItem {
	if number < len(t.catalog.items) {
		return &t.catalog.items[number]
	}
	return &t.unconfigured[number-len(t.catalog.items)]
}

// number returns the number of a reference. An unconfigured reference gets the next free number; the unconfigured model of
// an adapter is numbered before the adapter.
func (t *itemTable) number(reference string) int {
	if number, known := t.catalog.byReference[reference]; known {
		return number
	}
	if number, known := t.unconfiguredNumbers[reference]; known {
		return number
	}
	item := catalogItem{
		name: reference,
		key:  ModelKey(t.catalog.backend.Name, reference),
		size: t.catalog.sizeOf(reference),
	}
	if base, adapter := SplitReference(reference); adapter != "" {
		item.adapter = true
		item.model = t.number(base)
	}
	number := t.count()
	if !item.adapter {
		item.model = number
	}
	t.unconfiguredNumbers[reference] = number
	t.unconfigured = append(t.unconfigured, item)
	return number
}

// isConfigured reports whether the configuration names a model or adapter. Only such an item may be loaded.
func (t *itemTable) isConfigured(number int) bool { return number < len(t.catalog.items) }

// isConfiguredModel reports whether the number is that of a model that the configuration names.
func (t *itemTable) isConfiguredModel(number int) bool { return number < len(t.catalog.adapters) }

// adapterCount returns how many adapters a model has in the configuration.
func (t *itemTable) adapterCount(model int) int {
	if t.isConfiguredModel(model) {
		return len(t.catalog.adapters[model])
	}
	return 0
}

// adapterSize returns the size of each adapter of a configured model with adapters.
func (t *itemTable) adapterSize(model int) memoryUnits {
	return t.at(t.catalog.adapters[model][0]).size
}

// loadTimeS returns the duration of a load of a model from the model store in seconds, 0 if unknown.
func (t *itemTable) loadTimeS(model int) float64 {
	if t.isConfiguredModel(model) {
		return t.catalog.runtime.Models[model].LoadTimeS
	}
	return 0
}

// compareModelsFirst orders models before adapters, and each by number.
func (t *itemTable) compareModelsFirst(left, right int) int {
	leftAdapter, rightAdapter := t.at(left).adapter, t.at(right).adapter
	if leftAdapter == rightAdapter {
		return left - right
	}
	if rightAdapter {
		return -1
	}
	return 1
}
