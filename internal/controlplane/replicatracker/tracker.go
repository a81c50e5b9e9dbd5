package replicatracker

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

// Tracker tracks the replicas of the platform's list under one grant of the placement lease at a time. It is not safe for
// concurrent use.
type Tracker struct {
	// listLag is the maximum lag of the platform's list behind the replicas.
	listLag      time.Duration
	disks        *DiskInventory
	observations *Observations
	// fence and trustFrom belong to the grant under which the replicas are tracked.
	fence     uint64
	trustFrom time.Time
	byID      map[string]*Replica
	// listed holds the replicas of the newest list, ordered by id.
	listed []*Replica
	// adoptedList identifies that list by its first entry; nil if it was empty.
	adoptedList *discovery.Replica
	// unpublished is true while the observations are out of date.
	unpublished bool
}

// New returns a tracker without replicas. The platform's list may lag by listLag. The tracker records what it learns in the
// inventory and the observations.
func New(listLag time.Duration, disks *DiskInventory, observations *Observations) *Tracker {
	return &Tracker{listLag: listLag, disks: disks, observations: observations, byID: map[string]*Replica{}}
}

// Reset drops all replicas and continues under a lease grant with the given fence. A report requested before trustFrom may not
// yet show the effects of an earlier holder's orders, so none is requested before then. Reset reports whether any replica was
// dropped.
//
// What was learned under one grant must not be used under another, because another node may have sent orders in between.
func (t *Tracker) Reset(fence uint64, trustFrom time.Time) bool {
	t.fence, t.trustFrom = fence, trustFrom
	t.adoptedList, t.listed = nil, nil
	if len(t.byID) == 0 {
		return false
	}
	t.byID = map[string]*Replica{}
	return true
}

// AdoptList applies a list that was made at asOf or later: replicas that are new in the list are tracked, in an unknown state,
// and replicas that have been missing for absenceTimeout are dropped. It returns false if the list is the one applied last.
func (t *Tracker) AdoptList(list []discovery.Replica, asOf, now time.Time) bool {
	if len(list) > 0 && t.adoptedList == &list[0] && len(t.byID) == len(list) {
		return false
	}
	t.adoptedList = nil
	t.listed = t.listed[:0]
	present := make(map[string]bool, len(list))
	for index := range list {
		listed := &list[index]
		replica := t.byID[listed.ID]
		if replica == nil {
			replica = t.track(listed)
		}
		if !present[listed.ID] {
			present[listed.ID] = true
			t.listed = append(t.listed, replica)
		}
		replica.confirmedByList = replica.confirmedByList && discovery.SameModels(replica.listed.Models, listed.Models)
		replica.listed = *listed
		replica.recheckContradicted(t.listLag, asOf, now)
	}
	t.disks.RecordList(list, now)
	slices.SortFunc(t.listed, func(left, right *Replica) int { return strings.Compare(left.ID(), right.ID()) })
	for _, replica := range t.byID {
		t.recordPresence(replica, present[replica.ID()], now)
	}
	if len(list) > 0 {
		t.adoptedList = &list[0]
	}
	return true
}

// track starts tracking a listed replica under the current grant.
func (t *Tracker) track(listed *discovery.Replica) *Replica {
	replica := &Replica{
		state:       replicastate.New(replicaTimings, t.fence, t.trustFrom, References(listed.Models)),
		cordoned:    map[string]bool{},
		unpublished: true,
	}
	t.byID[listed.ID] = replica
	return replica
}

// recordPresence drops a replica that has been missing from the list for absenceTimeout. It is kept until then, since its
// state and its order remain valid if a later list shows it again.
func (t *Tracker) recordPresence(replica *Replica, present bool, now time.Time) {
	if present {
		replica.absentSince = time.Time{}
		return
	}
	if replica.absentSince.IsZero() {
		replica.absentSince = now
	}
	if now.Sub(replica.absentSince) >= absenceTimeout {
		delete(t.byID, replica.ID())
		t.unpublished = true
	}
}

// Replica returns the tracked replica with the given id, or nil.
func (t *Tracker) Replica(id string) *Replica { return t.byID[id] }

// IsTracked reports whether a replica is tracked under the current grant and has not been dropped.
func (t *Tracker) IsTracked(replica *Replica) bool { return t.byID[replica.ID()] == replica }

// Len returns the number of tracked replicas, including those missing from the newest list.
func (t *Tracker) Len() int { return len(t.byID) }

// All returns all tracked replicas in no particular order, including those missing from the newest list.
func (t *Tracker) All() iter.Seq[*Replica] { return maps.Values(t.byID) }

// Listed returns the replicas of the newest list, ordered by id. The slice must not be modified, nor used after the next call
// of AdoptList.
func (t *Tracker) Listed() []*Replica { return t.listed }

// Servers returns the planner's view of the listed replicas of the target backends. suspected holds the ids of the replicas
// that data planes suspect.
func (t *Tracker) Servers(isTarget func(backend string) bool, suspected map[string]bool, now time.Time) []*placement.Server {
	servers := make([]*placement.Server, 0, len(t.listed))
	disks := t.disks.disksOf(t.listed)
	for index, replica := range t.listed {
		if isTarget(replica.Backend()) {
			servers = append(servers, replica.server(suspected[replica.ID()], disks[index], now))
		}
	}
	return servers
}

// Decide records a planner's action for its replica and returns the order to send. It returns false if no order is possible
// now. References that the action unloads are cordoned from then on.
func (t *Tracker) Decide(action placement.Action, now time.Time) (replicastate.Order, bool) {
	replica := t.byID[action.Server]
	order, possible := replica.state.Decide(replicastate.Change{Load: action.Load, Reference: action.Model}, now)
	if !possible {
		return replicastate.Order{}, false
	}
	replica.action = &action
	replica.decidedAt = now
	replica.startedAt = now
	if !action.Load {
		replica.cordon(action.Model)
		t.unpublished = true
	}
	return order, true
}

// DecidePhase records a change of a replica's serving phase and returns the order to send. It returns false if no order is
// possible now. Everything that the replica has loaded is cordoned from then on, since it rejects requests until the change is
// done.
func (t *Tracker) DecidePhase(id string, phase discovery.Phase, now time.Time) (replicastate.Order, bool) {
	replica := t.byID[id]
	if replica == nil {
		return replicastate.Order{}, false
	}
	order, possible := replica.state.Decide(replicastate.Change{ServingPhase: string(phase)}, now)
	if !possible {
		return replicastate.Order{}, false
	}
	replica.action = nil
	replica.decidedAt = now
	replica.startedAt = now
	replica.cordonAll()
	t.unpublished = true
	return order, true
}

// HandleResponse applies the outcome of an order's call.
func (t *Tracker) HandleResponse(replica *Replica, order replicastate.Order, outcome replicastate.Outcome, now time.Time) {
	replica.state.HandleResponse(order, outcome, now)
	if replica.state.Phase() == replicastate.Changing {
		replica.startedAt = now
		return
	}
	replica.action = nil
	if replica.state.Phase() == replicastate.Idle {
		t.refreshCordons(replica)
	}
}

// HandleReport applies a report and returns whether replicastate.Replica.HandleReport accepted it. An accepted report ends the
// order in progress.
func (t *Tracker) HandleReport(replica *Replica, report replicastate.Report, now time.Time) bool {
	if !replica.state.HandleReport(report, now) {
		return false
	}
	replica.reportedAt = now
	replica.confirmedByList = false
	replica.action = nil
	t.disks.recordLoaded(replica.listed, report.Loaded)
	t.refreshCordons(replica)
	return true
}

// ReclassifyDiskLoad marks the load in progress as one from the store, since it has run for too long to come from the
// replica's disk. It returns whether the load was counted as a store load before it started. Other models assumed to be on the
// disk are dropped.
func (t *Tracker) ReclassifyDiskLoad(replica *Replica) (wasCounted bool) {
	wasCounted = replica.action.FromStore
	replica.action.FromStore, replica.action.MaybeFromDisk = true, false
	if wasCounted {
		t.disks.forgetPossible(replica.listed)
	} else {
		t.disks.reset(replica.listed, replica.action.Model, replica.state.Loaded())
	}
	return wasCounted
}

func (t *Tracker) refreshCordons(replica *Replica) {
	replica.refreshCordons()
	t.unpublished = true
}

// HasUnpublished reports whether the observations are out of date.
func (t *Tracker) HasUnpublished() bool { return t.unpublished }

// PublishObservations updates the observations.
func (t *Tracker) PublishObservations() {
	t.observations.update(t.byID)
	t.unpublished = false
}

// WithdrawObservations removes the observations, since another node may have newer ones, and reports whether there were any.
func (t *Tracker) WithdrawObservations() bool {
	if !t.observations.clear() {
		return false
	}
	t.unpublished = true
	return true
}
