package controlplane

import (
	"math"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/place"
)

// applyRates adopts the rates that another holder has shared; rates that it did not name are
// bounded by the least that is shared. The caller holds the lock.
func (w *Scheduler) applyRates(now time.Time) {
	rates := w.heardRates
	w.heardRates = nil
	if len(rates) == 0 {
		return
	}
	for name, demand := range w.demand {
		if _, known := rates[name]; !known {
			demand.Rate = min(demand.Rate, sharedRate)
			demand.PrefillLoad = 0
		}
	}
	for name, rate := range rates {
		if w.demand[name] == nil {
			w.demand[name] = &place.Demand{}
		}
		w.demand[name].Rate = rate.RequestsPerS
		w.demand[name].PrefillLoad = rate.PrefillLoad
		w.demand[name].LastSeen = now
	}
}

// rates are the rates worth sharing with the other control planes, by the key of the model. Any
// goroutine may call it.
func (w *Scheduler) rates() map[string]peer.Rate {
	w.lock.Lock()
	defer w.lock.Unlock()
	rates := map[string]peer.Rate{}
	for name, demand := range w.demand {
		if demand.Rate >= sharedRate {
			rates[name] = peer.Rate{
				RequestsPerS: math.Round(demand.Rate*100) / 100,
				PrefillLoad:  math.Round(demand.PrefillLoad*1000) / 1000,
			}
		}
	}
	return rates
}

// hearRates takes in the rates of the holder, which spares this daemon the learning. Any goroutine
// may call it.
func (w *Scheduler) hearRates(rates map[string]peer.Rate) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if len(rates) == 0 {
		return
	}
	w.learning = w.daemon.clock().Add(-learnTime)
	w.heardRates = rates
}
