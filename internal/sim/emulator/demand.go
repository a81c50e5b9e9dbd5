package emulator

import (
	"maps"
	"math"
	"slices"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// loadReport is an edge's load report and when it was received.
type loadReport struct {
	at   time.Time
	load peer.LoadReport
}

// demand is the control plane's estimate of the demand for each model from the edges' load reports. Its rules
// and constants are those of the control-plane daemon's scheduler.
type demand struct {
	// reports are the latest load reports, by the edge's number.
	reports map[int]loadReport
	// arrivals counts the requests since the last update of the rates, by model key.
	arrivals map[string]float64
	// prefillMs sums the prefill time since the last update of the rates, by model key.
	prefillMs map[string]float64
	// byKey is the demand by model key (backend and model).
	byKey map[string]*placement.Demand
	// learningSince is when demand was first reported, or zero before that.
	learningSince time.Time
	measuredAt    time.Time
}

const (
	// rateTimeConstantS is the time constant of the moving averages of the rates, in seconds.
	rateTimeConstantS = 8.0
	// learningPeriod is how long a new lease holder collects reports before its demand counts as known.
	learningPeriod = 6 * time.Second
	// loadSumExpiry is how long an edge's load counts in the sums sent to the other edges.
	loadSumExpiry = 2 * time.Second
	// loadExpiry is how long an edge's waiting and running requests count.
	loadExpiry = 1500 * time.Millisecond
	// reportRetention is how long the last report of an edge is kept.
	reportRetention = 10 * time.Second
	// suspicionExpiry is how long an edge's suspicion of a replica counts.
	suspicionExpiry = time.Second
	// minSuspecting is how many edges must suspect a replica, unless all that report do.
	minSuspecting = 2
	// rateGrid is the unit that rates are rounded to. Sums of its multiples are exact, so they do not depend on the
	// order of the terms and a run is reproducible.
	rateGrid = 720720.0 / (1 << 30)
)

// roundToGrid rounds to a multiple of rateGrid.
func roundToGrid(value float64) float64 { return math.Round(value/rateGrid) * rateGrid }

// newDemand returns an empty demand.
func newDemand(now time.Time) *demand {
	return &demand{
		reports:    map[int]loadReport{},
		arrivals:   map[string]float64{},
		prefillMs:  map[string]float64{},
		byKey:      map[string]*placement.Demand{},
		measuredAt: now,
	}
}

// inherit takes over the demand of the previous lease holder and counts as learned.
func (d *demand) inherit(previous *demand, now time.Time) {
	d.byKey = previous.cloneByKey()
	d.learningSince = now.Add(-learningPeriod)
}

// isLearned reports whether demand has been reported for long enough to plan with.
func (d *demand) isLearned(now time.Time) bool {
	return !d.learningSince.IsZero() && now.Sub(d.learningSince) >= learningPeriod
}

// liveEdges returns the number of edges that have reported within reportRetention.
func (d *demand) liveEdges(now time.Time) int {
	live := 0
	for _, report := range d.reports {
		if now.Sub(report.at) < reportRetention {
			live++
		}
	}
	return live
}

// reportingEdges returns the numbers of the edges with a report, in ascending order.
func (d *demand) reportingEdges() []int { return slices.Sorted(maps.Keys(d.reports)) }

// receiveLoad stores an edge's load report and returns the other edges' summed load by replica.
func (c *controlPlane) receiveLoad(edge int, load peer.LoadReport) map[string]peer.ReplicaLoad {
	d, now := c.demand, c.world.now()
	d.reports[edge] = loadReport{now, load}
	if d.learningSince.IsZero() && len(load.Models) > 0 {
		d.learningSince = now
	}
	for _, model := range load.Models {
		name := placement.ModelKey(model.Backend, model.Model)
		d.arrivals[name] += float64(model.Arrivals)
		d.prefillMs[name] += model.PrefillMs
	}
	summedLoads := map[string]peer.ReplicaLoad{}
	for _, number := range d.reportingEdges() {
		other := d.reports[number]
		if number == edge || now.Sub(other.at) > loadSumExpiry {
			continue
		}
		for id, reported := range other.load.Replicas {
			sum := summedLoads[id]
			sum.Running += reported.Running
			sum.Tokens += reported.Tokens
			sum.PrefillTokens += reported.PrefillTokens
			summedLoads[id] = sum
		}
	}
	return summedLoads
}

// entry returns the demand of a model key and creates it if necessary.
func (d *demand) entry(name string) *placement.Demand {
	if d.byKey[name] == nil {
		d.byKey[name] = &placement.Demand{}
	}
	return d.byKey[name]
}

// updateRates updates the averaged rates, at most every quarter of a second, and sums the reports.
func (d *demand) updateRates(now time.Time) {
	defer d.sumReports(now)
	elapsedS := now.Sub(d.measuredAt).Seconds()
	if elapsedS < 0.25 {
		return
	}
	d.measuredAt = now
	share := min(elapsedS/rateTimeConstantS, 1)
	for name, amount := range d.arrivals {
		if entry := d.entry(name); amount > 0 {
			entry.LastRequestAt = now
		}
	}
	for name, entry := range d.byKey {
		entry.Rate = roundToGrid(entry.Rate + share*(d.arrivals[name]/elapsedS-entry.Rate))
		entry.PrefillLoad = roundToGrid(entry.PrefillLoad + share*(d.prefillMs[name]/elapsedS/1000-entry.PrefillLoad))
		if entry.Rate < 0.003 {
			entry.Rate = 0
		}
	}
	d.arrivals = map[string]float64{}
	d.prefillMs = map[string]float64{}
}

// sumReports sums the waiting and running requests over the edges whose reports have not expired.
func (d *demand) sumReports(now time.Time) {
	for _, entry := range d.byKey {
		entry.Waiting = 0
		entry.OldestWaitMs = 0
		entry.LoadDueMs = 0
		entry.Running = 0
	}
	for _, number := range d.reportingEdges() {
		report := d.reports[number]
		age := now.Sub(report.at)
		if age > reportRetention {
			delete(d.reports, number)
		}
		if age > loadExpiry {
			continue
		}
		for _, model := range report.load.Models {
			entry := d.entry(placement.ModelKey(model.Backend, model.Model))
			entry.Waiting += model.Waiting
			entry.Running += float64(model.Running)
			entry.LoadDueMs = peer.EarlierLoadDue(entry.LoadDueMs, model.LoadDueMs)
			if model.Waiting > 0 {
				entry.OldestWaitMs = max(entry.OldestWaitMs, model.OldestWaitMs)
				entry.LastRequestAt = now
			}
		}
	}
}

// cloneByKey returns a deep copy of the demand by model key.
func (d *demand) cloneByKey() map[string]*placement.Demand {
	copies := make(map[string]*placement.Demand, len(d.byKey))
	for name, entry := range d.byKey {
		same := *entry
		copies[name] = &same
	}
	return copies
}

// isSuspect reports whether the replica is suspected by at least minSuspecting, or by all, of the edges whose
// reports have not expired.
func (d *demand) isSuspect(id string, now time.Time) bool {
	suspected, reporting := 0, 0
	for _, report := range d.reports {
		if now.Sub(report.at) > suspicionExpiry {
			continue
		}
		reporting++
		if report.load.Replicas[id].Suspected {
			suspected++
		}
	}
	return suspected >= minSuspecting || suspected > 0 && suspected == reporting
}
