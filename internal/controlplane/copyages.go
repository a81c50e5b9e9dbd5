package controlplane

import (
	"sort"
	"strings"
	"time"

	"ferryspar/internal/place"
	"ferryspar/internal/platform"
)

// absentFor is how long the list must leave a replica out before it counts as ended. A list read in
// pages while it changes, or a reader that lags, may leave one out for a moment.
const absentFor = 5 * time.Second

// copyAge is since when a replica is known to hold a model. The age of copies found in the first
// list is unknown, so they count as due at once.
type copyAge struct {
	since   time.Time
	unknown bool
}

// copyAges remembers the copies of models at replicas over lists. A copy's age ends with a list that
// shows its replica without it; a replica that is left out keeps its copies until it counts as ended.
// It is not safe for concurrent use; the scheduler's lock guards it.
type copyAges struct {
	byCopy map[place.ServerModel]copyAge
	// absentSince is by replicas that were listed once, firstAt the moment of the first list.
	absentSince map[string]time.Time
	firstAt     time.Time
}

// newCopyAges knows of no copies yet.
func newCopyAges() *copyAges {
	return &copyAges{byCopy: map[place.ServerModel]copyAge{}, absentSince: map[string]time.Time{}}
}

// note takes in a list.
func (a *copyAges) note(replicas []platform.Replica, now time.Time) {
	first := a.firstAt.IsZero()
	if first && len(replicas) > 0 {
		a.firstAt = now
	}
	listed := make(map[string]bool, len(replicas))
	present := map[place.ServerModel]bool{}
	for _, one := range replicas {
		listed[one.ID] = true
		delete(a.absentSince, one.ID)
		for _, held := range one.Models {
			copied := place.ServerModel{Server: one.ID, Model: held.Name}
			present[copied] = true
			if _, known := a.byCopy[copied]; !known {
				a.byCopy[copied] = copyAge{since: now, unknown: first}
			}
		}
	}
	for copied := range a.byCopy {
		if !listed[copied.Server] {
			a.noteAbsent(copied.Server, now)
		}
		if !present[copied] && (listed[copied.Server] || a.ended(copied.Server, now)) {
			delete(a.byCopy, copied)
		}
	}
	for id := range a.absentSince {
		if a.ended(id, now) {
			delete(a.absentSince, id)
		}
	}
}

// noteAbsent notes that a list leaves a replica out, unless one before did.
func (a *copyAges) noteAbsent(id string, now time.Time) {
	if _, known := a.absentSince[id]; !known {
		a.absentSince[id] = now
	}
}

// ended tells whether a replica that the newest list leaves out has been left out for long enough to
// count as ended. One that no list has shown counts from the first list on.
func (a *copyAges) ended(id string, now time.Time) bool {
	since, known := a.absentSince[id]
	if !known {
		since = a.firstAt
	}
	return !since.IsZero() && now.Sub(since) >= absentFor
}

// absent are the copies at replicas that the newest list leaves out but that have not ended.
func (a *copyAges) absent(now time.Time) []place.ServerModel {
	var absent []place.ServerModel
	for copied := range a.byCopy {
		if _, left := a.absentSince[copied.Server]; left && !a.ended(copied.Server, now) {
			absent = append(absent, copied)
		}
	}
	return absent
}

// due are the copies that are older than a share of the life, the oldest first.
func (a *copyAges) due(life time.Duration, now time.Time) []place.ServerModel {
	var due []place.ServerModel
	for copied, age := range a.byCopy {
		if age.unknown || now.Sub(age.since) > time.Duration(dueShare*float64(life)) {
			due = append(due, copied)
		}
	}
	sort.Slice(due, func(left, right int) bool {
		one, other := a.byCopy[due[left]], a.byCopy[due[right]]
		if !one.since.Equal(other.since) {
			return one.since.Before(other.since)
		}
		return strings.Compare(due[left].Server+due[left].Model, due[right].Server+due[right].Model) < 0
	})
	return due
}
