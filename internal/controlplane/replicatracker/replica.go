package replicatracker

import (
	"strings"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

// Replica is a tracked replica. It is used by the goroutine of its Tracker alone.
type Replica struct {
	listed discovery.Replica
	state  *replicastate.Replica
	// action is the planner's action behind the order that is under way, if there is one.
	action *placement.Action
	// decidedAt is when that order was decided, so it began no earlier; startedAt is the same or, once it is accepted, when
	// its acceptance was received, so it began no later.
	decidedAt, startedAt time.Time
	// reportedAt is when the replica's last report was adopted.
	reportedAt time.Time
	// confirmedByList is set once the platform's list was seen to show what the replica reported; contradictedSince is
	// since when it has shown something else.
	confirmedByList   bool
	contradictedSince time.Time
	// absentSince is since when the platform's list has left the replica out.
	absentSince time.Time
	// intent is the planner's own note for its next run.
	intent string
	// cordoned holds what data planes must not use, as cordonKey names it.
	cordoned map[string]bool
	// unpublished is set while the observation published last differs from what is known.
	unpublished bool
}

// ID is the replica's id in the platform's list.
func (r *Replica) ID() string { return r.listed.ID }

// Listed is the replica's entry in the newest list that has it.
func (r *Replica) Listed() discovery.Replica { return r.listed }

// Backend is the backend that the replica belongs to.
func (r *Replica) Backend() string { return r.listed.Backend }

// Address is where the replica takes orders.
func (r *Replica) Address() string { return r.listed.Address }

// IsDraining tells whether the platform is about to end the replica.
func (r *Replica) IsDraining() bool { return r.listed.State == discovery.Draining }

// State is the state machine of the replica. Orders, responses and reports reach it through the Tracker; everything else
// may be asked of it directly.
func (r *Replica) State() *replicastate.Replica { return r.state }

// Action is the planner's action behind the order that is under way, or nil.
func (r *Replica) Action() *placement.Action { return r.action }

// StartedAt is when the order under way was decided or, once it is accepted, when its acceptance was received.
func (r *Replica) StartedAt() time.Time { return r.startedAt }

// DecidedAt is when the order under way was decided.
func (r *Replica) DecidedAt() time.Time { return r.decidedAt }

// Intent is the planner's note of its last run.
func (r *Replica) Intent() string { return r.intent }

// SetIntent keeps the planner's note for its next run.
func (r *Replica) SetIntent(intent string) { r.intent = intent }

// Phase is the part of a generation that the replica does, or will do once a change under way is done.
func (r *Replica) Phase() discovery.Phase {
	if target := r.state.TargetPhase(); target != "" {
		return discovery.Phase(target)
	}
	return r.listed.Phase
}

// IsChangingPhase tells whether a change of the phase is under way or of unknown fate.
func (r *Replica) IsChangingPhase() bool {
	return r.state.TargetPhase() != r.state.ServingPhase()
}

// IsIdle tells whether the replica's state is known and neither an order is under way nor the planner makes room on it.
func (r *Replica) IsIdle() bool {
	return r.state.Phase() == replicastate.Idle && r.intent == ""
}

// MayHaveLoaded tells whether the replica may have loaded a reference in any state that is still possible.
func (r *Replica) MayHaveLoaded(reference string) bool {
	return r.state.Loaded()[reference] || r.state.PossiblyLoaded()[reference]
}

// observation is what is known of the replica, for publication.
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

// server is the replica as the planner sees it.
func (r *Replica) server(suspected bool, known disk, now time.Time) *placement.Server {
	return &placement.Server{
		ID:          r.listed.ID,
		Backend:     r.listed.Backend,
		Zone:        r.listed.Zone,
		Draining:    r.IsDraining(),
		Lost:        suspected,
		Loaded:      r.state.CertainlyLoaded(),
		MaybeLoaded: r.state.PossiblyLoaded(),
		OnDisk:      known.certain,
		MaybeOnDisk: known.possible,
		Intent:      r.intent,
		Ready:       r.state.IsReady(now),
	}
}

// cordonKey names a reference at a replica in lists of what data planes must not use. The form goes on the wire.
func cordonKey(id, reference string) string { return id + " " + reference }

// cordon has data planes stop using what is to be unloaded: the model or adapter, and a model's adapters with it.
func (r *Replica) cordon(unloaded string) {
	r.cordoned[cordonKey(r.listed.ID, unloaded)] = true
	for reference := range r.state.Loaded() {
		if strings.HasPrefix(reference, unloaded+"/") {
			r.cordoned[cordonKey(r.listed.ID, reference)] = true
		}
	}
	r.unpublished = true
}

// cordonAll has data planes stop using all that the replica has loaded.
func (r *Replica) cordonAll() {
	for reference := range r.state.Loaded() {
		r.cordoned[cordonKey(r.listed.ID, reference)] = true
	}
	r.unpublished = true
}

// refreshCordons lets data planes use again what no order unloads any more.
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

// recheckContradicted has a replica polled again that the list has long shown with other models than its report: the list
// was made later than the report by more than the list may lag, and keeps to it.
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
	if now.Sub(r.contradictedSince) >= distrustPeriod {
		r.contradictedSince = time.Time{}
		r.state.Recheck(now)
	}
}

// RunningDiskLoad returns how long a load that was expected to come from the replica's own disk has run at least, if a
// report requested at a moment shows that it still runs.
func (r *Replica) RunningDiskLoad(report replicastate.Report, polledAt time.Time) (elapsed time.Duration, running bool) {
	if !r.ExpectsDiskLoad() {
		return 0, false
	}
	return polledAt.Add(-ReportLag).Sub(r.startedAt), r.state.IsCarryingOut(report)
}

// ExpectsDiskLoad tells whether the load under way is one of a model that is taken to come from the replica's own disk.
func (r *Replica) ExpectsDiskLoad() bool {
	return r.action != nil && r.action.Load && !placement.IsAdapter(r.action.Model) && (!r.action.FromStore || r.action.MaybeFromDisk)
}

// PossibleModels returns the models that the replica may have loaded in any state that is still possible.
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
