package placement

import (
	"strconv"

	"ferryspar/internal/configuration"
)

// adapterNamePrefix and a number, counted from 1, name the adapters of a model.
const adapterNamePrefix = "a"

// catalogItem is a model or an adapter.
type catalogItem struct {
	name    string      // reference
	key     string      // ModelKey of it
	model   int         // number of its model; a model's own number
	adapter bool        // it is an adapter
	size    memoryUnits // unknownSize if the configuration gives none
}

// backendCatalog numbers the models and adapters of one backend: first the models, with their positions
// in the runtime's list, then all adapters.
type backendCatalog struct {
	backend  *configuration.Backend
	runtime  *configuration.Runtime
	items    []catalogItem
	names    map[string]int // reference to number
	keys     map[string]int // ModelKey to number
	adapters [][]int        // numbers of the adapters, by model
	smallest memoryUnits    // size of the smallest model
}

// Catalog numbers all models and adapters of a configuration, so that plans need not look them up by
// name. It is immutable and may be shared by plans.
type Catalog struct {
	table    *configuration.Table
	backends []*backendCatalog // those with a runtime
}

// NewCatalog builds the catalog of a table.
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

// IsFor reports whether the catalog was built from that table. A nil catalog was built from none.
func (c *Catalog) IsFor(table *configuration.Table) bool { return c != nil && c.table == table }

// backend returns the catalog of a backend, nil if it has no runtime.
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
		backend:  backend,
		runtime:  backend.Runtime,
		names:    map[string]int{},
		keys:     map[string]int{},
		adapters: make([][]int, len(models)),
	}
	for index, model := range models {
		size := sizeOf(model.WeightSizeMb)
		catalog.add(catalogItem{name: model.Name, model: index, size: size})
		if index == 0 || size < catalog.smallest {
			catalog.smallest = size
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

// add gives an item the next number.
func (c *backendCatalog) add(item catalogItem) int {
	number := len(c.items)
	item.key = ModelKey(c.backend.Name, item.name)
	c.items = append(c.items, item)
	c.names[item.name] = number
	c.keys[item.key] = number
	return number
}

// sizeOf returns the size that the configuration gives a reference. Any adapter of a configured model has
// that model's adapter size, also one with a number beyond the model's count of adapters.
func (c *backendCatalog) sizeOf(reference string) memoryUnits {
	if c == nil {
		return unknownSize
	}
	if number, known := c.names[reference]; known {
		return c.items[number].size
	}
	base, adapter := SplitReference(reference)
	if model, known := c.names[base]; known && adapter != "" {
		return sizeOf(c.runtime.Models[model].AdapterSizeMb)
	}
	return unknownSize
}
