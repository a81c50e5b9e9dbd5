package scheduler

import (
	"math"
	"sync/atomic"
	"time"

	"ferryspar/internal/autoscale"
	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/capacityorder"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
)

const (
	// capacityInterval is the interval between observations of the demand for replicas.
	capacityInterval = time.Second
	// capacityMaxAge is the age up to which an observation may be used to order replicas.
	capacityMaxAge = 4 * time.Second
	// recentDemandWindow is how long after its last request a model counts as in demand.
	recentDemandWindow = 30 * time.Second
)

// capacityObserver observes the demand for the replicas of each backend. Only the planning loop calls observe; any goroutine
// may call Backends.
type capacityObserver struct {
	tracker    *replicatracker.Tracker
	observedAt time.Time
	// busy is the average number of running and waiting requests, by model key.
	busy map[string]float64
	// zones holds the zones in which replicas of a backend have been listed, by backend.
	zones  map[string]map[string]bool
	latest atomic.Pointer[capacityObservation]
}

// capacityObservation is the demand for replicas at one point in time.
type capacityObservation struct {
	at       time.Time
	backends []capacityorder.Backend
}

func newCapacityObserver(tracker *replicatracker.Tracker) *capacityObserver {
	return &capacityObserver{tracker: tracker, busy: map[string]float64{}, zones: map[string]map[string]bool{}}
}

// Backends implements capacityorder.Source. Any goroutine may call it.
func (c *capacityObserver) Backends(now time.Time) ([]capacityorder.Backend, bool) {
	latest := c.latest.Load()
	if latest == nil || now.Sub(latest.at) > capacityMaxAge {
		return nil, false
	}
	return latest.backends, true
}

// observe updates the observation from the planner's view, at most once per capacityInterval.
func (c *capacityObserver) observe(view *placement.View) {
	passed := view.Now.Sub(c.observedAt)
	if passed < capacityInterval || !view.DemandKnown {
		return
	}
	c.observedAt = view.Now
	observation := &capacityObservation{at: view.Now}
	for index := range view.Table.Configuration.Backends {
		backend := &view.Table.Configuration.Backends[index]
		if backend.Autoscale == nil || backend.Runtime == nil {
			continue
		}
		observation.backends = append(observation.backends, c.observeBackend(backend, view, passed))
	}
	c.latest.Store(observation)
}

func (c *capacityObserver) observeBackend(
	backend *configuration.Backend, view *placement.View, passed time.Duration,
) capacityorder.Backend {
	bootTime := nodesettings.Seconds(backend.Autoscale.BootTimeS)
	weight := 1 - math.Exp(-passed.Seconds()/max(bootTime.Seconds(), 1))
	return capacityorder.Backend{
		Name: backend.Name,
		Limits: autoscale.Limits{
			Min:      backend.Autoscale.MinReplicas,
			Max:      backend.Autoscale.MaxReplicas,
			BootTime: bootTime,
		},
		Zones: c.zonesOf(backend.Name, view),
		Demand: autoscale.Demand{
			Slots:        backend.Runtime.Slots,
			WeightSizeMb: backend.Runtime.WeightSizeMb,
			Models:       c.modelsOf(backend, view, weight),
		},
	}
}

// zonesOf counts the replicas of a backend by zone.
func (c *capacityObserver) zonesOf(backend string, view *placement.View) []autoscale.Zone {
	known := c.zones[backend]
	if known == nil {
		known = map[string]bool{}
		c.zones[backend] = known
	}
	listed := map[string]int{}
	for _, replica := range c.tracker.Listed() {
		if replica.Backend() != backend {
			continue
		}
		zone := replica.Listed().Zone
		known[zone] = true
		if !replica.IsDraining() {
			listed[zone]++
		}
	}
	var zones []autoscale.Zone
	for zone := range known {
		zones = append(zones, autoscale.Zone{Name: zone, ListedReplicas: listed[zone], IsDrained: view.DrainedZones[zone]})
	}
	return zones
}

// modelsOf returns the models of a backend that are running, waiting or were recently requested. Requests for a model's
// adapters count as requests for the model.
func (c *capacityObserver) modelsOf(backend *configuration.Backend, view *placement.View, weight float64) []autoscale.Model {
	current, isActive := map[string]float64{}, map[string]bool{}
	for key, demand := range view.Demand {
		name, reference := placement.SplitModelKey(key)
		if name != backend.Name {
			continue
		}
		model, _ := placement.SplitReference(reference)
		busy := demand.Running + float64(demand.Waiting)
		current[model] += busy
		isActive[model] = isActive[model] || busy > 0 || view.Now.Sub(demand.LastRequestAt) < recentDemandWindow
	}
	var models []autoscale.Model
	for _, model := range backend.Runtime.Models {
		key := placement.ModelKey(backend.Name, model.Name)
		c.busy[key] += weight * (current[model.Name] - c.busy[key])
		if isActive[model.Name] {
			models = append(models, autoscale.Model{SizeMb: model.WeightSizeMb, ActiveRequests: c.busy[key]})
		}
	}
	return models
}
