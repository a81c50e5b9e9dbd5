package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// loadReport is an edge's load and when it was heard.
type loadReport struct {
	at   time.Time
	load peer.LoadReport
}

// demand is what the control plane knows of the demand for each model, by the reports of the edges.
// It follows the scheduler of the control-plane daemon.
type demand struct {
	// reports are the last reports, by the edge's number.
	reports map[int]loadReport
	// arrivals counts the requests since the last measure, by key.
	arrivals map[string]float64
	// readMs sums the time spent reading prompts since the last measure, by key.
	readMs map[string]float64
	// byKey is the demand by backend and model.
	byKey map[string]*placement.Demand
	// learningSince is when demand was first heard; zero before.
	learningSince time.Time
	measuredAt    time.Time
}

const (
	// rateSpan is the time constant of the averaged rates, in seconds.
	rateSpan = 8.0
	// learnTime is how long a new holder listens before it trusts its demand.
	learnTime = 6 * time.Second
	// outlookLife is how long an edge's load counts in what the others are told.
	outlookLife = 2 * time.Second
	// loadLife is how long an edge's waiting requests count.
	loadLife = 1500 * time.Millisecond
	// forgetAfter is how long a silent edge is remembered.
	forgetAfter = 10 * time.Second
	// suspectLife is how long an edge's suspicion of a replica counts.
	suspectLife = time.Second
	// suspectEnough is how many edges must suspect a replica.
	suspectEnough = 2
	// exactUnit is the grid that rates are rounded to, so that sums do not depend on their order.
	exactUnit = 720720.0 / (1 << 30)
)

// exact rounds to a grid on which sums do not depend on the order of their terms.
func exact(value float64) float64 { return math.Round(value/exactUnit) * exactUnit }

// newDemand knows nothing yet.
func newDemand(now time.Time) *demand {
	return &demand{
		reports:    map[int]loadReport{},
		arrivals:   map[string]float64{},
		readMs:     map[string]float64{},
		byKey:      map[string]*placement.Demand{},
		measuredAt: now,
	}
}

// inherit takes over the demand of the holder before.
func (d *demand) inherit(before *demand, now time.Time) {
	d.byKey = before.copied()
	d.learningSince = now.Add(-learnTime)
}

// learned tells whether the demand was heard for long enough to plan by.
func (d *demand) learned(now time.Time) bool {
	return !d.learningSince.IsZero() && now.Sub(d.learningSince) >= learnTime
}

// liveEdges counts the edges heard of lately.
func (d *demand) liveEdges(now time.Time) int {
	live := 0
	for _, one := range d.reports {
		if now.Sub(one.at) < forgetAfter {
			live++
		}
	}
	return live
}

// reportingEdges lists the numbers of the edges in ascending order.
func (d *demand) reportingEdges() []int { return slices.Sorted(maps.Keys(d.reports)) }

// receiveLoad takes an edge's report in and returns the other edges' summed load by replica.
func (c *controlPlane) receiveLoad(edge int, load peer.LoadReport) map[string]peer.ReplicaLoad {
	d, now := c.demand, c.world.now()
	d.reports[edge] = loadReport{now, load}
	if d.learningSince.IsZero() && len(load.Models) > 0 {
		d.learningSince = now
	}
	for _, model := range load.Models {
		name := placement.ModelKey(model.Backend, model.Model)
		d.arrivals[name] += float64(model.Arrivals)
		d.readMs[name] += model.PrefillMs
	}
	outlook := map[string]peer.ReplicaLoad{}
	for _, number := range d.reportingEdges() {
		other := d.reports[number]
		if number == edge || now.Sub(other.at) > outlookLife {
			continue
		}
		for id, one := range other.load.Replicas {
			sum := outlook[id]
			sum.Running += one.Running
			sum.Tokens += one.Tokens
			sum.PrefillTokens += one.PrefillTokens
			outlook[id] = sum
		}
	}
	return outlook
}

// entry is the demand for a key, made on first use.
func (d *demand) entry(name string) *placement.Demand {
	if d.byKey[name] == nil {
		d.byKey[name] = &placement.Demand{}
	}
	return d.byKey[name]
}

// measure brings the averaged rates up to date, at most every quarter of a second, and sums the
// reports.
func (d *demand) measure(now time.Time) {
	defer d.sumReports(now)
	span := now.Sub(d.measuredAt).Seconds()
	if span < 0.25 {
		return
	}
	d.measuredAt = now
	share := min(span/rateSpan, 1)
	for name, amount := range d.arrivals {
		if one := d.entry(name); amount > 0 {
			one.LastSeen = now
		}
	}
	for name, one := range d.byKey {
		one.Rate = exact(one.Rate + share*(d.arrivals[name]/span-one.Rate))
		one.PrefillLoad = exact(one.PrefillLoad + share*(d.readMs[name]/span/1000-one.PrefillLoad))
		if one.Rate < 0.003 {
			one.Rate = 0
		}
	}
	d.arrivals = map[string]float64{}
	d.readMs = map[string]float64{}
}

// sumReports sums what waits and runs over the edges heard of lately.
func (d *demand) sumReports(now time.Time) {
	for _, one := range d.byKey {
		one.Waiting = 0
		one.OldestWaitMs = 0
		one.Running = 0
	}
	for _, number := range d.reportingEdges() {
		heard := d.reports[number]
		age := now.Sub(heard.at)
		if age > forgetAfter {
			delete(d.reports, number)
		}
		if age > loadLife {
			continue
		}
		for _, model := range heard.load.Models {
			one := d.entry(placement.ModelKey(model.Backend, model.Model))
			one.Waiting += model.Waiting
			one.Running += float64(model.Running)
			one.LatencyTargetMs = max(one.LatencyTargetMs, model.LatencyTargetMs)
			if model.Waiting > 0 {
				one.OldestWaitMs = max(one.OldestWaitMs, model.OldestWaitMs)
				one.LastSeen = now
			}
		}
	}
}

// copied is a deep copy of the demand.
func (d *demand) copied() map[string]*placement.Demand {
	copies := make(map[string]*placement.Demand, len(d.byKey))
	for name, one := range d.byKey {
		same := *one
		copies[name] = &same
	}
	return copies
}

// isSuspect tells whether enough of the edges heard lately suspect the replica.
func (d *demand) isSuspect(id string, now time.Time) bool {
	suspected, heard := 0, 0
	for _, one := range d.reports {
		if now.Sub(one.at) > suspectLife {
			continue
		}
		heard++
		if one.load.Replicas[id].Suspected {
			suspected++
		}
	}
	return suspected >= suspectEnough || suspected > 0 && suspected == heard
}
