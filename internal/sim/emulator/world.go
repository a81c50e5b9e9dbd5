// Package emulator plays a whole fleet in simulated time: clients, data planes with the project's
// own matcher, replicas as a queueing model, and one control plane that plans with the project's
// own placement. The same scenario and seed give the same result, byte for byte.
//
// It never opens a connection, reads the real clock or starts a goroutine, and it does not run the
// daemons: their listeners, key store and leases are replaced by delays and by a takeover time.
// Figures from it are emulated, not measured.
//
// Start reading at World.Run; then call (a request as its client sees it), attempt (one attempt at a
// data plane), server (a replica) and controlPlane.
package emulator

import (
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/sim/emulator/eventqueue"
	"ferryspar/internal/sim/emulator/standin"
)

// backendName is the one backend of an emulated fleet.
const backendName = "scribes"

// World is one emulated fleet with its clock, its clients and its observer. One goroutine alone may
// use it, and it can be run once.
type World struct {
	scenario Scenario
	// events is the simulated clock and what is still to happen.
	events    *eventqueue.Queue
	startedAt time.Time
	table     *configuration.Table
	machines  []*machine
	// servers holds every server that ever ran, by its replica id.
	servers map[string]*server
	edges   []*edge
	control *controlPlane
	calls   []*call
	// lostZones marks the indices of the zones that are down.
	lostZones map[int]bool
	// listed is what the platform lists, which lags behind the servers.
	listed map[string]discovery.Replica
	// storeLoads counts the loads from the model store under way.
	storeLoads int
	observer   *observer
	// violations are broken invariants of the emulation itself.
	violations []string
	// startedAttempts marks the attempt ids that a replica has begun to execute.
	startedAttempts map[string]bool
	// Forecasters are asked just before each loss; set them before Run.
	Forecasters map[string]Forecaster
}

// NewWorld builds the fleet of a scenario and schedules its requests and failures. It fails if the
// scenario is not sound or its recorded traffic cannot be read.
func NewWorld(scenario Scenario) (*World, error) {
	if err := scenario.Check(); err != nil {
		return nil, err
	}
	scenario.Zones = slices.Clone(scenario.Zones)
	for index := range scenario.Zones {
		scenario.Zones[index].Replicas += scenario.SpareReplicas
	}
	requests, err := requestsFor(scenario)
	if err != nil {
		return nil, err
	}
	began := time.Unix(0, 0).UTC()
	w := &World{
		scenario:        scenario,
		events:          eventqueue.New(began),
		startedAt:       began,
		table:           configuration.NewTable(configurationOf(scenario), nil),
		servers:         map[string]*server{},
		lostZones:       map[int]bool{},
		startedAttempts: map[string]bool{},
		listed:          map[string]discovery.Replica{},
		observer:        newObserver(scenario),
	}
	w.buildFleet()
	w.observer.requests = make([]RequestOutcome, len(requests))
	for index := range requests {
		clientCall := &call{world: w, request: &requests[index], class: &w.scenario.Classes[requests[index].Class]}
		w.calls = append(w.calls, clientCall)
		w.events.At(began.Add(clientCall.request.At), clientCall.start)
	}
	w.scheduleFailures()
	return w, nil
}

// now is the simulated time.
func (w *World) now() time.Time { return w.events.Now() }

// elapsed is the simulated time since the beginning of the run.
func (w *World) elapsed() time.Duration { return w.now().Sub(w.startedAt) }

// recordViolation records, with the moment, that an invariant of the emulation is broken.
func (w *World) recordViolation(format string, arguments ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: ", w.elapsed().Seconds())+fmt.Sprintf(format, arguments...))
}

// drainTimeS is how many seconds the run goes on after the scenario's length, so that requests under
// way can end.
const drainTimeS = 60

// Run plays the scenario to its end and returns what was observed. Requests still open after the
// drain count as expired.
func (w *World) Run() Result {
	bucket := seconds(w.scenario.BucketS)
	end := w.startedAt.Add(seconds(w.scenario.LengthS))
	for at := w.startedAt.Add(bucket); !at.After(end); at = at.Add(bucket) {
		w.events.RunUntil(at)
		w.observer.takeSample(w)
	}
	w.events.RunUntil(end.Add(seconds(drainTimeS)))
	for _, clientCall := range w.calls {
		clientCall.finish(outcomeExpired)
	}
	return w.observer.result(w)
}

// buildFleet makes the machines, edges and the control plane, and starts them with the first copies
// of the models.
func (w *World) buildFleet() {
	speed := distuv.LogNormal{
		Sigma: max(w.scenario.Replica.SpeedSigma, 1e-9),
		Src:   randomSource(w.scenario.Seed, streamReplicas),
	}
	for index, zone := range w.scenario.Zones {
		for place := range zone.Replicas {
			w.machines = append(w.machines, &machine{
				phase:    w.scenario.Disaggregation.phaseOf(place),
				number:   len(w.machines) + 1,
				zone:     index,
				speed:    speed.Rand(),
				slowdown: 1,
				onDisk:   standin.ModelSet{},
			})
		}
		for range zone.DataPlanes {
			w.edges = append(w.edges, &edge{world: w, number: len(w.edges), zone: index, routable: true})
		}
	}
	for number, references := range placeInitialCopies(w.scenario) {
		started := w.start(w.machines[number], references...)
		w.listed[started.id] = started.entry()
	}
	w.control = newControlPlane(w, w.edges[0].zone, nil)
	for _, dataPlane := range w.edges {
		dataPlane.start()
	}
	w.control.refresh()
}

// configurationOf is the configuration, with a route for each class, that an operator would send
// for the scenario.
func configurationOf(scenario Scenario) configuration.Configuration {
	described := configuration.Configuration{Revision: 1}
	for _, class := range scenario.Classes {
		described.Routes = append(described.Routes, configuration.Route{
			Name:            class.Name,
			Hostname:        "emulated.example",
			PathPrefix:      "/" + class.Name + "/",
			RouteType:       configuration.Streaming,
			TimeoutMs:       class.TimeoutMs,
			TargetLatencyMs: class.LatencyTargetMs,
			Priority:        class.Priority,
			Backend:         backendName,
			RetryCount:      class.RetryCount,
			Sticky:          true,
			Resumable:       class.Resumable,
			TokenGapMs:      class.TokenGapMs,
			AllowedRegions:  class.AllowedRegions,
		})
	}
	runtime := &configuration.Runtime{
		Slots:           scenario.Replica.Slots,
		KvCacheTokens:   scenario.Replica.KvCacheTokens,
		WeightSizeMb:    float64(scenario.Models.PerReplica)*modelSizeMb + adapterReserveMb,
		AdapterCapacity: scenario.Models.AdapterCapacity,
		LoadsPerS:       scenario.Models.LoadsPerS,
	}
	if split := scenario.Disaggregation; split.PrefillShare > 0 {
		runtime.LinkMbps, runtime.KvTokenBytes, runtime.PrefixHoldS = split.LinkMbps, split.KvTokenBytes, split.HandleExpiryS
	}
	for number := range scenario.Models.Count {
		model := configuration.Model{
			Name:          modelName(number),
			WeightSizeMb:  modelSizeMb,
			LoadTimeS:     scenario.Models.LoadTimeS,
			AdapterSizeMb: 1,
		}
		if number == 0 {
			model.Adapters = scenario.Models.Adapters
		}
		runtime.Models = append(runtime.Models, model)
	}
	described.Backends = []configuration.Backend{{
		Name:       backendName,
		ColdStartS: scenario.Replica.ColdStartS,
		ColdPerS:   scenario.Replica.ColdPerS,
		Runtime:    runtime,
	}}
	return described
}

const (
	// modelSizeMb is the size of each model's weights, in MB.
	modelSizeMb = 1024
	// adapterReserveMb is what a replica's capacity has beyond its models, in MB, for adapters.
	adapterReserveMb = 64
)
