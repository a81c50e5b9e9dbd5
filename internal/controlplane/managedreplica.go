package controlplane

import (
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

// trackedReplica is a replica that the scheduler places models on. The scheduler's own goroutine alone uses it.
type trackedReplica struct {
	listed discovery.Replica
	state  *replicastate.Replica
	// pending is the planner's action behind the order that is under way, if there is one.
	pendingAction *placement.Action
	// began is when that order was decided or, once it is accepted, when that was heard.
	startedAt time.Time
	// reportedAt is when the replica's last report was adopted.
	reportedAt time.Time
	// matched is set once the platform's list was seen to show what the replica reported; contradicted is since when it
	// has shown something else.
	confirmedByList   bool
	contradictedSince time.Time
	// absentSince is since when the platform's list has left the replica out.
	absentSince time.Time
	// intent is the planner's own note for its next run.
	intent string
	// barred holds "replica reference" pairs that data planes must not use.
	cordoned map[string]bool
	// stale is set while the overlay shown differs from what is known.
	unpublished bool
}

// replicaTimings are the bounds by which replicas are asked and their answers are waited for.
var replicaTimings = &replicastate.Timings{
	ReportLag:        reportLag,
	PollInterval:     pollInterval,
	UnknownFateDelay: unknownFateDelay,
	RejectedBackoff:  rejectedBackoff,
	MaxOrderLifetime: maxOrderLifetime,
	MaxReportAge:     maxReportAge,
	DistrustPeriod:   distrustPeriod,
}

const (
	// reportLag is how long after an accepted change a report may still tell the state before.
	reportLag = 250 * time.Millisecond
	// unknownFateDelay is the wait for a report after an instruction without a clear answer.
	unknownFateDelay = 1500 * time.Millisecond
	// pollInterval is the wait before a replica is asked again.
	pollInterval = 250 * time.Millisecond
	// rejectedBackoff is how long a replica that rejects an instruction is left alone.
	rejectedBackoff = 4 * time.Second
	// maxOrderLifetime is how long after its call was given up, and its connection reset, the network may still hold an order.
	maxOrderLifetime = 3 * time.Second
	// absenceTimeout is how long a replica is remembered that the platform's list leaves out.
	absenceTimeout = 5 * time.Second
	// distrustPeriod is how long reports that contradict an answer are taken for old ones.
	distrustPeriod = 2 * time.Second
	// maxReportAge is how long before the question the moment may lie that a report shows. Reports are asked for so long
	// after a grant that follows another one, so that none shows a moment before the last order of the holder before.
	maxReportAge = 500 * time.Millisecond
)

// manage begins to know a listed replica under the present grant.
func (s *Scheduler) track(listed *discovery.Replica) *trackedReplica {
	var fence uint64
	var trustFrom time.Time
	if s.trackedGrant != nil {
		fence = s.trackedGrant.Record.Fence
		if !s.trackedGrant.IsFirst() {
			trustFrom = s.trackedGrant.GrantedAt.Add(maxReportAge)
		}
	}
	return &trackedReplica{
		state:       replicastate.New(replicaTimings, fence, trustFrom, loadedReferences(listed.Models)),
		cordoned:    map[string]bool{},
		unpublished: true,
	}
}

// recheckContradicted has a replica asked again that the platform's list has long shown with other models than its
// dataPlaneReport: the list was read after the report by more than the list may lag, and keeps to it.
func (s *Scheduler) recheckContradicted(tracked *trackedReplica, listedAt, now time.Time) {
	if tracked.confirmedByList || tracked.state.Phase() != replicastate.Idle || !listedAt.Add(-s.listLag()).After(tracked.reportedAt) {
		return
	}
	if hasExactlyLoaded(tracked.state.Loaded(), tracked.listed.Models) {
		tracked.confirmedByList, tracked.contradictedSince = true, time.Time{}
		return
	}
	if tracked.contradictedSince.IsZero() {
		tracked.contradictedSince = now
	}
	if now.Sub(tracked.contradictedSince) >= distrustPeriod {
		tracked.contradictedSince = time.Time{}
		tracked.state.Recheck(now)
	}
}

// listLag is how far the platform's list may lag.
func (s *Scheduler) listLag() time.Duration {
	return nodesettings.Milliseconds(s.node.settings.CloudAPI.MaxLagMs)
}

// hasExactlyLoaded tells whether a set of references is that of the listed models and adapters.
func hasExactlyLoaded(loaded map[string]bool, models []discovery.LoadedModel) bool {
	count := 0
	for _, model := range models {
		if !loaded[model.Name] {
			return false
		}
		for _, adapter := range model.Adapters {
			if !loaded[placement.Reference(model.Name, adapter)] {
				return false
			}
		}
		count += 1 + len(model.Adapters)
	}
	return count == len(loaded)
}
