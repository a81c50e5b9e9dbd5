package emulator

import (
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/sim/emulator/standin"
)

// trackedReplica is what the control plane knows of a replica that it places models on.
type trackedReplica struct {
	listed discovery.Replica
	models map[string]bool
	// known is set once the replica has reported what it has loaded.
	known bool
	// pending is the load or unload under way, or nil; pendingSince is when it was ordered.
	pending      *placement.Action
	pendingSince time.Time
	// loadedOnce holds the models that this incarnation has had loaded, so that its disk has them.
	loadedOnce map[string]bool
	// cordoned holds "replica reference" pairs that edges must no longer use.
	cordoned map[string]bool
	// intent is the planner's own note for its next run.
	intent string
}

// controlPlane is the control plane that holds the placement lease, with the planner of the daemons.
// The others are not emulated; a takeover time stands for them.
type controlPlane struct {
	world   *World
	zone    int
	alive   bool
	demand  *demand
	tracked map[string]*trackedReplica
	// loadedBefore holds the references that any incarnation at each address has had loaded, so that its disk may have them.
	loadedBefore map[string]map[string]bool
	// recentStoreLoads are the moments of the last loads from the store, for the store's rate.
	recentStoreLoads []time.Time
}

const (
	// planInterval is how often the planner runs.
	planInterval = 100 * time.Millisecond
	// storeLoadTimeShare is the share of a model's load time within which one from the store never ends.
	storeLoadTimeShare = 0.5
	// reportDelay is how long after a change a replica is asked for its report.
	reportDelay = 250 * time.Millisecond
	// cordonDelay is how long edges are given to hear of an unload before the replica does.
	cordonDelay = 220 * time.Millisecond
	// storeRatePeriod is the period over which the store's rate of loads is kept.
	storeRatePeriod = 5 * time.Second
)

// newControlPlane starts the holder in a zone; one that succeeds another takes over its rates and
// loads.
func newControlPlane(world *World, zone int, before *controlPlane) *controlPlane {
	c := &controlPlane{
		world:        world,
		zone:         zone,
		alive:        true,
		demand:       newDemand(world.now()),
		tracked:      map[string]*trackedReplica{},
		loadedBefore: map[string]map[string]bool{},
	}
	if before != nil {
		c.demand.inherit(before.demand, world.now())
		c.loadedBefore = before.loadedBefore
		c.recentStoreLoads = before.recentStoreLoads
	}
	c.scheduleRefresh()
	c.schedulePlan()
	return c
}

// scheduleRefresh reads the platform's list in every refresh period.
func (c *controlPlane) scheduleRefresh() {
	c.world.events.After(milliseconds(c.world.scenario.Platform.RefreshMs), func() {
		if c.alive {
			c.refresh()
			c.scheduleRefresh()
		}
	})
}

// schedulePlan runs the planner in every planning period.
func (c *controlPlane) schedulePlan() {
	c.world.events.After(planInterval, func() {
		if c.alive {
			c.planOnce()
			c.schedulePlan()
		}
	})
}

// fail ends the holder; after the takeover time an edge's zone that still stands hosts the next.
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

// refresh reads the platform's list, follows its replicas and publishes the roster.
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

// loadedModels lists a set of references as the platform's list does.
func loadedModels(models map[string]bool) []discovery.LoadedModel {
	return standin.ModelSet(models).List()
}

// publishRoster sends the replicas and what is cordoned to every edge.
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

// requestReport polls a replica for what it has loaded; a dead one gives no answer.
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

// applyReport adopts a replica's report, which ends its pending change.
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
