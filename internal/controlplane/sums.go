package controlplane

import (
	"sync"
	"time"

	"ferryspar/internal/peer"
	"ferryspar/internal/placement"
)

// dataPlaneReport is a data plane's load and when it came.
type dataPlaneReport struct {
	receivedAt time.Time
	load       peer.LoadReport
}

// memberSummary is another control plane's sums and when they came.
type memberSummary struct {
	receivedAt time.Time
	summary    peer.LoadSummary
}

// LoadAggregator sums the loads that this daemon's data planes report, and holds the sums of the other
// control planes. Any goroutine may use it.
type LoadAggregator struct {
	lock    sync.Mutex
	reports map[string]dataPlaneReport
	local   *replicaTotals
	// suspects counts the data planes that suspect each replica.
	suspects map[string]int
	members  map[string]memberSummary
	// arrivals are on their way to the placement holder.
	arrivals *arrivalOutbox
	// waiting marks the models that were waited for when the demand was last told.
	waiting map[string]bool
	// fresh marks the models newly waited for since then.
	newlyWaiting map[string]bool
	// nudge wakes the loop that tells the demand.
	wake chan struct{}
}

// NewLoadAggregator is empty sums.
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

const (
	// reportTTL is how long a data plane's report counts.
	reportTTL = 1500 * time.Millisecond
	// summaryTTL is how long another control plane's sums count.
	summaryTTL = 1500 * time.Millisecond
)

// Hear takes in a data plane's report in place of its last.
func (a *LoadAggregator) AddReport(load peer.LoadReport, now time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.removeReport(load.DataPlane)
	a.reports[load.DataPlane] = dataPlaneReport{now, load}
	a.applyReport(load, 1)
	for _, model := range load.Models {
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

// drop takes a data plane's report out of the sums. The caller holds the lock.
func (a *LoadAggregator) removeReport(dataPlane string) {
	if before, known := a.reports[dataPlane]; known {
		a.applyReport(before.load, -1)
		delete(a.reports, dataPlane)
	}
}

// count adds a report or, with a sign of -1, takes it away. The caller holds the lock.
func (a *LoadAggregator) applyReport(report peer.LoadReport, sign int) {
	a.local.addReport(report, float64(sign))
	for id, one := range report.Replicas {
		if one.Suspected {
			a.suspects[id] += sign
		}
		if a.suspects[id] <= 0 {
			delete(a.suspects, id)
		}
	}
}

// expire drops what is too old. The caller holds the lock.
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

// Leave drops the report of a data plane that reports elsewhere now.
func (a *LoadAggregator) RemoveReport(dataPlane string) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.removeReport(dataPlane)
}

// AddSummary takes in another control plane's sums in place of its last.
func (a *LoadAggregator) AddSummary(summary peer.LoadSummary, now time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.members[summary.Member] = memberSummary{now, summary}
}

// Outlook is what a data plane is told of the load that all others put on the replicas it follows,
// without its own.
func (a *LoadAggregator) FleetLoadFor(dataPlane string, replicas map[string]bool) peer.FleetLoad {
	a.lock.Lock()
	defer a.lock.Unlock()
	own := a.reports[dataPlane].load
	fleet := peer.FleetLoad{Replicas: make(map[string]peer.ReplicaLoad, len(replicas)), Total: a.local.total}
	for _, member := range a.members {
		fleet.Total = addOutcomes(fleet.Total, member.summary.Total, 1)
	}
	for _, load := range own.Replicas {
		fleet.Total = addOutcomes(fleet.Total, cappedOutcomes(load.Outcomes), -1)
	}
	fleet.Total = peer.Outcomes{Served: roundToTenth(fleet.Total.Served), Failed: roundToTenth(fleet.Total.Failed)}
	for id := range replicas {
		if load := a.replicaLoad(id, own); load != (peer.ReplicaLoad{}) {
			fleet.Replicas[id] = load
		}
	}
	return fleet
}

// sum is the load of all other data planes at a replica. The caller holds the lock.
func (a *LoadAggregator) replicaLoad(id string, report peer.LoadReport) peer.ReplicaLoad {
	own := report.Replicas[id]
	sum := addLoad(a.local.byReplica[id], own, -1)
	sameZone := addOutcomes(a.local.byZone[[2]string{report.Zone, id}], cappedOutcomes(own.Outcomes), -1)
	for _, member := range a.members {
		load := member.summary.Replicas[id]
		sum.Running += load.Running
		sum.Tokens += load.Tokens
		sum.PrefillTokens += load.PrefillTokens
		sum.Outcomes = addOutcomes(sum.Outcomes, load.Outcomes, 1)
		sameZone = addOutcomes(sameZone, member.summary.OutcomesByZone[report.Zone][id], 1)
	}
	return roundedLoad(sum, sameZone)
}

// Share is this daemon's sums for the other control planes.
func (a *LoadAggregator) Summary(member string, now time.Time) peer.LoadSummary {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.expire(now)
	summary := peer.LoadSummary{
		Member:         member,
		DataPlaneCount: len(a.reports),
		Total:          a.local.total,
		Replicas:       a.local.rounded(),
	}
	for key, outcomes := range a.local.byZone {
		if failed := roundToTenth(outcomes.Failed); failed > 0 {
			if summary.OutcomesByZone == nil {
				summary.OutcomesByZone = map[string]peer.ZoneOutcomes{}
			}
			if summary.OutcomesByZone[key[0]] == nil {
				summary.OutcomesByZone[key[0]] = peer.ZoneOutcomes{}
			}
			summary.OutcomesByZone[key[0]][key[1]] = peer.Outcomes{Served: roundToTenth(outcomes.Served), Failed: failed}
		}
	}
	a.addContestedOutcomes(summary)
	return summary
}

// addContestedOutcomes adds the outcomes at replicas at which others report failures, so that these can be
// weighed. The caller holds the lock.
func (a *LoadAggregator) addContestedOutcomes(summary peer.LoadSummary) {
	for _, member := range a.members {
		for id, reported := range member.summary.Replicas {
			if own, known := a.local.byReplica[id]; reported.Failed > 0 && known {
				load := summary.Replicas[id]
				load.Outcomes = peer.Outcomes{Served: roundToTenth(own.Served), Failed: roundToTenth(own.Failed)}
				summary.Replicas[id] = load
			}
		}
	}
}
