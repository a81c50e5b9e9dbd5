package scheduler

import (
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
)

// currentConfiguration is the newest configuration that could be decoded, in the forms that the planner needs. It is used only
// by the planning loop.
type currentConfiguration struct {
	follower configuration.Follower
	table    *configuration.Table
	catalog  *placement.Catalog
}

// update returns the table of the active configuration, built once per revision, or nil if there is none. If the active
// configuration cannot be decoded, the previous table stays in use.
func (c *currentConfiguration) update(state *State) *configuration.Table {
	if state.Revision == 0 {
		return nil
	}
	if c.table != nil && c.table.Configuration.Revision == state.Revision {
		return c.table
	}
	if c.applyDifferences(state) || c.follower.Replace(state.PackedConfiguration) == nil {
		c.table = c.follower.Table()
	}
	return c.table
}

// applyDifferences applies the differences that lead from the follower's revision to the active one, and reports whether that
// succeeded. It fails if the first difference starts after the follower's revision.
func (c *currentConfiguration) applyDifferences(state *State) bool {
	applicable := c.follower.AcceptsDeltas() && len(state.Differences) > 0 && state.Differences[0].Base <= c.follower.Revision()
	return applicable && c.follower.Apply(state.Differences) == nil && c.follower.Revision() == state.Revision
}

// catalogOf returns the planner's catalog of a table, built once per table.
func (c *currentConfiguration) catalogOf(table *configuration.Table) *placement.Catalog {
	if !c.catalog.IsFor(table) {
		c.catalog = placement.NewCatalog(table)
	}
	return c.catalog
}

// findModel returns a model of a backend by name.
func (c *currentConfiguration) findModel(backend, name string) (*configuration.Model, bool) {
	_, index, found := c.table.Backend(backend)
	if !found {
		return nil, false
	}
	return c.table.Model(index, name)
}

// swapTime returns how long a replica of the backend takes to change its serving phase.
func (c *currentConfiguration) swapTime(backend string) time.Duration {
	found, _, known := c.table.Backend(backend)
	if !known || found.Runtime == nil {
		return 0
	}
	return nodesettings.Seconds(found.Runtime.SwapTimeS)
}

// isPlacementTarget reports whether models are placed on the replicas of a backend, which is so if the backend declares a
// runtime.
func isPlacementTarget(table *configuration.Table, backend string) bool {
	found, _, known := table.Backend(backend)
	return known && found.Runtime != nil
}
