package controlplane

import (
	"maps"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

const (
	// minSuspecting is how many data planes must suspect a replica, unless all of them do.
	minSuspecting = 2
	// suspicionTTL is how long a control plane's suspicions count.
	suspicionTTL = time.Second
	// demandTTL is how long a control plane's demand counts.
	demandTTL = 1500 * time.Millisecond
)

// memberReport is a control plane's last share of the demand; suspecting and counted tell whether
// it is part of the sums.
type memberReport struct {
	receivedAt        time.Time
	keys              []string
	models            []peer.ModelLoad
	suspects          map[string]int
	dataPlaneCount    int
	suspicionsCounted bool
	demandCounted     bool
}

// modelDemand is a model's demand over all control planes; oldest is the longest wait by control
// plane, in milliseconds.
type modelDemand struct {
	waiting         int
	running         int
	latencyTargetMs float64
	oldestWaitMs    map[string]float64
}

// DemandAggregator sums the demand and the suspicions that the control planes share, at the placement holder.
// It is not safe for concurrent use; the scheduler's lock guards it.
type DemandAggregator struct {
	reports map[string]*memberReport
	demand  map[string]*modelDemand
	// touched marks the sums that changed since they were last written.
	changed  map[string]bool
	waiting  map[string]bool
	suspects map[string]int
	// suspecting counts the data planes behind the suspicions that count now.
	dataPlaneCount int
	// stirred is set by what may call for a new plan.
	dirty bool
	// batches are those heard, by member.
	batches map[string]*receivedBatches
}

// NewDemandAggregator is an empty tally.
func NewDemandAggregator() *DemandAggregator {
	return &DemandAggregator{
		reports:  map[string]*memberReport{},
		demand:   map[string]*modelDemand{},
		changed:  map[string]bool{},
		waiting:  map[string]bool{},
		suspects: map[string]int{},
		batches:  map[string]*receivedBatches{},
	}
}

// MarkBatchReceived notes the batch of arrivals in a share and tells whether it was not heard before.
func (a *DemandAggregator) MarkBatchReceived(summary peer.LoadSummary) bool {
	if summary.Batch == 0 {
		return true
	}
	received := a.batches[summary.Member]
	if received == nil || received.incarnation != summary.Incarnation {
		received = &receivedBatches{incarnation: summary.Incarnation, numbers: map[uint64]bool{}}
		a.batches[summary.Member] = received
	}
	return received.markReceived(summary.Batch)
}

// Hear takes in a share, whose models' keys are given, and reports whether a model is newly waited
// for. A partial share replaces only the models that it names.
func (a *DemandAggregator) Add(summary peer.LoadSummary, keys []string, now time.Time) (newlyWaiting bool) {
	next := &memberReport{
		receivedAt:        now,
		keys:              keys,
		models:            summary.Models,
		suspects:          summary.SuspectCounts,
		dataPlaneCount:    summary.DataPlaneCount,
		suspicionsCounted: true,
		demandCounted:     true,
	}
	previous := a.reports[summary.Member]
	if summary.Partial && previous != nil && previous.demandCounted {
		next = previous.merged(next)
		keys, summary.Models = next.keys, next.models
	}
	for index, key := range keys {
		newlyWaiting = newlyWaiting || summary.Models[index].Waiting > 0 && !a.waiting[key]
	}
	a.dirty = a.dirty || newlyWaiting || previous == nil || !previous.suspicionsCounted || !maps.Equal(previous.suspects, next.suspects)
	if previous != nil {
		a.removeSuspects(previous)
		a.removeDemand(summary.Member, previous)
	}
	a.reports[summary.Member] = next
	a.dataPlaneCount += next.dataPlaneCount
	for id, count := range next.suspects {
		a.suspects[id] += count
	}
	for index, key := range keys {
		a.addDemand(summary.Member, key, summary.Models[index])
	}
	return newlyWaiting
}

// merged is this report with the models of the next, partial one in place.
func (r *memberReport) merged(next *memberReport) *memberReport {
	merged := &memberReport{
		receivedAt:        next.receivedAt,
		keys:              next.keys,
		models:            next.models,
		suspects:          r.suspects,
		dataPlaneCount:    next.dataPlaneCount,
		suspicionsCounted: true,
		demandCounted:     true,
	}
	replaced := make(map[string]bool, len(next.keys))
	for _, key := range next.keys {
		replaced[key] = true
	}
	for index, key := range r.keys {
		if !replaced[key] {
			merged.keys = append(merged.keys, key)
			merged.models = append(merged.models, r.models[index])
		}
	}
	return merged
}

// addDemand adds a model's demand.
func (a *DemandAggregator) addDemand(member, key string, model peer.ModelLoad) {
	demand := a.demand[key]
	if demand == nil {
		demand = &modelDemand{oldestWaitMs: map[string]float64{}}
		a.demand[key] = demand
	}
	demand.waiting += model.Waiting
	demand.running += model.Running
	demand.latencyTargetMs = max(demand.latencyTargetMs, model.LatencyTargetMs)
	if model.Waiting > 0 {
		demand.oldestWaitMs[member] = max(demand.oldestWaitMs[member], model.OldestWaitMs)
		a.waiting[key] = true
	}
	a.changed[key] = true
}

// removeDemand takes a report's demand away, if it counts.
func (a *DemandAggregator) removeDemand(member string, report *memberReport) {
	if !report.demandCounted {
		return
	}
	report.demandCounted = false
	for index, key := range report.keys {
		demand := a.demand[key]
		if demand == nil {
			continue
		}
		demand.waiting -= report.models[index].Waiting
		demand.running -= report.models[index].Running
		delete(demand.oldestWaitMs, member)
		if demand.waiting == 0 {
			delete(a.waiting, key)
		}
		a.changed[key] = true
	}
}

// removeSuspects takes a report's suspicions away, if they count.
func (a *DemandAggregator) removeSuspects(report *memberReport) {
	if !report.suspicionsCounted {
		return
	}
	report.suspicionsCounted = false
	a.dataPlaneCount -= report.dataPlaneCount
	for id, count := range report.suspects {
		if a.suspects[id] -= count; a.suspects[id] <= 0 {
			delete(a.suspects, id)
		}
	}
}

// Expire takes away what is too old, suspicions before demand.
func (a *DemandAggregator) Expire(now time.Time) {
	for member, report := range a.reports {
		age := now.Sub(report.receivedAt)
		if age <= suspicionTTL {
			continue
		}
		a.dirty = a.dirty || report.suspicionsCounted && len(report.suspects) > 0
		a.removeSuspects(report)
		if age > demandTTL {
			a.removeDemand(member, report)
			delete(a.reports, member)
		}
	}
}

// Suspected tells whether enough data planes suspect the replica: two, or all that are heard.
func (a *DemandAggregator) IsSuspected(id string) bool {
	suspected := a.suspects[id]
	return suspected >= minSuspecting || suspected > 0 && suspected == a.dataPlaneCount
}

// WriteTo writes the sums that changed into the demand.
func (a *DemandAggregator) WriteTo(demands map[string]*placement.Demand, now time.Time) {
	for key := range a.changed {
		sum := a.demand[key]
		demand := demands[key]
		if demand == nil {
			demand = &placement.Demand{}
			demands[key] = demand
		}
		demand.Waiting = sum.waiting
		demand.Running = float64(sum.running)
		demand.OldestWaitMs = 0
		demand.LatencyTargetMs = max(demand.LatencyTargetMs, sum.latencyTargetMs)
		for _, oldest := range sum.oldestWaitMs {
			demand.OldestWaitMs = max(demand.OldestWaitMs, oldest)
		}
		if sum.waiting == 0 && sum.running == 0 {
			delete(a.demand, key)
		}
	}
	clear(a.changed)
	for key := range a.waiting {
		demands[key].LastSeen = now
	}
}

// Stirred tells whether something may call for a new plan since it was last asked.
func (a *DemandAggregator) TakeDirty() bool {
	dirty := a.dirty
	a.dirty = false
	return dirty
}

// HasWaiting tells whether requests wait for any model.
func (a *DemandAggregator) HasWaiting() bool { return len(a.waiting) > 0 }
