package replicatracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

const testListLag = 800 * time.Millisecond

// newTestTracker tracks one replica "r" that the list shows with "m", under a grant that follows no other.
func newTestTracker(now time.Time) (*Tracker, []discovery.Replica) {
	tracker := New(testListLag, NewDiskInventory(), NewObservations(testListLag))
	tracker.Reset(1, time.Time{})
	list := []discovery.Replica{{
		ID:      "r",
		Backend: "s",
		Address: "here",
		Models:  []discovery.LoadedModel{{Name: "m"}},
	}}
	tracker.AdoptList(list, now, now)
	return tracker, list
}

func TestTracker_KeepsOrderOfReplicaMissingFromSomeLists(t *testing.T) {
	now := testStart
	tracker, list := newTestTracker(now)
	tracked := tracker.Replica("r")
	assert.Assert(t, tracked.State().HandleReport(replicastate.Report{Loaded: map[string]bool{"m": true}}, now))
	_, decided := tracker.Decide(placement.Action{Server: "r", Load: true, Model: "n"}, now)
	assert.Assert(t, decided)
	tracker.AdoptList(nil, now, now)
	now = now.Add(absenceTimeout - time.Millisecond)
	tracker.AdoptList(list, now, now)
	assert.Equal(t, tracker.Replica("r"), tracked)
	assert.Equal(t, tracked.State().Phase(), replicastate.Ordered)
	tracker.AdoptList(nil, now, now)
	now = now.Add(absenceTimeout)
	tracker.AdoptList(nil, now, now)
	assert.Equal(t, tracker.Len(), 0)
}

func TestTracker_PollsAgainWhenListContradictsReport(t *testing.T) {
	now := testStart
	tracker, list := newTestTracker(now)
	tracked := tracker.Replica("r")
	assert.Assert(t, tracker.HandleReport(tracked, replicastate.Report{Loaded: map[string]bool{"n": true}}, now))
	for range 3 {
		now = now.Add(time.Second)
		assert.Assert(t, !tracked.State().PollDue(now), "the list may lag")
		tracker.AdoptList(append([]discovery.Replica{}, list...), now, now)
	}
	assert.Assert(t, tracked.State().PollDue(now))
}

func TestTracker_ResetForgetsListedReplicas(t *testing.T) {
	tracker, list := newTestTracker(testStart)
	assert.Equal(t, len(tracker.Listed()), 1)
	assert.Assert(t, tracker.Reset(2, testStart))
	assert.Equal(t, len(tracker.Listed()), 0, "only replicas of this grant")
	assert.Assert(t, tracker.AdoptList(list, testStart, testStart), "the same list counts anew under another grant")
	assert.Equal(t, tracker.Listed()[0], tracker.Replica("r"))
	assert.Assert(t, !tracker.AdoptList(list, testStart, testStart), "the very same list changes nothing")
}

func TestDiskInventory_DiskBelongsToBackendAndAddress(t *testing.T) {
	disks := NewDiskInventory()
	disks.RecordListed(discovery.Replica{
		ID:      "old",
		Backend: "s",
		Address: "here",
		Models:  []discovery.LoadedModel{{Name: "m"}, {Name: "n"}},
	})
	assert.Equal(t, len(disks.Models(discovery.Replica{ID: "new", Backend: "s", Address: "here"})), 2)
	assert.Equal(t, len(disks.Models(discovery.Replica{ID: "other", Backend: "t", Address: "here"})), 0)
}
