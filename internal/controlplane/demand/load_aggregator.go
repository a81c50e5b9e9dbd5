package demand

import (
	"maps"
	"sync"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

const (
	// reportTTL is how long a data plane's report counts.
	reportTTL = 1500 * time.Millisecond
	// summaryTTL is how long another control plane's summary counts.
	summaryTTL = 1500 * time.Millisecond
)

// LoadAggregator sums the loads that data planes report to this control plane, and keeps the last summary of each other
// control plane. It is safe for concurrent use.
type LoadAggregator struct {
	// lock guards all fields and everything that they refer to.
	lock sync.Mutex
	// reports holds the last report of each data plane, local their sums.
	reports map[string]dataPlaneReport
	local   *replicaTotals
	// suspects counts the data planes that suspect each replica.
	suspects map[string]int
	// members holds the last summary by the address of the other control plane.
	members map[string]memberSummary
	// arrivals holds what has not been delivered to the placement lease's holder yet.
	arrivals *arrivalOutbox
	// waiting holds the keys of the models that had queued requests when the demand was last sent, or have had any since;
	// newlyWaiting holds only the latter.
	waiting      map[string]bool
	newlyWaiting map[string]bool
	// wake receives a value when newlyWaiting is to be sent.
	wake chan struct{}
}

// dataPlaneReport is a data plane's last report.
type dataPlaneReport struct {
	receivedAt time.Time
	report     peer.LoadReport
}

// memberSummary is another control plane's last summary.
type memberSummary struct {
	receivedAt time.Time
	summary    peer.LoadSummary
}

// NewLoadAggregator returns an aggregator without reports.
func NewLoadAggregator() *LoadAggregator {
	return &LoadAggregator{
		reports:      map[string]dataPlaneReport{},
		local:        newReplicaTotals(),
		suspects:     map[string]int{},
		members:      map[string]memberSummary{},
		arrivals:     newArrivalOutbox(),
		waiting:      map[string]bool{},
		newlyWaiting: map[string]bool{},
		wake:         make(chan struct{}, 1),
	}
}

// AddReport replaces a data plane's last report.
func (a *LoadAggregator) AddReport(report peer.LoadReport, now time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.removeReport(report.DataPlane)
	a.reports[report.DataPlane] = dataPlaneReport{receivedAt: now, report: report}
	a.applyReport(report, added)
	for _, model := range report.Models {
		key := placement.ModelKey(model.Backend, model.Model)
		if model.Arrivals > 0 || model.PrefillMs > 0 {
			a.arrivals.add(key, model)
		}
		if model.Waiting > 0 && !a.waiting[key] {
			a.waiting[key], a.newlyWaiting[key] = true, true
		}
	}
	if len(a.newlyWaiting) > 0 {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// RemoveReport drops the report of a data plane that now reports to another control plane.
func (a *LoadAggregator) RemoveReport(dataPlane string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.removeReport(dataPlane)
}

// removeReport drops a data plane's report. The caller holds the lock.
func (a *LoadAggregator) removeReport(dataPlane string) {
	if previous, known := a.reports[dataPlane]; known {
		a.applyReport(previous.report, removed)
		delete(a.reports, dataPlane)
	}
}

// applyReport adds a report to the sums or subtracts it. The caller holds the lock.
func (a *LoadAggregator) applyReport(report peer.LoadReport, change sign) {
	a.local.applyReport(report, change)
	for id, load := range report.Replicas {
		if load.Suspected {
			a.suspects[id] += int(change)
		}
		if a.suspects[id] <= 0 {
			delete(a.suspects, id)
		}
	}
}

// expire drops reports older than reportTTL and summaries older than summaryTTL. The caller holds the lock.
func (a *LoadAggregator) expire(now time.Time) {
	for dataPlane, entry := range a.reports {
		if now.Sub(entry.receivedAt) > reportTTL {
			a.removeReport(dataPlane)
		}
	}
	for member, entry := range a.members {
		if now.Sub(entry.receivedAt) > summaryTTL {
			delete(a.members, member)
		}
	}
}

// AddSummary replaces another control plane's last summary.
func (a *LoadAggregator) AddSummary(summary peer.LoadSummary, now time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.members[summary.Member] = memberSummary{receivedAt: now, summary: summary}
}

// FleetLoadFor returns the rounded load that all data planes except the named one put on the replicas.
func (a *LoadAggregator) FleetLoadFor(dataPlane string, replicas []string) peer.FleetLoad {
	a.lock.Lock()
	defer a.lock.Unlock()
	own := a.reports[dataPlane].report
	total := a.local.total
	for _, member := range a.members {
		total = addOutcomes(total, member.summary.Total, added)
	}
	for _, load := range own.Replicas {
		total = addOutcomes(total, cappedOutcomes(load.Outcomes), removed)
	}
	fleet := peer.FleetLoad{
		Total:    roundedOutcomes(total),
		Replicas: make(map[string]peer.ReplicaLoad, len(replicas)),
	}
	for _, id := range replicas {
		if load := a.loadOfOthers(id, own); load != (peer.ReplicaLoad{}) {
			fleet.Replicas[id] = load
		}
	}
	return fleet
}

// loadOfOthers returns the load that all data planes except the one with the given report put on a replica. The caller
// holds the lock.
func (a *LoadAggregator) loadOfOthers(id string, report peer.LoadReport) peer.ReplicaLoad {
	own := report.Replicas[id]
	sum := addLoad(a.local.byReplica[id], own, removed)
	sameZone := a.local.byZone[zoneReplica{zone: report.Zone, replica: id}]
	sameZone = addOutcomes(sameZone, cappedOutcomes(own.Outcomes), removed)
	for _, member := range a.members {
		load := member.summary.Replicas[id]
		sum.Running += load.Running
		sum.Tokens += load.Tokens
		sum.PrefillTokens += load.PrefillTokens
		sum.Outcomes = addOutcomes(sum.Outcomes, load.Outcomes, added)
		sameZone = addOutcomes(sameZone, member.summary.OutcomesByZone[report.Zone][id], added)
	}
	return roundedLoad(sum, sameZone)
}

// Summary drops expired reports and summaries, and returns this control plane's sums for the others.
func (a *LoadAggregator) Summary(member string, now time.Time) peer.LoadSummary {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	summary := peer.LoadSummary{
		Member:         member,
		DataPlaneCount: len(a.reports),
		Total:          a.local.total,
		Replicas:       a.local.rounded(),
		OutcomesByZone: a.local.failuresByZone(),
	}
	a.addContestedOutcomes(summary)
	return summary
}

// addContestedOutcomes adds the local outcomes at replicas for which other control planes report failures, so that local
// successes are weighed against these. The caller holds the lock.
func (a *LoadAggregator) addContestedOutcomes(summary peer.LoadSummary) {
	for _, member := range a.members {
		for id, reported := range member.summary.Replicas {
			if local, known := a.local.byReplica[id]; reported.Failed > 0 && known {
				load := summary.Replicas[id]
				load.Outcomes = roundedOutcomes(local.Outcomes)
				summary.Replicas[id] = load
			}
		}
	}
}

// DemandSummary returns this control plane's part of the demand for the placement lease's holder: a batch of arrivals, and
// the requests that are queued and running now. A batch that may not have been received is resent before a new one is
// made. A partial summary holds only models that newly have queued requests. The caller passes the summary to
// MarkDelivered or MarkUncertain once its call has succeeded or failed.
func (a *LoadAggregator) DemandSummary(member string, partial bool) peer.LoadSummary {
	a.lock.Lock()
	defer a.lock.Unlock()
	included := func(key string) bool { return !partial || a.newlyWaiting[key] }
	batch := a.nextBatch(partial, included)
	summary := peer.LoadSummary{
		Member:         member,
		DataPlaneCount: len(a.reports),
		HasDemand:      true,
		Partial:        partial,
		Batch:          batch.number,
		Models:         a.modelDemand(batch, included),
	}
	clear(a.newlyWaiting)
	if !partial {
		summary.SuspectCounts = maps.Clone(a.suspects)
	}
	return summary
}

// nextBatch returns the batch of arrivals to send next. Its number is 0 if there are none. The caller holds the lock.
func (a *LoadAggregator) nextBatch(partial bool, included func(key string) bool) arrivalBatch {
	if !partial {
		if batch, uncertain := a.arrivals.nextResend(); uncertain {
			return batch
		}
	}
	return a.arrivals.nextBatch(included)
}

// modelDemand returns the arrivals of the batch together with the queued and running requests of the included models, and
// records which models have queued requests. The caller holds the lock.
func (a *LoadAggregator) modelDemand(batch arrivalBatch, included func(key string) bool) []peer.ModelLoad {
	models := make(map[string]peer.ModelLoad, len(batch.models))
	maps.Copy(models, batch.models)
	a.waiting = map[string]bool{}
	for _, entry := range a.reports {
		for _, model := range entry.report.Models {
			key := placement.ModelKey(model.Backend, model.Model)
			if model.Waiting > 0 {
				a.waiting[key] = true
			}
			if included(key) {
				models[key] = addDemand(models[key], model)
			}
		}
	}
	var list []peer.ModelLoad
	for key, model := range models {
		model.Backend, model.Model = placement.SplitModelKey(key)
		list = append(list, model)
	}
	return list
}

// addDemand adds a report's queued and running requests for a model to a sum.
func addDemand(sum, model peer.ModelLoad) peer.ModelLoad {
	sum.Waiting += model.Waiting
	sum.Running += model.Running
	sum.LoadDueMs = peer.EarlierLoadDue(sum.LoadDueMs, model.LoadDueMs)
	sum.OldestWaitMs = max(sum.OldestWaitMs, model.OldestWaitMs)
	return sum
}

// MarkDelivered records that a demand summary was received.
func (a *LoadAggregator) MarkDelivered(summary peer.LoadSummary) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.arrivals.markDelivered(summary.Batch)
}

// MarkUncertain records that a demand summary may not have been received: its arrivals are resent under the same number,
// and its models with queued requests count as newly waiting again.
func (a *LoadAggregator) MarkUncertain(summary peer.LoadSummary) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.arrivals.markUncertain(summary.Batch)
	for _, model := range summary.Models {
		delete(a.waiting, placement.ModelKey(model.Backend, model.Model))
	}
}
