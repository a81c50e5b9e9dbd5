package configuration

import (
	"net"
	"strconv"
	"strings"
)

// Table provides lookups in one configuration. It is immutable and safe for concurrent use.
type Table struct {
	Configuration Configuration             // with redacted keys
	Document      []byte                    // source document, or nil
	hosts         map[string]map[string]int // route position by host and path prefix
	backends      map[string]int            // position by name
	models        []map[string]int          // position by backend position and name
	tenants       map[KeyHash]TenantNumber
}

// NewTable returns the table of a configuration. document is its source, or nil if not needed. The table keeps only hashes of
// keys.
func NewTable(source Configuration, document []byte) *Table {
	table := &Table{
		Configuration: source,
		Document:      document,
		hosts:         map[string]map[string]int{},
		backends:      map[string]int{},
	}
	table.indexRoutes()
	table.models = make([]map[string]int, len(source.Backends))
	for index, backend := range source.Backends {
		table.backends[backend.Name] = index
		table.models[index] = map[string]int{}
		if backend.Runtime == nil {
			continue
		}
		for position, model := range backend.Runtime.Models {
			table.models[index][model.Name] = position
		}
	}
	table.indexTenants(source.Tenants)
	return table
}

// indexRoutes fills hosts.
func (t *Table) indexRoutes() {
	for index := range t.Configuration.Routes {
		route := &t.Configuration.Routes[index]
		host := strings.ToLower(route.Hostname)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]int{}
		}
		t.hosts[host][route.PathPrefix] = index
	}
}

// withRoutes returns a table with another revision and other routes that shares everything else with this one.
func (t *Table) withRoutes(revision int64, routes []Route) *Table {
	next := *t
	next.Configuration.Revision, next.Configuration.Routes = revision, routes
	next.Document = nil
	next.hosts = make(map[string]map[string]int, len(t.hosts))
	next.indexRoutes()
	return &next
}

func (t *Table) indexTenants(tenants []Tenant) {
	t.Configuration = t.Configuration.Redacted()
	t.tenants = map[KeyHash]TenantNumber{}
	for position, tenant := range tenants {
		for _, key := range tenant.Keys {
			t.tenants[HashKey(string(key))] = TenantNumber(position + 1)
		}
	}
}

// TenantByName returns the tenant with the name, or nil.
func (t *Table) TenantByName(name string) *Tenant {
	for index := range t.Configuration.Tenants {
		if t.Configuration.Tenants[index].Name == name {
			return &t.Configuration.Tenants[index]
		}
	}
	return nil
}

// RequiresKeys reports whether requests need an API key, except on public routes.
func (t *Table) RequiresKeys() bool { return t.Configuration.Tenants != nil }

// FindTenant returns the number of the tenant that owns a key, or NoTenant.
func (t *Table) FindTenant(key KeyHash) TenantNumber { return t.tenants[key] }

// Tenant returns the tenant with the number, nil for NoTenant. Its keys are redacted.
func (t *Table) Tenant(number TenantNumber) *Tenant {
	if number <= NoTenant || int(number) > len(t.Configuration.Tenants) {
		return nil
	}
	return &t.Configuration.Tenants[number-1]
}

// FindRoute returns the route that matches the host and has the longest matching path prefix.
func (t *Table) FindRoute(hostHeader, path string) (*Route, bool) {
	host := strings.ToLower(hostHeader)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := t.hosts[host]
	if prefixes == nil {
		return nil, false
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if index, found := prefixes[path[:end]]; found {
			return &t.Configuration.Routes[index], true
		}
	}
	return nil, false
}

// Backend returns the backend with the name and its index.
func (t *Table) Backend(name string) (*Backend, int, bool) {
	index, found := t.backends[name]
	if !found {
		return nil, -1, false
	}
	return &t.Configuration.Backends[index], index, true
}

// HasModel reports whether the backend at the index has the referenced model or adapter: "model" or "model/adapter".
func (t *Table) HasModel(backend int, reference string) bool {
	model, adapter, _ := strings.Cut(reference, "/")
	position, found := t.models[backend][model]
	if !found {
		return false
	}
	if adapter == "" {
		return true
	}
	number, err := strconv.Atoi(strings.TrimPrefix(adapter, "a"))
	return err == nil && number >= 1 && number <= t.Configuration.Backends[backend].Runtime.Models[position].Adapters
}

// Model returns a model of the backend at the index.
func (t *Table) Model(backend int, name string) (*Model, bool) {
	position, found := t.models[backend][name]
	if !found {
		return nil, false
	}
	return &t.Configuration.Backends[backend].Runtime.Models[position], true
}

// PickBackend selects a backend by weight for a random draw in [0, 1).
func (r *Route) PickBackend(draw float64) string {
	splits := r.Splits()
	total := 0.0
	for _, split := range splits {
		total += split.Weight
	}
	remaining := draw * total
	for _, split := range splits {
		if remaining < split.Weight {
			return split.Backend
		}
		remaining -= split.Weight
	}
	for position := len(splits) - 1; position >= 0; position-- {
		if splits[position].Weight > 0 {
			return splits[position].Backend
		}
	}
	return ""
}
