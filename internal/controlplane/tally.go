package controlplane

import (
	"slices"
	"time"

	"ferryspar/internal/partner"
	"ferryspar/internal/place"
)

const (
	doubtFor   = time.Second
	countedFor = 1500 * time.Millisecond
)

type reported struct {
	at       time.Time
	names    []string
	models   []partner.ModelPressure
	suspects []string
	doubting bool
	counted  bool
}

type sum struct {
	waiting int
	running int
	aim     float64
	oldest  map[string]float64
}

type Tally struct {
	reports  map[string]*reported
	sums     map[string]*sum
	touched  map[string]bool
	waiting  map[string]bool
	suspects map[string]int
	doubting int
	stirred  bool
}

func NewTally() *Tally {
	return &Tally{reports: map[string]*reported{}, sums: map[string]*sum{}, touched: map[string]bool{}, waiting: map[string]bool{}, suspects: map[string]int{}}
}

func (t *Tally) Hear(pressure partner.Pressure, names []string, now time.Time) (fresh bool) {
	next := &reported{at: now, names: names, models: pressure.Models, doubting: true, counted: true}
	for id, one := range pressure.Replicas {
		if one.Suspect {
			next.suspects = append(next.suspects, id)
		}
	}
	slices.Sort(next.suspects)
	before := t.reports[pressure.Daemon]
	for index, name := range names {
		fresh = fresh || pressure.Models[index].Waiting > 0 && !t.waiting[name]
	}
	t.stirred = t.stirred || fresh || before == nil || !before.doubting || !slices.Equal(before.suspects, next.suspects)
	if before != nil {
		t.undoubt(before)
		t.uncount(pressure.Daemon, before)
	}
	t.reports[pressure.Daemon] = next
	t.doubting++
	for _, id := range next.suspects {
		t.suspects[id]++
	}
	for index, name := range names {
		t.count(pressure.Daemon, name, pressure.Models[index])
	}
	return fresh
}

func (t *Tally) count(edge, name string, model partner.ModelPressure) {
	one := t.sums[name]
	if one == nil {
		one = &sum{oldest: map[string]float64{}}
		t.sums[name] = one
	}
	one.waiting += model.Waiting
	one.running += model.Running
	one.aim = max(one.aim, model.Aim)
	if model.Waiting > 0 {
		one.oldest[edge] = max(one.oldest[edge], model.OldestMs)
		t.waiting[name] = true
	}
	t.touched[name] = true
}

func (t *Tally) uncount(edge string, before *reported) {
	if !before.counted {
		return
	}
	before.counted = false
	for index, name := range before.names {
		one := t.sums[name]
		if one == nil {
			continue
		}
		one.waiting -= before.models[index].Waiting
		one.running -= before.models[index].Running
		delete(one.oldest, edge)
		if one.waiting == 0 {
			delete(t.waiting, name)
		}
		t.touched[name] = true
	}
}

func (t *Tally) undoubt(before *reported) {
	if !before.doubting {
		return
	}
	before.doubting = false
	t.doubting--
	for _, id := range before.suspects {
		if t.suspects[id]--; t.suspects[id] == 0 {
			delete(t.suspects, id)
		}
	}
}

func (t *Tally) Expire(now time.Time) {
	for edge, one := range t.reports {
		age := now.Sub(one.at)
		if age <= doubtFor {
			continue
		}
		t.stirred = t.stirred || one.doubting && len(one.suspects) > 0
		t.undoubt(one)
		if age > countedFor {
			t.uncount(edge, one)
			delete(t.reports, edge)
		}
	}
}

func (t *Tally) Suspected(id string) bool {
	suspected := t.suspects[id]
	return suspected >= suspectsNeeded || suspected > 0 && suspected == t.doubting
}

func (t *Tally) Pour(demands map[string]*place.Pressure, now time.Time) {
	for name := range t.touched {
		one := t.sums[name]
		demand := demands[name]
		if demand == nil {
			demand = &place.Pressure{}
			demands[name] = demand
		}
		demand.Waiting, demand.Running, demand.OldestMs = one.waiting, float64(one.running), 0
		demand.Aim = max(demand.Aim, one.aim)
		for _, oldest := range one.oldest {
			demand.OldestMs = max(demand.OldestMs, oldest)
		}
		if one.waiting == 0 && one.running == 0 {
			delete(t.sums, name)
		}
	}
	clear(t.touched)
	for name := range t.waiting {
		demands[name].LastSeen = now
	}
}

func (t *Tally) Stirred() bool {
	stirred := t.stirred
	t.stirred = false
	return stirred
}
