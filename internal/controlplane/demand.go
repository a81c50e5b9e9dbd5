package controlplane

import (
	"context"
	"ferryspar/internal/partner"
	"ferryspar/internal/place"
	"time"
)

func (w *Warden) hearPressure(ctx context.Context, pressure partner.Pressure) partner.Outlook {
	now := w.daemon.clock()
	w.lock.Lock()
	defer w.lock.Unlock()
	w.told[pressure.Daemon] = told{now, pressure}
	waiting := false
	for _, model := range pressure.Models {
		name := place.Key(model.Backend, model.Model)
		w.counted[name] += float64(model.Arrivals)
		waiting = waiting || model.Waiting > 0
	}
	if waiting {
		select {
		case w.nudge <- struct{}{}:
		default:
		}
	}
	outlook := partner.Outlook{Replicas: map[string]partner.ReplicaPressure{}}
	for edge, other := range w.told {
		if edge == pressure.Daemon || now.Sub(other.at) > 2*time.Second {
			continue
		}
		for id, one := range other.pressure.Replicas {
			sum := outlook.Replicas[id]
			sum.Running += one.Running
			sum.Tokens += one.Tokens
			sum.Prefill += one.Prefill
			outlook.Replicas[id] = sum
		}
	}
	return outlook
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
		if demand.Rate < 0.003 {
			demand.Rate = 0
		}
	}
	w.counted = map[string]float64{}
	w.gather(now)
}

func (w *Warden) gather(now time.Time) {
	for _, demand := range w.demand {
		demand.Waiting, demand.OldestMs, demand.Running = 0, 0, 0
	}
	for edge, one := range w.told {
		age := now.Sub(one.at)
		if age > 10*time.Second {
			delete(w.told, edge)
		}
		if age > 1500*time.Millisecond {
			continue
		}
		for _, model := range one.pressure.Models {
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
