package placement

import (
	"strconv"

	"ferryspar/internal/configuration"
)

// adapterNamePrefix is the prefix of the names of a model's adapters; their number, counted from 1, follows.
const adapterNamePrefix = "a"

// catalogItem is a model or an adapter of a backend.
type catalogItem struct {
	name    string      // reference
	key     string      // ModelKey of the reference
	model   int         // number of an adapter's model, or a model's own number
	adapter bool        // whether the item is an adapter
	size    memoryUnits // unknownSize if the configuration gives no size
}

// backendCatalog numbers the models and adapters of one backend: first the models, by their positions in the runtime's
// list, then all adapters.
type backendCatalog struct {
	backend           *configuration.Backend
	runtime           *configuration.Runtime
	items             []catalogItem
	byReference       map[string]int // numbers by reference
	byKey             map[string]int // numbers by ModelKey
	adapters          [][]int        // numbers of the adapters, by model
	smallestModelSize memoryUnits
}

// Catalog numbers all models and adapters of a configuration, so that plans need not look them up by name. It is immutable
// and may be shared by several plans.
type Catalog struct {
	table    *configuration.Table
	backends []*backendCatalog // those with a runtime
}

// NewCatalog returns the catalog of a table.
func NewCatalog(table *configuration.Table) *Catalog {
	catalog := &Catalog{table: table}
	for index := range table.Configuration.Backends {
		backend := &table.Configuration.Backends[index]
		if backend.Runtime != nil {
			catalog.backends = append(catalog.backends, newBackendCatalog(backend))
		}
	}
	return catalog
}

// IsFor reports whether the catalog was built from the given table. It is false for a nil catalog.
func (c *Catalog) IsFor(table *configuration.Table) bool { return c != nil && c.table == table }

// backend returns the catalog of a backend, or nil if the backend has no runtime.
func (c *Catalog) backend(name string) *backendCatalog {
	for _, backend := range c.backends {
		if backend.backend.Name == name {
			return backend
		}
	}
	return nil
}

// newBackendCatalog numbers all models of a backend, then all their adapters.
func newBackendCatalog(backend *configuration.Backend) *backendCatalog {
	models := backend.Runtime.Models
	catalog := &backendCatalog{
		backend:     backend,
		runtime:     backend.Runtime,
		byReference: map[string]int{},
		byKey:       map[string]int{},
		adapters:    make([][]int, len(models)),
	}
	for index, model := range models {
		size := sizeOf(model.WeightSizeMb)
		catalog.add(catalogItem{name: model.Name, model: index, size: size})
		if index == 0 || size < catalog.smallestModelSize {
			catalog.smallestModelSize = size
		}
	}
	for index, model := range models {
		for adapter := range model.Adapters {
			number := catalog.add(catalogItem{
				name:    Reference(model.Name, adapterNamePrefix+strconv.Itoa(adapter+1)),
				model:   index,
				adapter: true,
				size:    sizeOf(model.AdapterSizeMb),
			})
			catalog.adapters[index] = append(catalog.adapters[index], number)
		}
	}
	return catalog
}

// add appends an item and returns its number.
func (c *backendCatalog) add(item catalogItem) int {
	number := len(c.items)
	item.key = ModelKey(c.backend.Name, item.name)
	c.items = append(c.items, item)
	c.byReference[item.name] = number
	c.byKey[item.key] = number
	return number
}

// sizeOf returns the size that the configuration gives a reference. Each adapter of a configured model has the adapter size
// of that model, even if its number exceeds the configured count of adapters. A nil catalog gives no sizes.
func (c *backendCatalog) sizeOf(reference string) memoryUnits {
	if c == nil {
		return unknownSize
	}
	if number, known := c.byReference[reference]; known {
		return c.items[number].size
	}
	base, adapter := SplitReference(reference)
	if model, known := c.byReference[base]; known && adapter != "" {
		return sizeOf(c.runtime.Models[model].AdapterSizeMb)
	}
	return unknownSize
}
