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

// newTestTracker returns a tracker, under a first grant, of one replica "r" that the list shows with "m", and that list.
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
	assert.Equal(t, tracked.State().Phase(), replicastate.AwaitingResponse)
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
	assert.Equal(t, len(tracker.Listed()), 0, "only replicas of the current grant")
	assert.Assert(t, tracker.AdoptList(list, testStart, testStart), "the same list is applied again under another grant")
	assert.Equal(t, tracker.Listed()[0], tracker.Replica("r"))
	assert.Assert(t, !tracker.AdoptList(list, testStart, testStart), "the same list under the same grant changes nothing")
}

func TestDiskInventory_SameAddressDoesNotProveSameDisk(t *testing.T) {
	disks := NewDiskInventory()
	old := discovery.Replica{ID: "old", Backend: "s", Address: "here", Models: []discovery.LoadedModel{{Name: "m"}, {Name: "n"}}}
	returned := discovery.Replica{ID: "new", Backend: "s", Address: "here"}
	disks.RecordList([]discovery.Replica{old, returned}, testStart)
	t.Run("the incarnation that had the models loaded", func(t *testing.T) {
		assert.Equal(t, len(disks.Certain(old)), 2)
		assert.Equal(t, len(disks.Possible(old)), 2)
	})
	t.Run("the next incarnation at its address", func(t *testing.T) {
		assert.Equal(t, len(disks.Certain(returned)), 0)
		assert.Equal(t, len(disks.Possible(returned)), 2)
	})
	t.Run("a replica of another backend at that address", func(t *testing.T) {
		assert.Equal(t, len(disks.Possible(discovery.Replica{ID: "other", Backend: "t", Address: "here"})), 0)
	})
	t.Run("after it has loaded one of the models", func(t *testing.T) {
		disks.recordLoaded(returned, map[string]bool{"m": true, "m/a1": true})
		assert.DeepEqual(t, disks.Certain(returned), map[string]bool{"m": true})
	})
	t.Run("after a load there came from the store", func(t *testing.T) {
		disks.forgetPossible(returned)
		assert.DeepEqual(t, disks.Possible(returned), map[string]bool{"m": true})
	})
}

func TestDiskInventory_DropsDisksOfUnlistedReplicas(t *testing.T) {
	disks := NewDiskInventory()
	gone := discovery.Replica{ID: "gone", Backend: "s", Address: "there", Models: []discovery.LoadedModel{{Name: "m"}}}
	kept := discovery.Replica{ID: "kept", Backend: "s", Address: "here", Models: []discovery.LoadedModel{{Name: "m"}}}
	disks.RecordList([]discovery.Replica{gone, kept}, testStart)
	for elapsed := time.Minute; elapsed <= diskRetention; elapsed += time.Minute {
		assert.Equal(t, len(disks.Possible(gone)), 1)
		disks.RecordList([]discovery.Replica{kept}, testStart.Add(elapsed))
	}
	assert.Equal(t, len(disks.Possible(gone)), 0)
	assert.Equal(t, len(disks.Certain(gone)), 0)
	assert.Equal(t, len(disks.Certain(kept)), 1)
}
