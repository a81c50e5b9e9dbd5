package controlplane

import (
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/place"
)

// hearDemand takes in a control plane's share of the demand, its arrivals unless they were heard
// before, and has a plan made soon if a model is newly waited for. Any goroutine may call it.
func (w *Scheduler) hearDemand(share peer.LoadSummary) {
	now := w.daemon.clock()
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.learning.IsZero() && len(share.Models) > 0 {
		w.learning = now
	}
	names := make([]string, len(share.Models))
	fresh := w.tally.isNewBatch(share)
	for index, model := range share.Models {
		names[index] = place.ModelKey(model.Backend, model.Model)
		if !fresh {
			continue
		}
		w.counted[names[index]] += float64(model.Arrivals)
		w.reading[names[index]] += model.PrefillMs
	}
	if w.tally.Add(share, names, now) {
		select {
		case w.nudge <- struct{}{}:
		default:
		}
	}
}

// measure brings the demand up to date: sums at once, averaged rates every quarter of a second.
// Models not asked for in a long time are forgotten.
func (w *Scheduler) measure() {
	now := w.daemon.clock()
	w.lock.Lock()
	defer w.lock.Unlock()
	w.applyRates(now)
	w.tally.Expire(now)
	w.tally.WriteTo(w.demand, now)
	span := now.Sub(w.lastRate).Seconds()
	if span < 0.25 {
		return
	}
	w.lastRate = now
	share := min(span/rateSpan, 1)
	slowShare := min(span/slowRateSpan, 1)
	for name, amount := range w.counted {
		if w.demand[name] == nil {
			w.demand[name] = &place.Demand{}
		}
		if amount > 0 {
			w.demand[name].LastSeen = now
		}
	}
	for name, demand := range w.demand {
		demand.Rate += share * (w.counted[name]/span - demand.Rate)
		demand.LongTermRate += slowShare * (w.counted[name]/span - demand.LongTermRate)
		demand.PrefillLoad += share * (w.reading[name]/span/1000 - demand.PrefillLoad)
		if demand.Rate < 0.003 {
			demand.Rate = 0
		}
		if demand.Rate == 0 && demand.Waiting == 0 && demand.Running == 0 && now.Sub(demand.LastSeen) > forgetAfter {
			delete(w.demand, name)
		}
	}
	clear(w.counted)
	clear(w.reading)
}

const (
	// sharedRate is the rate, in requests a second, from which a model's rate is shared.
	sharedRate = 0.3
	// learnTime is how long a holder listens before it trusts the demand it has heard.
	learnTime = 6 * time.Second
	// forgetAfter is how long a model without demand is remembered.
	forgetAfter = 6 * time.Minute
	// slowRateSpan is the time constant, in seconds, of the slow average of rates.
	slowRateSpan = 120.0
)

// learned tells whether the demand is known well enough to unload by it.
func (w *Scheduler) learned(now time.Time) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return !w.learning.IsZero() && now.Sub(w.learning) >= learnTime
}
