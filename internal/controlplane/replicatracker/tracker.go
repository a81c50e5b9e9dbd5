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

// Tracker tracks the replicas of the platform's list under one grant of the placement lease at a time. Only one goroutine
// may use it.
type Tracker struct {
	// listLag is how far the platform's list may lag behind the replicas.
	listLag      time.Duration
	disks        *DiskInventory
	observations *Observations
	// fence and trustFrom are those of the grant that the replicas are tracked under.
	fence     uint64
	trustFrom time.Time
	byID      map[string]*Replica
	// listed are the replicas of the list adopted last, ordered by id.
	listed []*Replica
	// adoptedList identifies that list by its first entry; nil if it was empty.
	adoptedList *discovery.Replica
	// unpublished is set while the observations differ from what is known.
	unpublished bool
}

// New returns a tracker of no replicas. The platform's list may lag as far as given. The tracker writes what it learns to the
// inventory and the observations.
func New(listLag time.Duration, disks *DiskInventory, observations *Observations) *Tracker {
	return &Tracker{listLag: listLag, disks: disks, observations: observations, byID: map[string]*Replica{}}
}

// Reset forgets all replicas and goes on under a grant of the lease with the given fence. Reports requested before trustFrom
// may show what orders of an earlier holder have changed since, so none is requested before it. Reset tells whether anything
// was forgotten.
//
// What was learned under one grant must not be used under another: someone else may have sent orders in between.
func (t *Tracker) Reset(fence uint64, trustFrom time.Time) bool {
	t.fence, t.trustFrom = fence, trustFrom
	t.adoptedList, t.listed = nil, nil
	if len(t.byID) == 0 {
		return false
	}
	t.byID = map[string]*Replica{}
	return true
}

// AdoptList follows a list that was made at a moment or after it: replicas new in it are tracked, their reports still
// unknown, and those that have been left out for absenceTimeout are dropped. It returns false for the very list adopted last.
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

// track starts to track a listed replica under the present grant.
func (t *Tracker) track(listed *discovery.Replica) *Replica {
	replica := &Replica{
		state:       replicastate.New(replicaTimings, t.fence, t.trustFrom, References(listed.Models)),
		cordoned:    map[string]bool{},
		unpublished: true,
	}
	t.byID[listed.ID] = replica
	return replica
}

// recordPresence drops a replica that the list has left out for absenceTimeout. Until then it is kept: its order and what is
// known of it still belong to it if a later list shows it again.
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

// Replica returns the tracked replica of an id, or nil.
func (t *Tracker) Replica(id string) *Replica { return t.byID[id] }

// Tracks tells whether a replica belongs to the present grant and has not been dropped.
func (t *Tracker) Tracks(replica *Replica) bool { return t.byID[replica.ID()] == replica }

// Len is the number of tracked replicas, those that the newest list leaves out included.
func (t *Tracker) Len() int { return len(t.byID) }

// All returns all tracked replicas in no order, those that the newest list leaves out included.
func (t *Tracker) All() iter.Seq[*Replica] { return maps.Values(t.byID) }

// Listed returns the replicas of the list adopted last, ordered by id. The slice must not be changed, nor kept beyond the
// next list.
func (t *Tracker) Listed() []*Replica { return t.listed }

// Servers returns the planner's view of the listed replicas that belong to certain backends. The set holds the ids of
// replicas that data planes suspect.
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

// Decide ties a planner's action to what is known of its replica. It returns false where nothing may be ordered now. The
// references that the action unloads are cordoned from here on.
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

// DecidePhase ties a change of the serving phase to what is known of the replica. It returns false where nothing may be ordered
// now. All that the replica has loaded is cordoned from here on, since it rejects requests until the change is done.
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

// HandleReport applies a report, and tells whether it was adopted. Where it is, it ends the order under way.
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

// ReclassifyDiskLoad marks the load under way as one from the store: it has run for too long to come from the replica's
// disk. It tells whether the load was counted as one from the store before it began. What else the disk was taken to hold is
// forgotten.
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

// HasUnpublished tells whether the observations differ from what is known.
func (t *Tracker) HasUnpublished() bool { return t.unpublished }

// PublishObservations brings the observations up to date.
func (t *Tracker) PublishObservations() {
	t.observations.update(t.byID)
	t.unpublished = false
}

// WithdrawObservations drops the observations, since another node may know better, and tells whether there were any.
func (t *Tracker) WithdrawObservations() bool {
	if !t.observations.clear() {
		return false
	}
	t.unpublished = true
	return true
}
