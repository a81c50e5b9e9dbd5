package placement

import (
	"strconv"

	"ferryspar/internal/configuration"
)

// catalogItem is a model or an adapter. Within a plan it is known by its number: models come first,
// with the numbers of the runtime's list, then all adapters, then what servers hold or clients ask
// for without being in the configuration.
type catalogItem struct {
	name    string // reference
	key     string // ModelKey of it
	model   int    // number of its model, of a model its own
	adapter bool
	size    memoryUnits // unknownSize where the configuration has none
}

// backendCatalog numbers the models and adapters of one backend.
type backendCatalog struct {
	backend  *configuration.Backend
	runtime  *configuration.Runtime
	items    []catalogItem
	names    map[string]int // reference to number
	keys     map[string]int // ModelKey to number
	adapters [][]int        // by model
	smallest memoryUnits    // of the smallest model
}

// Catalog numbers all models and adapters of a configuration, so that plans need not look them up
// by name. It is read-only once made.
type Catalog struct {
	table    *configuration.Table
	backends []*backendCatalog // those with a runtime
}

// NewCatalog makes the catalog of a table.
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

// Of reports whether the catalog was made of that table. A nil catalog was made of none.
func (c *Catalog) IsFor(table *configuration.Table) bool { return c != nil && c.table == table }

// backend is the catalog of a backend, nil where it has no runtime.
func (c *Catalog) backend(name string) *backendCatalog {
	for _, backend := range c.backends {
		if backend.backend.Name == name {
			return backend
		}
	}
	return nil
}

// newBackendCatalog numbers all models of a backend, then all their adapters, named a1 and on.
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
				name:    Reference(model.Name, "a"+strconv.Itoa(adapter+1)),
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

// sizeOf is the size that the configuration gives a reference. An adapter of a listed model has that
// model's size of adapters, also beyond the adapters listed.
func (c *backendCatalog) sizeOf(reference string) memoryUnits {
	if c == nil {
		return unknownSize
	}
	if number, known := c.names[reference]; known {
		return c.items[number].size
	}
	base, adapter := splitReference(reference)
	if model, known := c.names[base]; known && adapter != "" {
		return sizeOf(c.runtime.Models[model].AdapterSizeMb)
	}
	return unknownSize
}
