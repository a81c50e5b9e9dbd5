package emulator

import (
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/sim/emulator/standin"
)

// trackedReplica is the control plane's state of a replica that it places models on.
type trackedReplica struct {
	listed discovery.Replica
	models map[string]bool
	// known is set once the replica has reported its loaded models.
	known bool
	// pending is the load or unload in progress, or nil; pendingSince is when it was ordered.
	pending      *placement.Action
	pendingSince time.Time
	// loadedOnce holds the references that this incarnation has reported as loaded, which are therefore on its
	// disk.
	loadedOnce map[string]bool
	// cordoned holds the "replica reference" pairs that edges must no longer use.
	cordoned map[string]bool
	// intent is state that the planner keeps for its next run.
	intent string
}

// controlPlane is the control plane that holds the placement lease. It runs the daemons' planner. The other
// control planes are represented only by the time that a takeover takes.
type controlPlane struct {
	world   *World
	zone    int
	alive   bool
	demand  *demand
	tracked map[string]*trackedReplica
	// loadedBefore holds, by address, the references that any incarnation has reported as loaded, which may
	// therefore be on its disk.
	loadedBefore map[string]map[string]bool
	// recentStoreLoads are the times of the last loads from the store, for its rate limit.
	recentStoreLoads []time.Time
}

const (
	// planInterval is the interval between runs of the planner.
	planInterval = 100 * time.Millisecond
	// storeLoadTimeShare is the share of a model's load time before which a load from the store never
	// completes; a shorter load came from the replica's disk.
	storeLoadTimeShare = 0.5
	// reportDelay is the lag of a replica's report behind its state, in addition to the link's delay.
	reportDelay = 250 * time.Millisecond
	// cordonDelay is how long before the unload order the edges are told, so that they stop using the model.
	cordonDelay = 220 * time.Millisecond
	// storeRatePeriod is the period over which the rate of loads from the store is limited.
	storeRatePeriod = 5 * time.Second
)

// newControlPlane starts a lease holder in a zone. A successor inherits the demand, the disk contents and the
// store loads known to the previous holder.
func newControlPlane(world *World, zone int, previous *controlPlane) *controlPlane {
	c := &controlPlane{
		world:        world,
		zone:         zone,
		alive:        true,
		demand:       newDemand(world.now()),
		tracked:      map[string]*trackedReplica{},
		loadedBefore: map[string]map[string]bool{},
	}
	if previous != nil {
		c.demand.inherit(previous.demand, world.now())
		c.loadedBefore = previous.loadedBefore
		c.recentStoreLoads = previous.recentStoreLoads
	}
	c.scheduleRefresh()
	c.schedulePlan()
	return c
}

// scheduleRefresh reads the platform's list at every refresh interval.
func (c *controlPlane) scheduleRefresh() {
	c.world.events.After(milliseconds(c.world.scenario.Platform.RefreshMs), func() {
		if c.alive {
			c.refresh()
			c.scheduleRefresh()
		}
	})
}

// schedulePlan runs the planner at every planning interval.
func (c *controlPlane) schedulePlan() {
	c.world.events.After(planInterval, func() {
		if c.alive {
			c.planOnce()
			c.schedulePlan()
		}
	})
}

// fail ends the lease holder. After the takeover time a new one starts in the zone of the first edge that is
// alive; if there is none, the takeover is tried again.
func (c *controlPlane) fail() {
	c.alive = false
	w := c.world
	w.events.After(seconds(w.scenario.Platform.TakeoverS), func() {
		for _, dataPlane := range w.edges {
			if dataPlane.alive && !w.lostZones[dataPlane.zone] {
				w.control = newControlPlane(w, dataPlane.zone, c)
				w.control.refresh()
				return
			}
		}
		c.fail()
	})
}

// refresh reads the platform's list, updates the tracked replicas and publishes the roster.
func (c *controlPlane) refresh() {
	now := c.world.now()
	listing := c.world.listedReplicas()
	present := map[string]bool{}
	for index, listed := range listing {
		present[listed.ID] = true
		if c.tracked[listed.ID] == nil {
			c.tracked[listed.ID] = &trackedReplica{cordoned: map[string]bool{}, loadedOnce: map[string]bool{}}
			c.requestReport(listed.ID)
		}
		replica := c.tracked[listed.ID]
		replica.listed = listed
		if replica.known {
			listing[index].Models = loadedModels(replica.models)
		}
	}
	for id := range c.tracked {
		if !present[id] {
			delete(c.tracked, id)
		}
	}
	c.publishRoster(listing, now)
}

// loadedModels returns a set of references in the format of the platform's list.
func loadedModels(models map[string]bool) []discovery.LoadedModel {
	return standin.ModelSet(models).List()
}

// publishRoster sends the replica list and the cordoned references to every edge.
func (c *controlPlane) publishRoster(listing []discovery.Replica, now time.Time) {
	update := roster{
		replicas: listing,
		fetched:  now,
		cordoned: map[string]bool{},
		edges:    max(c.demand.liveEdges(now), 1),
	}
	for _, replica := range c.tracked {
		for pair := range replica.cordoned {
			update.cordoned[pair] = true
		}
	}
	for _, dataPlane := range c.world.edges {
		dataPlane.afterLink(c.zone, func() { dataPlane.receiveRoster(update) })
	}
}

// requestReport asks a replica for its loaded models. A dead one does not respond.
func (c *controlPlane) requestReport(id string) {
	target := c.world.servers[id]
	wait := c.world.linkDelay(c.zone, target.machine.zone)
	c.world.events.After(wait, func() {
		if target.dead {
			return
		}
		models := map[string]bool{}
		for reference := range target.loaded {
			models[reference] = true
		}
		c.world.events.After(reportDelay+wait, func() { c.applyReport(id, models) })
	})
}

// applyReport adopts a replica's report, which ends its pending load or unload.
func (c *controlPlane) applyReport(id string, models map[string]bool) {
	replica := c.tracked[id]
	if replica == nil || !c.alive {
		return
	}
	c.refundDiskLoad(replica, models)
	replica.models = models
	replica.known = true
	replica.pending = nil
	replica.cordoned = map[string]bool{}
	address := replica.listed.Address
	if c.loadedBefore[address] == nil {
		c.loadedBefore[address] = map[string]bool{}
	}
	for reference := range models {
		c.loadedBefore[address][reference] = true
		replica.loadedOnce[reference] = true
	}
}
