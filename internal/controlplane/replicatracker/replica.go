package replicatracker

import (
	"strings"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

// Replica is a tracked replica. It is used only by the goroutine of its Tracker.
type Replica struct {
	listed discovery.Replica
	state  *replicastate.Replica
	// action is the planner's action that led to the order in progress, if there is one.
	action *placement.Action
	// decidedAt is when that order was decided, so its execution began no earlier. startedAt is the same until the order is
	// accepted; then it is when the acceptance was received, so execution began no later.
	decidedAt, startedAt time.Time
	// reportedAt is when the replica's last report was applied.
	reportedAt time.Time
	// confirmedByList is true once the platform's list has matched the replica's report; contradictedSince is since when the
	// list has differed from it.
	confirmedByList   bool
	contradictedSince time.Time
	// absentSince is since when the replica has been missing from the platform's list.
	absentSince time.Time
	// intent is a note that the planner keeps for its next run.
	intent string
	// cordoned holds the references that data planes must not use, in the form of cordonKey.
	cordoned map[string]bool
	// unpublished is true while the published observation is out of date.
	unpublished bool
}

// ID returns the replica's id in the platform's list.
func (r *Replica) ID() string { return r.listed.ID }

// Listed returns the replica's entry in the newest list that includes it.
func (r *Replica) Listed() discovery.Replica { return r.listed }

// Backend returns the backend that the replica belongs to.
func (r *Replica) Backend() string { return r.listed.Backend }

// Address returns the address at which the replica accepts orders.
func (r *Replica) Address() string { return r.listed.Address }

// IsDraining reports whether the platform is about to terminate the replica.
func (r *Replica) IsDraining() bool { return r.listed.State == discovery.StateDraining }

// State returns the replica's state machine. Orders, responses and reports must go through the Tracker; everything else may be
// called on it directly.
func (r *Replica) State() *replicastate.Replica { return r.state }

// Action returns the planner's action that led to the order in progress, or nil.
func (r *Replica) Action() *placement.Action { return r.action }

// StartedAt returns when the order in progress was decided or, once it is accepted, when its acceptance was received.
func (r *Replica) StartedAt() time.Time { return r.startedAt }

// DecidedAt returns when the order in progress was decided.
func (r *Replica) DecidedAt() time.Time { return r.decidedAt }

// Intent returns the note that the planner left in its last run.
func (r *Replica) Intent() string { return r.intent }

// SetIntent stores the planner's note for its next run.
func (r *Replica) SetIntent(intent string) { r.intent = intent }

// Phase returns the replica's serving phase, or the phase that it will have once a change in progress is done.
func (r *Replica) Phase() discovery.Phase {
	if target := r.state.TargetPhase(); target != "" {
		return discovery.Phase(target)
	}
	return r.listed.Phase
}

// IsChangingPhase reports whether a phase change is in progress or has an unknown outcome.
func (r *Replica) IsChangingPhase() bool {
	return r.state.TargetPhase() != r.state.ServingPhase()
}

// IsIdle reports whether the replica's state is known, no order is in progress and the planner is not making room on it.
func (r *Replica) IsIdle() bool {
	return r.state.Phase() == replicastate.Idle && r.intent == ""
}

// MayHaveLoaded reports whether the replica has a reference loaded in any state that is still possible.
func (r *Replica) MayHaveLoaded(reference string) bool {
	return r.state.Loaded()[reference] || r.state.PossiblyLoaded()[reference]
}

// observation returns the replica's state for publication.
func (r *Replica) observation() observation {
	observed := observation{
		reportedAt: r.reportedAt,
		models:     loadedModels(r.state.Loaded()),
		phase:      discovery.Phase(r.state.ServingPhase()),
	}
	for key := range r.cordoned {
		observed.cordoned = append(observed.cordoned, key)
	}
	return observed
}

// server returns the planner's view of the replica.
func (r *Replica) server(suspected bool, known disk, now time.Time) *placement.Server {
	return &placement.Server{
		ID:          r.listed.ID,
		Backend:     r.listed.Backend,
		Zone:        r.listed.Zone,
		Draining:    r.IsDraining(),
		Suspected:   suspected,
		Loaded:      r.state.CertainlyLoaded(),
		MaybeLoaded: r.state.PossiblyLoaded(),
		OnDisk:      known.certain,
		MaybeOnDisk: known.possible,
		Intent:      r.intent,
		Ready:       r.state.IsReady(now),
	}
}

// cordonKey identifies a reference at a replica among those that data planes must not use. It is part of the wire format.
func cordonKey(id, reference string) string { return id + " " + reference }

// cordon makes data planes stop using a model or adapter that is to be unloaded, and with a model its adapters.
func (r *Replica) cordon(unloaded string) {
	r.cordoned[cordonKey(r.listed.ID, unloaded)] = true
	for reference := range r.state.Loaded() {
		if strings.HasPrefix(reference, unloaded+"/") {
			r.cordoned[cordonKey(r.listed.ID, reference)] = true
		}
	}
	r.unpublished = true
}

// cordonAll makes data planes stop using everything that the replica has loaded.
func (r *Replica) cordonAll() {
	for reference := range r.state.Loaded() {
		r.cordoned[cordonKey(r.listed.ID, reference)] = true
	}
	r.unpublished = true
}

// refreshCordons rebuilds the cordons from the changes that may still take effect, so that data planes can use all other
// references again.
func (r *Replica) refreshCordons() {
	r.cordoned = map[string]bool{}
	for _, change := range r.state.UncertainChanges() {
		switch {
		case change.ServingPhase != "":
			r.cordonAll()
		case !change.Load:
			r.cordon(change.Reference)
		}
	}
	r.unpublished = true
}

// recheckContradicted schedules a poll of a replica if the list has differed from its last report for contradictionTimeout.
// Only a list that is newer than the report by more than the maximum list lag counts.
func (r *Replica) recheckContradicted(listLag time.Duration, asOf, now time.Time) {
	if r.confirmedByList || r.state.Phase() != replicastate.Idle || !asOf.Add(-listLag).After(r.reportedAt) {
		return
	}
	if hasExactlyLoaded(r.state.Loaded(), r.listed.Models) {
		r.confirmedByList, r.contradictedSince = true, time.Time{}
		return
	}
	if r.contradictedSince.IsZero() {
		r.contradictedSince = now
	}
	if now.Sub(r.contradictedSince) >= contradictionTimeout {
		r.contradictedSince = time.Time{}
		r.state.Recheck(now)
	}
}

// RunningDiskLoad returns the minimum time that a load expected to come from the replica's own disk has been running, if a
// report requested at polledAt shows that it still runs.
func (r *Replica) RunningDiskLoad(report replicastate.Report, polledAt time.Time) (elapsed time.Duration, running bool) {
	if !r.ExpectsDiskLoad() {
		return 0, false
	}
	return polledAt.Add(-ReportLag).Sub(r.startedAt), r.state.IsExecuting(report)
}

// ExpectsDiskLoad reports whether the order in progress loads a model that is assumed to come from the replica's own disk.
func (r *Replica) ExpectsDiskLoad() bool {
	return r.action != nil && r.action.Load && !placement.IsAdapter(r.action.Model) && (!r.action.FromStore || r.action.MaybeFromDisk)
}

// PossibleModels returns the models that the replica has loaded in any state that is still possible.
func (r *Replica) PossibleModels() []string {
	var models []string
	for reference := range r.state.Loaded() {
		if !placement.IsAdapter(reference) {
			models = append(models, reference)
		}
	}
	for reference := range r.state.PossiblyLoaded() {
		if !placement.IsAdapter(reference) && !r.state.Loaded()[reference] {
			models = append(models, reference)
		}
	}
	return models
}
