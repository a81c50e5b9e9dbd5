package query

import (
	"maps"
	"slices"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/configuration"
)

// Table is one table to ask, with rows in the order of the columns.
type Table struct {
	Name    string
	Columns []string
	Rows    [][]any
}

// Tables returns the tables of a fleet and its configuration, with digests in the place of keys.
func Tables(fleet adminapi.FleetStatus, current configuration.Configuration) []Table {
	return []Table{
		replicas(fleet),
		models(fleet),
		adapters(fleet),
		zones(fleet),
		dataPlanes(fleet),
		routes(current),
		tenants(current),
		members(fleet),
		leases(fleet),
	}
}

func replicas(fleet adminapi.FleetStatus) Table {
	table := Table{
		Name: "replicas",
		Columns: []string{
			"id", "backend", "zone", "address", "revision", "slots",
			"state", "phase", "cold_remaining_ms", "time_left_ms",
		},
	}
	for _, replica := range fleet.Replicas {
		table.Rows = append(table.Rows, []any{
			replica.ID, replica.Backend, replica.Zone, replica.Address, replica.Revision,
			replica.Slots, replica.State, replica.Phase, replica.WarmUpRemainingMs, replica.TimeLeftMs,
		})
	}
	return table
}

func models(fleet adminapi.FleetStatus) Table {
	table := Table{Name: "models", Columns: []string{"replica", "backend", "zone", "model", "revision", "adapters"}}
	for _, replica := range fleet.Replicas {
		for _, loaded := range replica.Models {
			table.Rows = append(table.Rows, []any{
				replica.ID, replica.Backend, replica.Zone,
				loaded.Name, loaded.Revision, len(loaded.Adapters),
			})
		}
	}
	return table
}

func adapters(fleet adminapi.FleetStatus) Table {
	table := Table{Name: "adapters", Columns: []string{"replica", "model", "adapter"}}
	for _, replica := range fleet.Replicas {
		for _, loaded := range replica.Models {
			for _, adapter := range loaded.Adapters {
				table.Rows = append(table.Rows, []any{replica.ID, loaded.Name, adapter})
			}
		}
	}
	return table
}

func zones(fleet adminapi.FleetStatus) Table {
	drained := map[string]bool{}
	for _, replica := range fleet.Replicas {
		drained[replica.Zone] = false
	}
	for _, zone := range fleet.DrainedZones {
		drained[zone] = true
	}
	table := Table{Name: "zones", Columns: []string{"zone", "drained"}}
	for _, zone := range slices.Sorted(maps.Keys(drained)) {
		table.Rows = append(table.Rows, []any{zone, drained[zone]})
	}
	return table
}

func dataPlanes(fleet adminapi.FleetStatus) Table {
	table := Table{Name: "edges", Columns: []string{"name"}}
	for _, name := range fleet.DataPlanes {
		table.Rows = append(table.Rows, []any{name})
	}
	return table
}

func routes(current configuration.Configuration) Table {
	table := Table{
		Name: "routes",
		Columns: []string{
			"name", "hostname", "path_prefix", "route_type", "backend", "weight",
			"timeout_ms", "target_latency_ms", "priority", "retry_count", "sticky", "resumable",
			"token_gap_ms", "public",
		},
	}
	for _, route := range current.Routes {
		for _, split := range route.Splits() {
			table.Rows = append(table.Rows, []any{
				route.Name, route.Hostname, route.PathPrefix, route.RouteType, split.Backend,
				split.Weight, route.TimeoutMs, route.TargetLatencyMs, route.Priority, route.RetryCount,
				route.Sticky, route.Resumable, route.TokenGapMs, route.Public,
			})
		}
	}
	return table
}

// tenants has one row for each key, and one with an empty digest for a tenant without keys.
func tenants(current configuration.Configuration) Table {
	current = current.Redacted()
	table := Table{Name: "tenants", Columns: []string{"name", "priority", "rate_per_s", "burst", "key_digest"}}
	for _, tenant := range current.Tenants {
		var priority any
		if tenant.Priority != nil {
			priority = *tenant.Priority
		}
		row := []any{tenant.Name, priority, tenant.RatePerS, tenant.Burst}
		for _, key := range tenant.Keys {
			table.Rows = append(table.Rows, append(slices.Clone(row), string(key)))
		}
		if len(tenant.Keys) == 0 {
			table.Rows = append(table.Rows, append(row, ""))
		}
	}
	return table
}

func members(fleet adminapi.FleetStatus) Table {
	table := Table{Name: "members", Columns: []string{"address", "part"}}
	for _, address := range fleet.Members {
		table.Rows = append(table.Rows, []any{address, "present"})
	}
	for _, address := range fleet.NextMembers {
		table.Rows = append(table.Rows, []any{address, "next"})
	}
	return table
}

// leases is the table "tenures", a name that operators' queries use; its columns keep theirs too.
func leases(fleet adminapi.FleetStatus) Table {
	table := Table{Name: "tenures", Columns: []string{"duty", "holder", "seen_by", "fresh", "layout_revision", "list_age_ms"}}
	table.Rows = append(table.Rows, []any{"placement", fleet.PlacementHolder, fleet.Member, fleet.Fresh, fleet.Revision, fleet.ListAgeMs})
	return table
}
