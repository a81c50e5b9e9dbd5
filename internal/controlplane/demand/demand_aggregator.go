package demand

import (
	"maps"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

const (
	// minSuspecting is the number of data planes that must suspect a replica for it to count as suspected, unless there are
	// fewer and all of them suspect it.
	minSuspecting = 2
	// suspicionTTL is how long a control plane's suspicions count.
	suspicionTTL = time.Second
	// demandTTL is how long a control plane's demand counts.
	demandTTL = 1500 * time.Millisecond
)

// DemandAggregator sums the demand and the suspicions that the control planes report to the placement lease's holder. It
// isn't safe for concurrent use: its owner's lock guards it.
type DemandAggregator struct {
	// reports holds the last report of each member, demand the sums by model key.
	reports map[string]*memberReport
	demand  map[string]*modelDemand
	// changed holds the keys of the sums that changed since the last call of UpdateDemands.
	changed map[string]bool
	// waiting holds the keys of the models that have queued requests.
	waiting map[string]bool
	// suspects counts the data planes that suspect each replica; dataPlaneCount counts all data planes whose reports are part of
	// suspects.
	suspects       map[string]int
	dataPlaneCount int
	// dirty is set by changes that may require a new placement plan.
	dirty bool
	// batches holds the numbers of the batches received, by member.
	batches map[string]*receivedBatches
}

// memberReport is a control plane's last demand report. Its suspicions expire before its demand.
type memberReport struct {
	receivedAt     time.Time
	keys           []string
	models         []peer.ModelLoad
	suspects       map[string]int
	dataPlaneCount int
	// suspicionsCounted and demandCounted are set while the report's suspicions and demand are part of the sums.
	suspicionsCounted bool
	demandCounted     bool
}

// modelDemand is a model's demand over all control planes.
type modelDemand struct {
	waiting int
	running int
	// oldestWaitMs holds the longest wait of a queued request, by member.
	oldestWaitMs map[string]float64
	// loadDueMs holds when the model must be loaded (peer.ModelLoad), by member.
	loadDueMs map[string]float64
}

// NewDemandAggregator returns an aggregator without reports.
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

// MarkBatchReceived records the batch of arrivals in a summary and reports whether it is to be counted, that is, whether it was not
// received before. A summary without a batch number counts as new.
func (a *DemandAggregator) MarkBatchReceived(summary peer.LoadSummary) bool {
	if summary.Batch == 0 {
		return true
	}
	received := a.batches[summary.Member]
	if received == nil || received.incarnation != summary.Incarnation {
		received = newReceivedBatches(summary.Incarnation)
		a.batches[summary.Member] = received
	}
	return received.markReceived(summary.Batch)
}

// Add replaces the member's last summary and reports whether a model has queued requests that had none before. The keys
// are those of the summary's models, in the same order. A partial summary replaces only the models that it names.
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
	}
	for index, key := range next.keys {
		newlyWaiting = newlyWaiting || next.models[index].Waiting > 0 && !a.waiting[key]
	}
	if newlyWaiting || previous == nil || !previous.suspicionsCounted || !maps.Equal(previous.suspects, next.suspects) {
		a.dirty = true
	}
	if previous != nil {
		a.removeSuspects(previous)
		a.removeDemand(summary.Member, previous)
	}
	a.reports[summary.Member] = next
	a.addSuspects(next)
	for index, key := range next.keys {
		a.addDemand(summary.Member, key, next.models[index])
	}
	return newlyWaiting
}

// merged returns this report with the models of the partial report next replaced.
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

// addSuspects adds a report's suspicions to the sums.
func (a *DemandAggregator) addSuspects(report *memberReport) {
	a.dataPlaneCount += report.dataPlaneCount
	for id, count := range report.suspects {
		a.suspects[id] += count
	}
}

// removeSuspects subtracts a report's suspicions from the sums, unless they have been subtracted already.
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

// addDemand adds a model's demand to the sums.
func (a *DemandAggregator) addDemand(member, key string, model peer.ModelLoad) {
	sum := a.demand[key]
	if sum == nil {
		sum = &modelDemand{oldestWaitMs: map[string]float64{}, loadDueMs: map[string]float64{}}
		a.demand[key] = sum
	}
	sum.waiting += model.Waiting
	sum.running += model.Running
	if model.Waiting > 0 {
		sum.oldestWaitMs[member] = max(sum.oldestWaitMs[member], model.OldestWaitMs)
		sum.loadDueMs[member] = peer.EarlierLoadDue(sum.loadDueMs[member], model.LoadDueMs)
		a.waiting[key] = true
	}
	a.changed[key] = true
}

// removeDemand subtracts a report's demand from the sums, unless it has been subtracted already.
func (a *DemandAggregator) removeDemand(member string, report *memberReport) {
	if !report.demandCounted {
		return
	}
	report.demandCounted = false
	for index, key := range report.keys {
		sum := a.demand[key]
		if sum == nil {
			continue
		}
		sum.waiting -= report.models[index].Waiting
		sum.running -= report.models[index].Running
		delete(sum.oldestWaitMs, member)
		delete(sum.loadDueMs, member)
		if sum.waiting == 0 {
			delete(a.waiting, key)
		}
		a.changed[key] = true
	}
}

// Expire removes suspicions older than suspicionTTL and reports older than demandTTL.
func (a *DemandAggregator) Expire(now time.Time) {
	for member, report := range a.reports {
		age := now.Sub(report.receivedAt)
		if age <= suspicionTTL {
			continue
		}
		if report.suspicionsCounted && len(report.suspects) > 0 {
			a.dirty = true
		}
		a.removeSuspects(report)
		if age > demandTTL {
			a.removeDemand(member, report)
			delete(a.reports, member)
		}
	}
}

// IsSuspected reports whether enough data planes suspect the replica: two, or all that report.
func (a *DemandAggregator) IsSuspected(id string) bool {
	suspecting := a.suspects[id]
	return suspecting >= minSuspecting || suspecting > 0 && suspecting == a.dataPlaneCount
}

// HasWaiting reports whether any model has queued requests.
func (a *DemandAggregator) HasWaiting() bool { return len(a.waiting) > 0 }

// TakeDirty reports whether a change since the last call may require a new placement plan.
func (a *DemandAggregator) TakeDirty() bool {
	dirty := a.dirty
	a.dirty = false
	return dirty
}

// UpdateDemands writes the sums that changed since the last call into demands, by model key, and sets the time of the last request
// of the models with queued requests to now.
func (a *DemandAggregator) UpdateDemands(demands map[string]*placement.Demand, now time.Time) {
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
		demand.LoadDueMs = 0
		for _, oldest := range sum.oldestWaitMs {
			demand.OldestWaitMs = max(demand.OldestWaitMs, oldest)
		}
		for _, dueMs := range sum.loadDueMs {
			demand.LoadDueMs = peer.EarlierLoadDue(demand.LoadDueMs, dueMs)
		}
		if sum.waiting == 0 && sum.running == 0 {
			delete(a.demand, key)
		}
	}
	clear(a.changed)
	for key := range a.waiting {
		demands[key].LastRequestAt = now
	}
}
