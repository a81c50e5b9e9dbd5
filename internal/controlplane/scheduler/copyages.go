package scheduler

import (
	"sort"
	"strings"
	"sync"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
)

const (
	// removalTimeout is how long a replica must be missing from the list before it counts as removed. A list that was read in
	// pages while it changed, or from a lagging reader, may omit a replica briefly.
	removalTimeout = 5 * time.Second
	// dueAgeShare is the fraction of the context lifetime after which a copy is due for eviction.
	dueAgeShare = 0.75
)

// copyAge is when a model was first seen loaded on a replica. The age of copies in the first list is unknown; due returns them
// at once if cached context has a lifetime.
type copyAge struct {
	since      time.Time
	unknownAge bool
}

// CopyAges tracks the age of each copy of a model across replica lists. A copy is dropped when a list shows its replica
// without the model; a replica missing from the list keeps its copies until it counts as removed. It is safe for concurrent
// use.
type CopyAges struct {
	lock   sync.Mutex
	byCopy map[placement.ModelCopy]copyAge
	// absentSince holds the replicas that were listed earlier and are missing from the newest list.
	absentSince map[string]time.Time
	// firstListAt is the time of the first non-empty list.
	firstListAt time.Time
}

func newCopyAges() *CopyAges {
	return &CopyAges{byCopy: map[placement.ModelCopy]copyAge{}, absentSince: map[string]time.Time{}}
}

// AdoptList updates the copies from a list that differs from the previous one.
func (a *CopyAges) AdoptList(replicas []discovery.Replica, now time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	isFirst := a.firstListAt.IsZero()
	if isFirst && len(replicas) > 0 {
		a.firstListAt = now
	}
	listed := make(map[string]bool, len(replicas))
	present := map[placement.ModelCopy]bool{}
	for _, replica := range replicas {
		listed[replica.ID] = true
		delete(a.absentSince, replica.ID)
		for _, model := range replica.Models {
			modelCopy := placement.ModelCopy{Server: replica.ID, Model: model.Name}
			present[modelCopy] = true
			if _, known := a.byCopy[modelCopy]; !known {
				a.byCopy[modelCopy] = copyAge{since: now, unknownAge: isFirst}
			}
		}
	}
	a.dropMissing(listed, present, now)
}

// dropMissing drops the copies that no longer exist: those missing from the entry of a listed replica and those of removed
// replicas. The caller holds the lock.
func (a *CopyAges) dropMissing(listed map[string]bool, present map[placement.ModelCopy]bool, now time.Time) {
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

// recordAbsence records that a replica is missing from the list, unless that is already recorded. The caller holds the lock.
func (a *CopyAges) recordAbsence(id string, now time.Time) {
	if _, known := a.absentSince[id]; !known {
		a.absentSince[id] = now
	}
}

// IsRemoved reports whether a replica has been missing from the list for long enough to count as removed. For a replica that
// was never listed, the time counts from the first list.
func (a *CopyAges) IsRemoved(id string, now time.Time) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.isRemoved(id, now)
}

// isRemoved is IsRemoved for a caller that holds the lock.
func (a *CopyAges) isRemoved(id string, now time.Time) bool {
	since, known := a.absentSince[id]
	if !known {
		since = a.firstListAt
	}
	return !since.IsZero() && now.Sub(since) >= removalTimeout
}

// absent returns the copies on replicas that are missing from the newest list but do not yet count as removed.
func (a *CopyAges) absent(now time.Time) []placement.ModelCopy {
	a.lock.Lock()
	defer a.lock.Unlock()
	var absent []placement.ModelCopy
	for modelCopy := range a.byCopy {
		if _, isAbsent := a.absentSince[modelCopy.Server]; isAbsent && !a.isRemoved(modelCopy.Server, now) {
			absent = append(absent, modelCopy)
		}
	}
	return absent
}

// due returns the copies that are older than dueAgeShare of the lifetime, oldest first. A lifetime of 0 means unlimited.
func (a *CopyAges) due(lifetime time.Duration, now time.Time) []placement.ModelCopy {
	if lifetime <= 0 {
		return nil
	}
	a.lock.Lock()
	defer a.lock.Unlock()
	var due []placement.ModelCopy
	for modelCopy, age := range a.byCopy {
		if age.unknownAge || now.Sub(age.since) > time.Duration(dueAgeShare*float64(lifetime)) {
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
