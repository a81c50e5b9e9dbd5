package emulator

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"ferryspar/internal/placement"
)

// planOnce runs the planner and starts its actions.
func (c *controlPlane) planOnce() {
	now := c.world.now()
	c.demand.updateRates(now)
	view := c.view(now)
	for _, action := range placement.Plan(view) {
		c.startAction(action, now)
	}
	for _, planned := range view.Servers {
		c.tracked[planned.ID].intent = planned.Intent
	}
}

// view returns the planner's input at the given time.
func (c *controlPlane) view(now time.Time) *placement.View {
	view := &placement.View{
		Now:          now,
		Table:        c.world.table,
		Demand:       c.demand.cloneByKey(),
		Loading:      map[string]int{},
		DrainedZones: map[string]bool{},
		StoreTokens:  c.storeLoadTokens(now),
		DemandKnown:  c.demand.isLearned(now),
	}
	view.SpareStoreTokens = view.StoreTokens - math.Ceil(c.maxStoreLoads()/2)
	ids := make([]string, 0, len(c.tracked))
	for id := range c.tracked {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		replica := c.tracked[id]
		if replica.pending != nil && replica.pending.Load {
			view.Loading[placement.ModelKey(backendName, replica.pending.Model)]++
		}
		view.Servers = append(view.Servers, &placement.Server{
			ID:        id,
			Backend:   backendName,
			Zone:      replica.listed.Zone,
			Suspected: c.demand.isSuspect(id, now),
			Loaded:    cloneSet(replica.models),
			Intent:    replica.intent,
			Ready:     replica.known && replica.pending == nil,

			OnDisk:      replica.loadedOnce,
			MaybeOnDisk: c.loadedBefore[replica.listed.Address],
		})
	}
	return view
}

// cloneSet returns a copy of a set of references.
func cloneSet(models map[string]bool) map[string]bool {
	copied := map[string]bool{}
	for reference := range models {
		copied[reference] = true
	}
	return copied
}

// storeLoadTokens returns how many more loads from the store the rate limit allows now.
func (c *controlPlane) storeLoadTokens(now time.Time) float64 {
	c.recentStoreLoads = slices.DeleteFunc(c.recentStoreLoads, func(at time.Time) bool {
		return now.Sub(at) >= storeRatePeriod+time.Second
	})
	return c.maxStoreLoads() - float64(len(c.recentStoreLoads))
}

// maxStoreLoads returns how many loads from the store may begin within the rate limit's period.
func (c *controlPlane) maxStoreLoads() float64 {
	return c.world.scenario.Models.LoadsPerS*storeRatePeriod.Seconds() + 1
}

// refundDiskLoad returns the rate-limit token of a load that completed too soon to have come from the store.
func (c *controlPlane) refundDiskLoad(replica *trackedReplica, models map[string]bool) {
	load := replica.pending
	if load == nil || !load.MaybeFromDisk || !models[load.Model] {
		return
	}
	if c.world.now().Sub(replica.pendingSince).Seconds() >= storeLoadTimeShare*c.world.scenario.Models.LoadTimeS {
		return
	}
	if index := slices.IndexFunc(c.recentStoreLoads, replica.pendingSince.Equal); index >= 0 {
		c.recentStoreLoads = slices.Delete(c.recentStoreLoads, index, index+1)
	}
}

// startAction sends a load or unload to a replica. Before an unload, the model is cordoned at the edges.
func (c *controlPlane) startAction(action placement.Action, now time.Time) {
	replica := c.tracked[action.Server]
	replica.pending, replica.pendingSince = &action, now
	if action.Load && action.FromStore && !strings.Contains(action.Model, "/") {
		c.recentStoreLoads = append(c.recentStoreLoads, now)
	}
	pause := time.Duration(0)
	if !action.Load {
		pause = cordonDelay
		for reference := range replica.models {
			if reference == action.Model || strings.HasPrefix(reference, action.Model+"/") {
				replica.cordoned[action.Server+" "+reference] = true
			}
		}
		c.refresh()
	}
	target := c.world.servers[action.Server]
	c.world.events.After(pause+c.world.linkDelay(c.zone, target.machine.zone), func() {
		answered := func(bool) { c.requestReport(action.Server) }
		if !target.dead && !target.startChange(action, answered) {
			c.requestReport(action.Server)
		}
	})
}
