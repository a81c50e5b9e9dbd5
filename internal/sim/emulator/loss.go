package emulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
	"ferryspar/internal/routing"
)

// Forecast maps the names of figures to their forecast values.
type Forecast map[string]float64

// Forecaster forecasts the figures of a loss from the state just before it.
type Forecaster func(before Snapshot) Forecast

// DataPlaneState is the state of an edge just before a loss: its last load report, its matcher and the
// matcher's snapshot.
type DataPlaneState struct {
	Zone    string
	Lost    bool
	Load    peer.LoadReport
	Matcher *routing.Matcher
	Fleet   *routing.Snapshot
}

// Snapshot is the state known to the daemons just before a loss. Forecasters must neither modify it nor
// retain it.
type Snapshot struct {
	At    time.Time
	Table *configuration.Table
	// Lost holds the names of the zones about to be lost.
	Lost map[string]bool
	// Listed is the platform's list.
	Listed     []discovery.Replica
	DataPlanes []DataPlaneState
	Demand     map[string]*placement.Demand
	// LoadedBefore holds, by address, the references that any incarnation has reported as loaded.
	LoadedBefore map[string]map[string]bool
	Loss         drill.Loss
	// View is the planner's input.
	View *placement.View
}

// snapshot returns the current state known to the daemons.
func (w *World) snapshot(zones []int, from Loss) Snapshot {
	before := Snapshot{
		At:           w.now(),
		Table:        w.table,
		Lost:         map[string]bool{},
		Listed:       w.listedReplicas(),
		Demand:       w.control.demand.cloneByKey(),
		LoadedBefore: w.control.loadedBefore,
		Loss:         w.scope(from),
		View:         w.control.view(w.now()),
	}
	for _, zone := range zones {
		before.Lost[w.scenario.Zones[zone].Name] = true
	}
	for _, dataPlane := range w.edges {
		if dataPlane.alive {
			name := w.scenario.Zones[dataPlane.zone].Name
			before.DataPlanes = append(before.DataPlanes, DataPlaneState{
				Zone:    name,
				Lost:    before.Lost[name],
				Load:    dataPlane.lastReport,
				Matcher: dataPlane.matcher,
				Fleet:   dataPlane.fleet.Load(),
			})
		}
	}
	return before
}

// recordLoss counts what a loss is about to affect, calls the forecasters, and starts to observe the effects.
func (w *World) recordLoss(zones []int, from Loss) {
	loss := LossResult{
		AtS:          w.elapsed().Seconds(),
		CachedTokens: map[string]float64{},
		MovedTo:      map[string]int{},
		Moving:       make([]int, len(w.scenario.Classes)),
	}
	for name, forecaster := range w.Forecasters {
		if loss.Forecasts == nil {
			loss.Forecasts = map[string]Forecast{}
		}
		loss.Forecasts[name] = forecaster(w.snapshot(zones, from))
	}
	missing := w.countMachines(&loss, zones)
	w.countCalls(&loss, zones, w.scope(from))
	loss.WithoutCopy = append([]string{}, slices.Sorted(maps.Keys(missing))...)
	w.observer.losses = append(w.observer.losses, loss)
	w.watchCopies(len(w.observer.losses)-1, missing)
	w.watchFullReplicas(len(w.observer.losses)-1, w.elapsed(), map[string]bool{})
}

// countMachines counts the requests and cached tokens in the lost zones, lists the surviving replicas, and
// returns the references whose every copy is lost.
func (w *World) countMachines(loss *LossResult, zones []int) map[string]bool {
	surviving, withoutCopy := map[string]bool{}, map[string]bool{}
	for _, host := range w.machines {
		if host.current == nil {
			continue
		}
		if !slices.Contains(zones, host.zone) {
			maps.Copy(surviving, host.current.loaded)
			loss.Surviving = append(loss.Surviving, host.current.id)
			continue
		}
		maps.Copy(withoutCopy, host.current.loaded)
		loss.addServer(host.current)
	}
	for _, dataPlane := range w.edges {
		if dataPlane.alive && slices.Contains(zones, dataPlane.zone) {
			loss.Waiting += dataPlane.matcher.WaitingCount()
		}
	}
	maps.DeleteFunc(withoutCopy, func(reference string, _ bool) bool { return surviving[reference] })
	return withoutCopy
}

// addServer adds the requests and the cached tokens of a server that is being lost.
func (l *LossResult) addServer(lost *server) {
	l.Running += len(lost.running)
	l.Waiting += len(lost.queue)
	for element := lost.cache.lru.Front(); element != nil; element = element.Next() {
		part := element.Value.(*cachedPrefix)
		model, _, _ := strings.Cut(part.key.model, "/")
		l.CachedTokens[model] += part.tokens
	}
}

// countCalls marks and counts the requests that the loss interrupts and those that must move.
func (w *World) countCalls(loss *LossResult, zones []int, scope drill.Loss) {
	for _, clientCall := range w.calls {
		if clientCall.interrupted = clientCall.isInterrupted(zones); clientCall.interrupted {
			loss.Interrupted++
			if scope.LosesAllRegions(clientCall.class.AllowedRegions) {
				loss.RegionBound++
			}
		}
		if clientCall.mustMove(zones) {
			loss.Moving[clientCall.request.Class]++
		}
	}
}

// mustMove reports whether the call's edge or its replica is in one of the zones.
func (c *call) mustMove(zones []int) bool {
	if c.ended || c.attempt == nil {
		return false
	}
	if slices.Contains(zones, c.attempt.edge.zone) {
		return true
	}
	return c.attempt.ticket != nil && slices.Contains(zones, c.world.servers[c.attempt.replicaID].machine.zone)
}
