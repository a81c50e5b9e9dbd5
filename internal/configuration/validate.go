package configuration

import (
	"strings"

	"ferryspar/internal/apierror"
)

// invalid returns an error of kind apierror.InvalidConfiguration; the message names the section and item.
func invalid(format string, arguments ...any) error {
	return apierror.New(apierror.InvalidConfiguration, format, arguments...)
}

// Validate returns the first validation error, of kind apierror.InvalidConfiguration, or nil.
func (c Configuration) Validate() error {
	if c.Revision <= 0 {
		return invalid("revision must be above 0")
	}
	backendNames := make(map[string]bool, len(c.Backends))
	for position, backend := range c.Backends {
		if err := backend.validate(position, backendNames); err != nil {
			return err
		}
		backendNames[backend.Name] = true
	}
	names := make(map[string]bool, len(c.Routes))
	routeKeys := make(map[string]string, len(c.Routes))
	for position, route := range c.Routes {
		if err := route.validate(position, backendNames, names); err != nil {
			return err
		}
		routeKey := route.key()
		if other, exists := routeKeys[routeKey]; exists {
			return invalid("routeTable %q: hostname and pathPrefix are those of %q", route.Name, other)
		}
		names[route.Name] = true
		routeKeys[routeKey] = route.Name
	}
	return validateTenants(c.Tenants)
}

func (b Backend) validate(position int, backendNames map[string]bool) error {
	if b.Name == "" {
		return invalid("backends[%d]: name is missing", position)
	}
	if backendNames[b.Name] {
		return invalid("backends %q: name stands twice", b.Name)
	}
	if b.Runtime == nil {
		return nil
	}
	models := map[string]bool{}
	for _, model := range b.Runtime.Models {
		if model.Name == "" || models[model.Name] {
			return invalid("backends %q: runtime.modelList names %q twice or not at all", b.Name, model.Name)
		}
		models[model.Name] = true
	}
	return nil
}

func (r Route) validate(position int, backendNames, names map[string]bool) error {
	if r.Name == "" {
		return invalid("routeTable[%d]: name is missing", position)
	}
	if names[r.Name] {
		return invalid("routeTable %q: name stands twice", r.Name)
	}
	if r.Hostname == "" {
		return invalid("routeTable %q: hostname is missing", r.Name)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return invalid("routeTable %q: pathPrefix must start and end with a slash", r.Name)
	}
	if r.TimeoutMs <= 0 {
		return invalid("routeTable %q: timeoutMs must be above 0", r.Name)
	}
	total := 0.0
	for _, split := range r.Splits() {
		if !backendNames[split.Backend] {
			return invalid("routeTable %q: unknown backend %q", r.Name, split.Backend)
		}
		if split.Weight < 0 {
			return invalid("routeTable %q: trafficSplit has a weight below 0", r.Name)
		}
		total += split.Weight
	}
	if total <= 0 {
		return invalid("routeTable %q: trafficSplit weights sum to 0", r.Name)
	}
	return nil
}
