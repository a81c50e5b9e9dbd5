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
	// ratesInterval is the least time over which arrivals are averaged.
	ratesInterval = 250 * time.Millisecond
	// rateTimeConstantS and longTermTimeConstantS are the time constants, in seconds, of the averages of rates.
	rateTimeConstantS     = 8.0
	longTermTimeConstantS = 120.0
	// minRate is the rate, in requests a second, below which a model counts as not asked for.
	minRate = 0.003
	// minSharedRate is the rate, in requests a second, from which a model's rate is shared.
	minSharedRate = 0.3
	// learningPeriod is how long a lease holder watches the demand before it unloads by it.
	learningPeriod = 6 * time.Second
	// idleModelExpiry is how long a model without demand is remembered.
	idleModelExpiry = 6 * time.Minute
)

// DemandView is the demand of all data planes, by model key: what waits and runs now, and averaged rates. Any goroutine may
// use it.
type DemandView struct {
	clock func() time.Time
	// onNewlyWaiting is called when requests begin to wait for a model.
	onNewlyWaiting func()

	// lock guards all below. The planning loop alone changes byModel, so it may read it without the lock.
	lock       sync.Mutex
	aggregator *demand.DemandAggregator
	byModel    map[string]*placement.Demand
	// arrivals and prefillMs are sums since ratesUpdatedAt, by model key.
	arrivals       map[string]float64
	prefillMs      map[string]float64
	ratesUpdatedAt time.Time
	// receivedRates are the rates that another lease holder shared and that were not adopted yet.
	receivedRates map[string]peer.Rate
	// learningSince is since when demand has been reported, zero before.
	learningSince time.Time
}

// newDemandView returns a view of no demand. It calls onNewlyWaiting, which must not block nor call the view, whenever requests
// begin to wait for a model.
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

// HandleSummary takes in a control plane's summary of its demand; its arrivals count unless they were received before.
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

// Update brings the demand up to date: what waits and runs at once, averaged rates once per ratesInterval. Models that were
// not asked for in idleModelExpiry are forgotten. The planning loop alone calls it.
func (d *DemandView) Update() {
	now := d.clock()
	d.lock.Lock()
	defer d.lock.Unlock()
	d.adoptReceivedRates(now)
	d.aggregator.Expire(now)
	d.aggregator.WriteTo(d.byModel, now)
	if span := now.Sub(d.ratesUpdatedAt); span >= ratesInterval {
		d.ratesUpdatedAt = now
		d.updateRates(span.Seconds(), now)
	}
}

// updateRates averages the arrivals of the last spanS seconds into the rates. The caller holds the lock.
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

// adoptReceivedRates adopts the rates that another lease holder has shared; rates that it did not name are bounded by the
// least rate that is shared. The caller holds the lock.
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

// SharedRates returns the rates worth sharing with the other control planes, by model key.
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

// HandleRates takes in the rates that the lease holder shares, which spares this node the learning period.
func (d *DemandView) HandleRates(rates map[string]peer.Rate) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if len(rates) == 0 {
		return
	}
	d.learningSince = d.clock().Add(-learningPeriod)
	d.receivedRates = rates
}

// Rates returns the averaged rates in requests a second, by model key.
func (d *DemandView) Rates() map[string]float64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	rates := make(map[string]float64, len(d.byModel))
	for key, modelDemand := range d.byModel {
		rates[key] = modelDemand.Rate
	}
	return rates
}

// IsSuspected tells whether enough data planes suspect a replica.
func (d *DemandView) IsSuspected(id string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.aggregator.IsSuspected(id)
}

// suspectedAmong returns the ids of those of some replicas that enough data planes suspect.
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

// isLearned tells whether the demand has been watched long enough to unload by it.
func (d *DemandView) isLearned(now time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return !d.learningSince.IsZero() && now.Sub(d.learningSince) >= learningPeriod
}

// splitLoad returns how many requests for a backend's models make tokens now, and whether the demand has been watched long enough
// to change phases by it. The planning loop alone calls it.
func (d *DemandView) splitLoad(backend string, now time.Time) (running float64, learned bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for key, modelDemand := range d.byModel {
		if name, _ := placement.SplitModelKey(key); name == backend {
			running += modelDemand.Running
		}
	}
	return running, !d.learningSince.IsZero() && now.Sub(d.learningSince) >= phaseLearningPeriod
}

// takeChanged tells whether the demand calls for a new plan: requests wait, or something has changed since the last call.
func (d *DemandView) takeChanged() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.aggregator.TakeDirty() || d.aggregator.HasWaiting()
}

// waiting counts the requests of a backend that wait for any of some models. The planning loop alone calls it.
func (d *DemandView) waiting(backend string, models map[string]bool) int {
	waiting := 0
	for model := range models {
		if modelDemand := d.byModel[placement.ModelKey(backend, model)]; modelDemand != nil {
			waiting += modelDemand.Waiting
		}
	}
	return waiting
}

// isAskedFor tells whether requests wait or run for a model or adapter, or for an adapter of the model, or have arrived lately.
// While the demand is not known yet everything counts as asked for. The planning loop alone calls it.
func (d *DemandView) isAskedFor(backend, reference string) bool {
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

// planned returns the demand for a plan. The planning loop alone calls it; the map goes on changing by Update.
func (d *DemandView) planned() map[string]*placement.Demand { return d.byModel }
