package controlplane

import (
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
	"ferryspar/internal/replicastate"
)

// managedReplica is a replica that the scheduler places models on. The scheduler's own goroutine alone uses it.
type managedReplica struct {
	listed platform.Replica
	state  *replicastate.Replica
	// pending is the planner's action behind the order that is under way, if there is one.
	pending *place.Action
	// began is when that order was decided or, once it is accepted, when that was heard.
	began time.Time
	// overlayAt is when the replica's last report was adopted.
	overlayAt time.Time
	// matched is set once the platform's list was seen to show what the replica reported; contradicted is since when it
	// has shown something else.
	matched      bool
	contradicted time.Time
	// absentSince is since when the platform's list has left the replica out.
	absentSince time.Time
	// intent is the planner's own note for its next run.
	intent string
	// barred holds "replica reference" pairs that data planes must not use.
	barred map[string]bool
	// stale is set while the overlay shown differs from what is known.
	stale bool
}

// replicaTimings are the bounds by which replicas are asked and their answers are waited for.
var replicaTimings = &replicastate.Timings{
	ReportLag:    reportLag,
	BusyPause:    busyPause,
	UnknownPause: unknownPause,
	RefusedPause: refusedPause,
	Settle:       orderSettle,
	ReportAge:    reportAge,
	Distrust:     reportDistrust,
}

const (
	// reportLag is how long after an accepted change a report may still tell the state before.
	reportLag = 250 * time.Millisecond
	// unknownPause is the wait for a report after an instruction without a clear answer.
	unknownPause = 1500 * time.Millisecond
	// busyPause is the wait before a replica is asked again.
	busyPause = 250 * time.Millisecond
	// refusedPause is how long a replica that rejects an instruction is left alone.
	refusedPause = 4 * time.Second
	// orderSettle is how long after its call was given up, and its connection reset, the network may still hold an order.
	orderSettle = 3 * time.Second
	// absenceKept is how long a replica is remembered that the platform's list leaves out.
	absenceKept = 5 * time.Second
	// reportDistrust is how long reports that contradict an answer are taken for old ones.
	reportDistrust = 2 * time.Second
	// reportAge is how long before the question the moment may lie that a report shows. Reports are asked for so long
	// after a grant that follows another one, so that none shows a moment before the last order of the holder before.
	reportAge = 500 * time.Millisecond
)

// manage begins to know a listed replica under the present grant.
func (w *Scheduler) manage(listed *platform.Replica) *managedReplica {
	var fence uint64
	var trustFrom time.Time
	if w.grant != nil {
		fence = w.grant.Record.Fence
		if !w.grant.IsFirst() {
			trustFrom = w.grant.GrantedAt.Add(reportAge)
		}
	}
	return &managedReplica{
		state:  replicastate.New(replicaTimings, fence, trustFrom, references(listed.Models)),
		barred: map[string]bool{},
		stale:  true,
	}
}

// recheckContradicted has a replica asked again that the platform's list has long shown with other models than its
// dataPlaneReport: the list was read after the report by more than the list may lag, and keeps to it.
func (w *Scheduler) recheckContradicted(one *managedReplica, listedAt, now time.Time) {
	if one.matched || one.state.Phase() != replicastate.Idle || !listedAt.Add(-w.listLag()).After(one.overlayAt) {
		return
	}
	if holdsExactly(one.state.Held(), one.listed.Models) {
		one.matched, one.contradicted = true, time.Time{}
		return
	}
	if one.contradicted.IsZero() {
		one.contradicted = now
	}
	if now.Sub(one.contradicted) >= reportDistrust {
		one.contradicted = time.Time{}
		one.state.Recheck(now)
	}
}

// listLag is how far the platform's list may lag.
func (w *Scheduler) listLag() time.Duration {
	return nodesettings.Milliseconds(w.daemon.settings.CloudAPI.MaxLagMs)
}

// holdsExactly tells whether a set of references is that of the listed models and adapters.
func holdsExactly(held map[string]bool, models []platform.LoadedModel) bool {
	amount := 0
	for _, model := range models {
		if !held[model.Name] {
			return false
		}
		for _, adapter := range model.Adapters {
			if !held[place.Reference(model.Name, adapter)] {
				return false
			}
		}
		amount += 1 + len(model.Adapters)
	}
	return amount == len(held)
}
