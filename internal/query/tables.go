package query

import (
	"maps"
	"slices"

	"ferryspar/internal/configuration"
	"ferryspar/internal/operator"
)

// Table is one table to ask, with rows in the order of the columns.
type Table struct {
	Name    string
	Columns []string
	Rows    [][]any
}

// Tables returns the tables of a fleet and its configuration, with digests in the place of keys.
func Tables(fleet operator.Fleet, current configuration.Configuration) []Table {
	return []Table{replicas(fleet), models(fleet), adapters(fleet), zones(fleet), edges(fleet), routes(current), tenants(current), members(fleet), leases(fleet)}
}

func replicas(fleet operator.Fleet) Table {
	table := Table{
		Name: "replicas",
		Columns: []string{
			"id", "backend", "zone", "address", "revision", "slots",
			"state", "phase", "cold_remaining_ms", "time_left_ms",
		},
	}
	for _, one := range fleet.Replicas {
		table.Rows = append(table.Rows, []any{
			one.ID, one.Backend, one.Zone, one.Address, one.Revision,
			one.Slots, one.State, one.Phase, one.ColdRemainingMs, one.TimeLeftMs,
		})
	}
	return table
}

func models(fleet operator.Fleet) Table {
	table := Table{Name: "models", Columns: []string{"replica", "backend", "zone", "model", "revision", "adapters"}}
	for _, one := range fleet.Replicas {
		for _, held := range one.Models {
			table.Rows = append(table.Rows, []any{one.ID, one.Backend, one.Zone, held.Name, held.Revision, len(held.Adapters)})
		}
	}
	return table
}

func adapters(fleet operator.Fleet) Table {
	table := Table{Name: "adapters", Columns: []string{"replica", "model", "adapter"}}
	for _, one := range fleet.Replicas {
		for _, held := range one.Models {
			for _, adapter := range held.Adapters {
				table.Rows = append(table.Rows, []any{one.ID, held.Name, adapter})
			}
		}
	}
	return table
}

func zones(fleet operator.Fleet) Table {
	drained := map[string]bool{}
	for _, one := range fleet.Replicas {
		drained[one.Zone] = false
	}
	for _, zone := range fleet.Drained {
		drained[zone] = true
	}
	table := Table{Name: "zones", Columns: []string{"zone", "drained"}}
	for _, zone := range slices.Sorted(maps.Keys(drained)) {
		table.Rows = append(table.Rows, []any{zone, drained[zone]})
	}
	return table
}

func edges(fleet operator.Fleet) Table {
	table := Table{Name: "edges", Columns: []string{"name"}}
	for _, name := range fleet.Edges {
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
	for _, one := range current.Routes {
		for _, split := range one.Splits() {
			table.Rows = append(table.Rows, []any{
				one.Name, one.Hostname, one.PathPrefix, one.RouteType, split.Backend,
				split.Weight, one.TimeoutMs, one.TargetLatencyMs, one.Priority, one.RetryCount,
				one.Sticky, one.Resumable, one.TokenGapMs, one.Public,
			})
		}
	}
	return table
}

// tenants has one row for each key, and one with an empty digest for a tenant without keys.
func tenants(current configuration.Configuration) Table {
	current = current.Redacted()
	table := Table{Name: "tenants", Columns: []string{"name", "priority", "rate_per_s", "burst", "key_digest"}}
	for _, one := range current.Tenants {
		var priority any
		if one.Priority != nil {
			priority = *one.Priority
		}
		row := []any{one.Name, priority, one.RatePerS, one.Burst}
		for _, key := range one.Keys {
			table.Rows = append(table.Rows, append(slices.Clone(row), string(key)))
		}
		if len(one.Keys) == 0 {
			table.Rows = append(table.Rows, append(row, ""))
		}
	}
	return table
}

func members(fleet operator.Fleet) Table {
	table := Table{Name: "members", Columns: []string{"address", "part"}}
	for _, address := range fleet.Members {
		table.Rows = append(table.Rows, []any{address, "present"})
	}
	for _, address := range fleet.Next {
		table.Rows = append(table.Rows, []any{address, "next"})
	}
	return table
}

func leases(fleet operator.Fleet) Table {
	table := Table{Name: "tenures", Columns: []string{"duty", "holder", "seen_by", "fresh", "layout_revision", "list_age_ms"}}
	table.Rows = append(table.Rows, []any{"placement", fleet.Holder, fleet.Member, fleet.Fresh, fleet.Revision, fleet.ListMs})
	return table
}
