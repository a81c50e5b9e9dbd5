// Package emulator is a discrete-event simulation of a whole fleet: clients, data planes that run the
// project's own matcher, replicas as a queueing model, and one control plane that runs the project's
// own placement planner. The same scenario and seed give the same result, byte for byte.
//
// It never opens a connection, reads the real clock or starts a goroutine, and it does not run the
// daemons: their listeners, key store and leases are replaced by delays and by a takeover time.
// Its figures are results of a simulation, not measurements of running daemons.
//
// The entry point is World.Run. The main types are call (a request as its client sees it), attempt
// (one attempt at a data plane), server (a replica process) and controlPlane.
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

// World is one emulated fleet with its clock, its clients and its observer. It is not safe for
// concurrent use and can be run only once.
type World struct {
	scenario Scenario
	// events holds the simulated clock and the events still to come.
	events    *eventqueue.Queue
	startedAt time.Time
	table     *configuration.Table
	machines  []*machine
	// servers holds every server started in the run, also those that have died, by replica ID.
	servers map[string]*server
	edges   []*edge
	control *controlPlane
	calls   []*call
	// lostZones holds the indices of the zones that are down.
	lostZones map[int]bool
	// listed is the platform's list of replicas by ID; it lags behind the state of the servers.
	listed map[string]discovery.Replica
	// storeLoads is the number of loads from the model store in progress.
	storeLoads int
	observer   *observer
	// violations describes the invariants of the emulation that did not hold.
	violations []string
	// startedAttempts holds the IDs of the attempts that a replica has begun to execute.
	startedAttempts map[string]bool
	// Forecasters are called just before each loss, by name. They must be set before Run.
	Forecasters map[string]Forecaster
}

// NewWorld builds the fleet of a scenario and schedules its requests and failures. It returns an error
// if the scenario is invalid or its recorded traffic cannot be read.
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
	start := time.Unix(0, 0).UTC()
	w := &World{
		scenario:        scenario,
		events:          eventqueue.New(start),
		startedAt:       start,
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
		w.events.At(start.Add(clientCall.request.At), clientCall.start)
	}
	w.scheduleFailures()
	return w, nil
}

// now returns the simulated time.
func (w *World) now() time.Time { return w.events.Now() }

// elapsed returns the simulated time since the beginning of the run.
func (w *World) elapsed() time.Duration { return w.now().Sub(w.startedAt) }

// recordViolation records that an invariant of the emulation does not hold, with the simulated time.
func (w *World) recordViolation(format string, arguments ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: ", w.elapsed().Seconds())+fmt.Sprintf(format, arguments...))
}

// drainTimeS is how many seconds the run continues after the scenario's length, so that requests in
// flight can end.
const drainTimeS = 60

// Run simulates the scenario to its end and returns the observations. Requests that are still open after
// the drain time count as expired.
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

// buildFleet creates the machines, the edges and the control plane, and starts them with the initial
// copies of the models.
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

// configurationOf returns the configuration that an operator would send for the scenario, with one route
// per class.
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
	// modelSizeMb is the size of the weights of each model.
	modelSizeMb = 1024
	// adapterReserveMb is the capacity of a replica beyond its models, for adapters.
	adapterReserveMb = 64
)
