package scheduler

import (
	"math"
	"strings"
	"sync"
	"time"

	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

const (
	// ratesInterval is the minimum interval over which arrivals are averaged.
	ratesInterval = 250 * time.Millisecond
	// rateTimeConstantS and longTermTimeConstantS are the time constants, in seconds, of the rate averages.
	rateTimeConstantS     = 8.0
	longTermTimeConstantS = 120.0
	// minRate is the average rate, in requests per second, below which it is set to 0.
	minRate = 0.003
	// minSharedRate is the lowest rate, in requests per second, that is shared with other control planes.
	minSharedRate = 0.3
	// learningPeriod is how long a lease holder observes the demand before it unloads models based on it.
	learningPeriod = 6 * time.Second
	// idleModelExpiry is how long a model without demand is kept.
	idleModelExpiry = 6 * time.Minute
)

// DemandView is the demand of all data planes, by model key: the requests that wait and run now, and average rates. It is safe
// for concurrent use, except for the methods that only the planning loop may call.
type DemandView struct {
	clock func() time.Time
	// onNewlyWaiting is called when requests begin to wait for a model.
	onNewlyWaiting func()

	// lock guards the fields below. Only the planning loop modifies byModel, so it may read it without the lock.
	lock       sync.Mutex
	aggregator *demand.DemandAggregator
	byModel    map[string]*placement.Demand
	// arrivals and prefillMs are sums since ratesUpdatedAt, by model key.
	arrivals       map[string]float64
	prefillMs      map[string]float64
	ratesUpdatedAt time.Time
	// receivedRates holds rates shared by another lease holder that have not been applied yet.
	receivedRates map[string]peer.Rate
	// learningSince is when demand was first reported; zero before that.
	learningSince time.Time
}

// newDemandView returns an empty view. It calls onNewlyWaiting, which must neither block nor call the view, whenever requests
// start to wait for a model.
func newDemandView(clock func() time.Time, onNewlyWaiting func()) *DemandView {
	return &DemandView{
		clock:          clock,
		onNewlyWaiting: onNewlyWaiting,
		aggregator:     demand.NewDemandAggregator(),
		byModel:        map[string]*placement.Demand{},
		arrivals:       map[string]float64{},
		prefillMs:      map[string]float64{},
		ratesUpdatedAt: clock(),
	}
}

// HandleSummary applies a control plane's demand summary; its arrivals are counted unless they were received before.
func (d *DemandView) HandleSummary(summary peer.LoadSummary) {
	now := d.clock()
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.learningSince.IsZero() && len(summary.Models) > 0 {
		d.learningSince = now
	}
	keys := make([]string, len(summary.Models))
	isNew := d.aggregator.MarkBatchReceived(summary)
	for index, model := range summary.Models {
		keys[index] = placement.ModelKey(model.Backend, model.Model)
		if !isNew {
			continue
		}
		d.arrivals[keys[index]] += float64(model.Arrivals)
		d.prefillMs[keys[index]] += model.PrefillMs
	}
	if d.aggregator.Add(summary, keys, now) {
		d.onNewlyWaiting()
	}
}

// Update refreshes the demand: waiting and running requests on each call, average rates at most once per ratesInterval. Models
// without requests for idleModelExpiry are dropped. Only the planning loop calls it.
func (d *DemandView) Update() {
	now := d.clock()
	d.lock.Lock()
	defer d.lock.Unlock()
	d.adoptReceivedRates(now)
	d.aggregator.Expire(now)
	d.aggregator.UpdateDemands(d.byModel, now)
	if span := now.Sub(d.ratesUpdatedAt); span >= ratesInterval {
		d.ratesUpdatedAt = now
		d.updateRates(span.Seconds(), now)
	}
}

// updateRates folds the arrivals of the last spanS seconds into the average rates. The caller holds the lock.
func (d *DemandView) updateRates(spanS float64, now time.Time) {
	for key, arrivals := range d.arrivals {
		if d.byModel[key] == nil {
			d.byModel[key] = &placement.Demand{}
		}
		if arrivals > 0 {
			d.byModel[key].LastRequestAt = now
		}
	}
	weight := min(spanS/rateTimeConstantS, 1)
	longTermWeight := min(spanS/longTermTimeConstantS, 1)
	for key, modelDemand := range d.byModel {
		modelDemand.Rate += weight * (d.arrivals[key]/spanS - modelDemand.Rate)
		modelDemand.LongTermRate += longTermWeight * (d.arrivals[key]/spanS - modelDemand.LongTermRate)
		modelDemand.PrefillLoad += weight * (d.prefillMs[key]/spanS/1000 - modelDemand.PrefillLoad)
		if modelDemand.Rate < minRate {
			modelDemand.Rate = 0
		}
		idle := modelDemand.Rate == 0 && modelDemand.Waiting == 0 && modelDemand.Running == 0
		if idle && now.Sub(modelDemand.LastRequestAt) > idleModelExpiry {
			delete(d.byModel, key)
		}
	}
	clear(d.arrivals)
	clear(d.prefillMs)
}

// adoptReceivedRates applies the rates shared by another lease holder; rates that it did not include are capped at
// minSharedRate, below which rates are not shared. The caller holds the lock.
func (d *DemandView) adoptReceivedRates(now time.Time) {
	rates := d.receivedRates
	d.receivedRates = nil
	if len(rates) == 0 {
		return
	}
	for key, modelDemand := range d.byModel {
		if _, known := rates[key]; !known {
			modelDemand.Rate = min(modelDemand.Rate, minSharedRate)
			modelDemand.PrefillLoad = 0
		}
	}
	for key, rate := range rates {
		if d.byModel[key] == nil {
			d.byModel[key] = &placement.Demand{}
		}
		d.byModel[key].Rate = rate.RequestsPerS
		d.byModel[key].PrefillLoad = rate.PrefillLoad
		d.byModel[key].LastRequestAt = now
	}
}

// SharedRates returns the rates to share with the other control planes, by model key: those of at least minSharedRate.
func (d *DemandView) SharedRates() map[string]peer.Rate {
	d.lock.Lock()
	defer d.lock.Unlock()
	rates := map[string]peer.Rate{}
	for key, modelDemand := range d.byModel {
		if modelDemand.Rate >= minSharedRate {
			rates[key] = peer.Rate{
				RequestsPerS: math.Round(modelDemand.Rate*100) / 100,
				PrefillLoad:  math.Round(modelDemand.PrefillLoad*1000) / 1000,
			}
		}
	}
	return rates
}

// HandleRates records the rates shared by the lease holder. A node that has received them skips the learning period.
func (d *DemandView) HandleRates(rates map[string]peer.Rate) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if len(rates) == 0 {
		return
	}
	d.learningSince = d.clock().Add(-learningPeriod)
	d.receivedRates = rates
}

// Rates returns the average rates in requests per second, by model key.
func (d *DemandView) Rates() map[string]float64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	rates := make(map[string]float64, len(d.byModel))
	for key, modelDemand := range d.byModel {
		rates[key] = modelDemand.Rate
	}
	return rates
}

// IsSuspected reports whether enough data planes suspect a replica.
func (d *DemandView) IsSuspected(id string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.aggregator.IsSuspected(id)
}

// suspectedAmong returns the ids of the given replicas that enough data planes suspect.
func (d *DemandView) suspectedAmong(replicas []*replicatracker.Replica) map[string]bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	var suspected map[string]bool
	for _, replica := range replicas {
		if !d.aggregator.IsSuspected(replica.ID()) {
			continue
		}
		if suspected == nil {
			suspected = map[string]bool{}
		}
		suspected[replica.ID()] = true
	}
	return suspected
}

// isLearned reports whether the demand has been observed for long enough to unload models based on it.
func (d *DemandView) isLearned(now time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return !d.learningSince.IsZero() && now.Sub(d.learningSince) >= learningPeriod
}

// decodeLoad returns the number of requests for a backend's models that are decoding now, and whether the demand has been
// observed for long enough to change serving phases based on it. Only the planning loop calls it.
func (d *DemandView) decodeLoad(backend string, now time.Time) (running float64, learned bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for key, modelDemand := range d.byModel {
		if name, _ := placement.SplitModelKey(key); name == backend {
			running += modelDemand.Running
		}
	}
	return running, !d.learningSince.IsZero() && now.Sub(d.learningSince) >= phaseLearningPeriod
}

// takeChanged reports whether the demand calls for a new plan: requests wait, or something has changed since the last call.
func (d *DemandView) takeChanged() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.aggregator.TakeDirty() || d.aggregator.HasWaiting()
}

// waiting returns the number of requests of a backend that wait for any of the given models. Only the planning loop calls it.
func (d *DemandView) waiting(backend string, models map[string]bool) int {
	waiting := 0
	for model := range models {
		if modelDemand := d.byModel[placement.ModelKey(backend, model)]; modelDemand != nil {
			waiting += modelDemand.Waiting
		}
	}
	return waiting
}

// isInDemand reports whether requests for a model or adapter, or for any adapter of the model, wait, run or have arrived
// recently. Everything counts as in demand until the demand is known. Only the planning loop calls it.
func (d *DemandView) isInDemand(backend, reference string) bool {
	if !d.isLearned(d.clock()) {
		return true
	}
	key := placement.ModelKey(backend, reference)
	for other, modelDemand := range d.byModel {
		if other != key && !strings.HasPrefix(other, key+"/") {
			continue
		}
		if modelDemand.Waiting > 0 || modelDemand.Running > 0 || modelDemand.Rate > 0 {
			return true
		}
	}
	return false
}

// planned returns the demand for a plan. Only the planning loop calls it; Update keeps modifying the returned map.
func (d *DemandView) planned() map[string]*placement.Demand { return d.byModel }
