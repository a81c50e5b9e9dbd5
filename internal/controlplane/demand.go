package controlplane

import (
	"ferryspar/internal/partner"
	"ferryspar/internal/place"
	"math"
	"time"
)

func (w *Warden) hearDemand(share partner.SumShare) {
	now := w.daemon.clock()
	w.lock.Lock()
	defer w.lock.Unlock()
	w.told[share.Member] = told{now, share}
	if w.learning.IsZero() && len(share.Models) > 0 {
		w.learning = now
	}
	waiting := false
	for _, model := range share.Models {
		name := place.Key(model.Backend, model.Model)
		w.counted[name] += float64(model.Arrivals)
		w.reading[name] += model.ReadMs
		waiting = waiting || model.Waiting > 0
	}
	if waiting {
		select {
		case w.nudge <- struct{}{}:
		default:
		}
	}
}

func (w *Warden) measure() {
	now := w.daemon.clock()
	w.lock.Lock()
	defer w.lock.Unlock()
	span := now.Sub(w.lastRate).Seconds()
	if span < 0.25 {
		w.gather(now)
		return
	}
	w.lastRate = now
	share := min(span/rateSpan, 1)
	for name, amount := range w.counted {
		if w.demand[name] == nil {
			w.demand[name] = &place.Pressure{}
		}
		if amount > 0 {
			w.demand[name].LastSeen = now
		}
	}
	for name, demand := range w.demand {
		demand.Rate += share * (w.counted[name]/span - demand.Rate)
		demand.Reading += share * (w.reading[name]/span/1000 - demand.Reading)
		if demand.Rate < 0.003 {
			demand.Rate = 0
		}
	}
	w.counted = map[string]float64{}
	w.reading = map[string]float64{}
	w.gather(now)
}

func (w *Warden) gather(now time.Time) {
	for _, demand := range w.demand {
		demand.Waiting, demand.OldestMs, demand.Running = 0, 0, 0
	}
	for member, one := range w.told {
		age := now.Sub(one.at)
		if age > 10*time.Second {
			delete(w.told, member)
		}
		if age > 1500*time.Millisecond {
			continue
		}
		for _, model := range one.share.Models {
			name := place.Key(model.Backend, model.Model)
			if w.demand[name] == nil {
				w.demand[name] = &place.Pressure{}
			}
			demand := w.demand[name]
			demand.Waiting += model.Waiting
			demand.Running += float64(model.Running)
			demand.Aim = max(demand.Aim, model.Aim)
			if model.Waiting > 0 {
				demand.OldestMs = max(demand.OldestMs, model.OldestMs)
				demand.LastSeen = now
			}
		}
	}
}

const (
	toldRate  = 0.3
	learnTime = 6 * time.Second
)

func (w *Warden) rates() map[string]partner.Rate {
	w.lock.Lock()
	defer w.lock.Unlock()
	told := map[string]partner.Rate{}
	for name, demand := range w.demand {
		if demand.Rate >= toldRate {
			told[name] = partner.Rate{PerS: math.Round(demand.Rate*100) / 100, Reading: math.Round(demand.Reading*1000) / 1000}
		}
	}
	return told
}

func (w *Warden) hearRates(told map[string]partner.Rate) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if len(told) == 0 {
		return
	}
	now := w.daemon.clock()
	w.learning = now.Add(-learnTime)
	for name, demand := range w.demand {
		if _, known := told[name]; !known {
			demand.Rate, demand.Reading = min(demand.Rate, toldRate), 0
		}
	}
	for name, rate := range told {
		if w.demand[name] == nil {
			w.demand[name] = &place.Pressure{}
		}
		w.demand[name].Rate, w.demand[name].Reading, w.demand[name].LastSeen = rate.PerS, rate.Reading, now
	}
}

func (w *Warden) learned(now time.Time) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	return !w.learning.IsZero() && now.Sub(w.learning) >= learnTime
}
