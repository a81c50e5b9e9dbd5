package emulator

import (
	"slices"
	"time"

	"ferryspar/internal/drill"
)

const (
	// FirstPhaseS is the length, in seconds, of the first phase after a loss, in which full replicas
	// are counted.
	FirstPhaseS = 5
	// fullReplicaPollInterval is the interval at which full replicas are looked for.
	fullReplicaPollInterval = 50 * time.Millisecond
	// reloadPollInterval is the interval at which reloaded models are looked for.
	reloadPollInterval = 200 * time.Millisecond
)

// scope returns a loss in the format of forecasts and drills.
func (w *World) scope(from Loss) drill.Loss {
	loss := drill.Loss{Scope: drill.Scope{Zone: from.Zone, Region: from.Region}, Regions: map[string]string{}}
	for _, zone := range w.scenario.Zones {
		loss.Regions[zone.Name] = zone.Region
	}
	return loss
}

// isLoadedAnywhere reports whether any replica has the reference loaded.
func (w *World) isLoadedAnywhere(reference string) bool {
	return slices.ContainsFunc(w.machines, func(host *machine) bool {
		return host.current != nil && host.current.loaded[reference]
	})
}

// isInterrupted reports whether the call is at a replica in one of the zones or queued at any edge.
func (c *call) isInterrupted(zones []int) bool {
	if c.ended || c.attempt == nil {
		return false
	}
	if c.attempt.ticket == nil {
		return c.attempt.pending != nil
	}
	return slices.Contains(zones, c.world.servers[c.attempt.replicaID].machine.zone)
}

// recordForward records how long the call was queued, and the replica at which an interrupted call
// continues.
func (p *attempt) recordForward(replica string) {
	clientCall := p.call
	w := clientCall.world
	if clientCall.waitMs == 0 {
		clientCall.waitMs = inMilliseconds(w.now().Sub(p.enqueuedAt))
	}
	if !clientCall.interrupted || w.servers[replica].dead {
		return
	}
	clientCall.interrupted = false
	w.observer.losses[len(w.observer.losses)-1].MovedTo[replica]++
}

// watchFullReplicas counts the surviving replicas that are full at any poll of the first phase.
func (w *World) watchFullReplicas(number int, lossAt time.Duration, found map[string]bool) {
	w.events.After(fullReplicaPollInterval, func() {
		loss := &w.observer.losses[number]
		for _, host := range w.machines {
			up := host.current
			if up == nil || !slices.Contains(loss.Surviving, up.id) {
				continue
			}
			if len(up.queue)+len(up.running) >= w.scenario.Replica.Slots {
				found[up.id] = true
			}
		}
		loss.FullReplicas = len(found)
		if w.elapsed()-lossAt < FirstPhaseS*time.Second {
			w.watchFullReplicas(number, lossAt, found)
		}
	})
}

// watchCopies records when the last reference that had lost every copy is loaded again.
func (w *World) watchCopies(number int, missing map[string]bool) {
	w.events.After(reloadPollInterval, func() {
		loss := &w.observer.losses[number]
		for _, host := range w.machines {
			if host.current == nil {
				continue
			}
			for reference := range host.current.loaded {
				if missing[reference] {
					delete(missing, reference)
					loss.LastReloadS = w.elapsed().Seconds() - loss.AtS
				}
			}
		}
		if len(missing) > 0 && w.elapsed().Seconds() < w.scenario.LengthS {
			w.watchCopies(number, missing)
		}
	})
}
