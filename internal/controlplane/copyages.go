package controlplane

import (
	"sort"
	"strings"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
)

// removalTimeout is how long the list must leave a replica out before it counts as ended. A list read in
// pages while it changes, or a reader that lags, may leave one out for a moment.
const removalTimeout = 5 * time.Second

// copyAge is since when a replica is known to hold a model. The age of copies found in the first
// list is unknown, so they count as due at once.
type copyAge struct {
	since      time.Time
	unknownAge bool
}

// copyAges remembers the copies of models at replicas over lists. A copy's age ends with a list that
// shows its replica without it; a replica that is left out keeps its copies until it counts as ended.
// It is not safe for concurrent use; the scheduler's lock guards it.
type copyAges struct {
	byCopy map[placement.ServerModel]copyAge
	// absentSince is by replicas that were listed once, firstListAt the moment of the first list.
	absentSince map[string]time.Time
	firstListAt time.Time
}

// newCopyAges knows of no copies yet.
func newCopyAges() *copyAges {
	return &copyAges{byCopy: map[placement.ServerModel]copyAge{}, absentSince: map[string]time.Time{}}
}

// note takes in a list.
func (a *copyAges) update(replicas []discovery.Replica, now time.Time) {
	first := a.firstListAt.IsZero()
	if first && len(replicas) > 0 {
		a.firstListAt = now
	}
	listed := make(map[string]bool, len(replicas))
	present := map[placement.ServerModel]bool{}
	for _, replica := range replicas {
		listed[replica.ID] = true
		delete(a.absentSince, replica.ID)
		for _, model := range replica.Models {
			modelCopy := placement.ServerModel{Server: replica.ID, Model: model.Name}
			present[modelCopy] = true
			if _, known := a.byCopy[modelCopy]; !known {
				a.byCopy[modelCopy] = copyAge{since: now, unknownAge: first}
			}
		}
	}
	for modelCopy := range a.byCopy {
		if !listed[modelCopy.Server] {
			a.recordAbsence(modelCopy.Server, now)
		}
		if !present[modelCopy] && (listed[modelCopy.Server] || a.isRemoved(modelCopy.Server, now)) {
			delete(a.byCopy, modelCopy)
		}
	}
	for id := range a.absentSince {
		if a.isRemoved(id, now) {
			delete(a.absentSince, id)
		}
	}
}

// recordAbsence notes that a list leaves a replica out, unless one before did.
func (a *copyAges) recordAbsence(id string, now time.Time) {
	if _, known := a.absentSince[id]; !known {
		a.absentSince[id] = now
	}
}

// ended tells whether a replica that the newest list leaves out has been left out for long enough to
// count as ended. One that no list has shown counts from the first list on.
func (a *copyAges) isRemoved(id string, now time.Time) bool {
	since, known := a.absentSince[id]
	if !known {
		since = a.firstListAt
	}
	return !since.IsZero() && now.Sub(since) >= removalTimeout
}

// absent are the copies at replicas that the newest list leaves out but that have not ended.
func (a *copyAges) absent(now time.Time) []placement.ServerModel {
	var absent []placement.ServerModel
	for modelCopy := range a.byCopy {
		if _, isAbsent := a.absentSince[modelCopy.Server]; isAbsent && !a.isRemoved(modelCopy.Server, now) {
			absent = append(absent, modelCopy)
		}
	}
	return absent
}

// due are the copies that are older than a share of the life, the oldest first.
func (a *copyAges) due(life time.Duration, now time.Time) []placement.ServerModel {
	var due []placement.ServerModel
	for modelCopy, age := range a.byCopy {
		if age.unknownAge || now.Sub(age.since) > time.Duration(dueAgeShare*float64(life)) {
			due = append(due, modelCopy)
		}
	}
	sort.Slice(due, func(left, right int) bool {
		leftAge, rightAge := a.byCopy[due[left]], a.byCopy[due[right]]
		if !leftAge.since.Equal(rightAge.since) {
			return leftAge.since.Before(rightAge.since)
		}
		return strings.Compare(due[left].Server+due[left].Model, due[right].Server+due[right].Model) < 0
	})
	return due
}
