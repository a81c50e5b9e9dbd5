package query

import (
	"maps"
	"slices"
	"strings"

	"ferryspar/internal/adminapi"
	"ferryspar/internal/configuration"
)

// Names of the tables. Operators' saved queries depend on them, on the column names and on the values of the column part, so they
// stay the same even where the code uses another name.
const (
	tableReplicas   = "replicas"
	tableModels     = "models"
	tableAdapters   = "adapters"
	tableZones      = "zones"
	tableDataPlanes = "edges"
	tableRoutes     = "routes"
	tableTenants    = "tenants"
	tableMembers    = "members"
	tableLeases     = "tenures"
)

// Values of the column part of the table members: the current membership, or the one that it is changing to.
const (
	partCurrent = "present"
	partNext    = "next"
)

// leasePlacement is the value of the column duty for the placement lease.
const leasePlacement = "placement"

// Table is a table of the query database.
type Table struct {
	Name    string
	Columns []string
	// Rows has one value per column in each row, in the order of Columns.
	Rows [][]any
}

// NeedsConfiguration reports whether a statement may use a table that is built from the configuration. If it returns false,
// Tables may be called with an empty configuration. Case is ignored, as in SQL.
func NeedsConfiguration(statement string) bool {
	statement = strings.ToLower(statement)
	return strings.Contains(statement, tableRoutes) || strings.Contains(statement, tableTenants)
}

// Tables returns the tables for a fleet and its configuration. Tenants' keys are replaced by their digests.
func Tables(fleet adminapi.FleetStatus, current configuration.Configuration) []Table {
	return []Table{
		newReplicaTable(fleet),
		newModelTable(fleet),
		newAdapterTable(fleet),
		newZoneTable(fleet),
		newDataPlaneTable(fleet),
		newRouteTable(current),
		newTenantTable(current),
		newMemberTable(fleet),
		newLeaseTable(fleet),
	}
}

// addRow appends a row with values in the order of the columns.
func (t *Table) addRow(values ...any) { t.Rows = append(t.Rows, values) }

func newReplicaTable(fleet adminapi.FleetStatus) Table {
	table := Table{
		Name: tableReplicas,
		Columns: []string{
			"id", "backend", "zone", "address", "revision", "slots",
			"state", "phase", "cold_remaining_ms", "time_left_ms",
		},
	}
	for _, replica := range fleet.Replicas {
		table.addRow(
			replica.ID, replica.Backend, replica.Zone, replica.Address, replica.Revision,
			replica.Slots, replica.State, string(replica.Phase), replica.WarmUpRemainingMs, replica.TimeLeftMs,
		)
	}
	return table
}

func newModelTable(fleet adminapi.FleetStatus) Table {
	table := Table{Name: tableModels, Columns: []string{"replica", "backend", "zone", "model", "revision", "adapters"}}
	for _, replica := range fleet.Replicas {
		for _, loaded := range replica.Models {
			table.addRow(replica.ID, replica.Backend, replica.Zone, loaded.Name, loaded.Revision, len(loaded.Adapters))
		}
	}
	return table
}

func newAdapterTable(fleet adminapi.FleetStatus) Table {
	table := Table{Name: tableAdapters, Columns: []string{"replica", "model", "adapter"}}
	for _, replica := range fleet.Replicas {
		for _, loaded := range replica.Models {
			for _, adapter := range loaded.Adapters {
				table.addRow(replica.ID, loaded.Name, adapter)
			}
		}
	}
	return table
}

// newZoneTable returns a table of the zones that have a replica or are drained.
func newZoneTable(fleet adminapi.FleetStatus) Table {
	drained := map[string]bool{}
	for _, replica := range fleet.Replicas {
		drained[replica.Zone] = false
	}
	for _, zone := range fleet.DrainedZones {
		drained[zone] = true
	}
	table := Table{Name: tableZones, Columns: []string{"zone", "drained"}}
	for _, zone := range slices.Sorted(maps.Keys(drained)) {
		table.addRow(zone, drained[zone])
	}
	return table
}

func newDataPlaneTable(fleet adminapi.FleetStatus) Table {
	table := Table{Name: tableDataPlanes, Columns: []string{"name"}}
	for _, name := range fleet.DataPlanes {
		table.addRow(name)
	}
	return table
}

// newRouteTable returns a table with one row for each backend of each route.
func newRouteTable(current configuration.Configuration) Table {
	table := Table{
		Name: tableRoutes,
		Columns: []string{
			"name", "hostname", "path_prefix", "route_type", "backend", "weight",
			"timeout_ms", "target_latency_ms", "priority", "retry_count", "sticky", "resumable",
			"token_gap_ms", "public",
		},
	}
	for _, route := range current.Routes {
		for _, split := range route.Splits() {
			table.addRow(
				route.Name, route.Hostname, route.PathPrefix, route.RouteType, split.Backend,
				split.Weight, route.TimeoutMs, route.TargetLatencyMs, route.Priority, route.RetryCount,
				route.Sticky, route.Resumable, route.TokenGapMs, route.Public,
			)
		}
	}
	return table
}

// newTenantTable returns a table with one row for each key, and one with an empty digest for a tenant without keys.
func newTenantTable(current configuration.Configuration) Table {
	current = current.Redacted()
	table := Table{Name: tableTenants, Columns: []string{"name", "priority", "rate_per_s", "burst", "key_digest"}}
	for _, tenant := range current.Tenants {
		var priority any
		if tenant.Priority != nil {
			priority = *tenant.Priority
		}
		for _, key := range tenant.Keys {
			table.addRow(tenant.Name, priority, tenant.RatePerS, tenant.Burst, string(key))
		}
		if len(tenant.Keys) == 0 {
			table.addRow(tenant.Name, priority, tenant.RatePerS, tenant.Burst, "")
		}
	}
	return table
}

// newMemberTable returns a table of the members. One that is in both the current and the next membership has two rows.
func newMemberTable(fleet adminapi.FleetStatus) Table {
	table := Table{Name: tableMembers, Columns: []string{"address", "part"}}
	for _, address := range fleet.Members {
		table.addRow(address, partCurrent)
	}
	for _, address := range fleet.NextMembers {
		table.addRow(address, partNext)
	}
	return table
}

// newLeaseTable returns a table with the placement lease, the only lease that the fleet status includes.
func newLeaseTable(fleet adminapi.FleetStatus) Table {
	table := Table{Name: tableLeases, Columns: []string{"duty", "holder", "seen_by", "fresh", "layout_revision", "list_age_ms"}}
	table.addRow(leasePlacement, fleet.PlacementLeaseHolder, fleet.Address, fleet.Fresh, fleet.Revision, fleet.ReplicaListAgeMs)
	return table
}
