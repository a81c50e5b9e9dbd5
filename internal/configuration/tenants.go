package configuration

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Tenant is a customer whose requests are identified by API key.
type Tenant struct {
	Name string   `json:"name"`
	Keys []APIKey `json:"apiKeys"`
	// Priority, if set, overrides the route's; 0 is the highest.
	Priority *int `json:"priority"`
	// RatePerS and Burst limit the request rate over all data planes (requests per second and burst size); 0 for no limit.
	RatePerS float64 `json:"ratePerS"`
	Burst    float64 `json:"burst"`
	// AllowedRegions restricts the serving regions further than the route's; empty for all.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// TenantNumber is the position of a tenant in the configuration, counted from 1, for use as an index in slices. It is valid
// for one revision only.
type TenantNumber int

// NoTenant is the number of requests that belong to no tenant.
const NoTenant TenantNumber = 0

// PriorityOr returns the tenant's priority, or the given one if the tenant is nil or has none. The result is at least 0, the
// highest priority.
func (t *Tenant) PriorityOr(priority int) int {
	if t != nil && t.Priority != nil {
		priority = *t.Priority
	}
	return max(priority, 0)
}

// noRegion matches no region. It represents an empty intersection, because an empty list allows all regions.
const noRegion = "\x00"

// IntersectRegions returns the regions allowed by both the tenant and a route that allows the given regions; empty for all.
func (t *Tenant) IntersectRegions(regions []string) []string {
	if t == nil || len(t.AllowedRegions) == 0 {
		return regions
	}
	if len(regions) == 0 {
		return t.AllowedRegions
	}
	var common []string
	for _, region := range regions {
		if slices.Contains(t.AllowedRegions, region) {
			common = append(common, region)
		}
	}
	if len(common) == 0 {
		return []string{noRegion}
	}
	return common
}

// PriorityText returns the tenant's priority for display.
func (t *Tenant) PriorityText() string {
	if t.Priority == nil {
		return "of the route"
	}
	return strconv.Itoa(*t.Priority)
}

// NameOrEmpty returns the tenant's name, empty for nil.
func (t *Tenant) NameOrEmpty() string {
	if t == nil {
		return ""
	}
	return t.Name
}

// validateTenants returns the first validation error of the tenants. Errors name tenants, but never reveal keys.
func validateTenants(tenants []Tenant) error {
	names := make(map[string]bool, len(tenants))
	owners := map[APIKey]string{}
	for position, tenant := range tenants {
		if err := tenant.validate(position); err != nil {
			return err
		}
		if names[tenant.Name] {
			return invalid("tenants %q: name stands twice", tenant.Name)
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			if owner, exists := owners[key]; exists && owner != tenant.Name {
				return invalid("tenants %q: a key is held by %q already", tenant.Name, owner)
			}
			owners[key] = tenant.Name
		}
	}
	return nil
}

func (t Tenant) validate(position int) error {
	if t.Name == "" {
		return invalid("tenants[%d]: name is missing", position)
	}
	if !isHeaderValue(t.Name) {
		return invalid("tenants[%d]: name cannot stand in a header", position)
	}
	if !isNonNegative(t.RatePerS) {
		return invalid("tenants %q: ratePerS is below 0", t.Name)
	}
	if !isNonNegative(t.Burst) {
		return invalid("tenants %q: burst is below 0", t.Name)
	}
	for position, key := range t.Keys {
		if reason := key.invalidReason(); reason != "" {
			return invalid("tenants %q: apiKeys[%d] %s", t.Name, position, reason)
		}
	}
	return nil
}

// isNonNegative reports whether a value is finite and not below 0.
func isNonNegative(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

// isHeaderValue reports whether a text can be transmitted unchanged as a header value: it is not empty, has no control
// characters and neither begins nor ends with a space.
func isHeaderValue(text string) bool {
	return text != "" && strings.Trim(text, " ") == text && strings.IndexFunc(text, unicode.IsControl) < 0
}
