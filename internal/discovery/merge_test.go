package discovery

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ids(replicas []Replica) []string {
	var names []string
	for _, replica := range replicas {
		names = append(names, replica.ID+replica.State)
	}
	slices.Sort(names)
	return names
}

func TestMerger_KeepsLastEntryOfEachID(t *testing.T) {
	merged := (&Merger{}).Merge([]Replica{{ID: "a", State: "ready"}, {ID: "b"}, {ID: "a", State: StateDraining}}, 2, time.Time{})
	assert.DeepEqual(t, ids(merged), []string{"adraining", "b"})
}

func TestMerger_CarriesSkippedEntryOverOnce(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	merger := &Merger{}
	read := func(pages int, after time.Duration, entries ...Replica) []string {
		now = now.Add(after)
		return ids(merger.Merge(entries, pages, now))
	}
	assert.DeepEqual(t, read(2, 0, Replica{ID: "a"}, Replica{ID: "b"}), []string{"a", "b"})
	assert.DeepEqual(t, read(2, time.Second, Replica{ID: "a"}), []string{"a", "b"})
	assert.DeepEqual(t, read(2, time.Second, Replica{ID: "a"}), []string{"a"})     // missing twice: removed
	assert.DeepEqual(t, read(1, time.Second, Replica{ID: "c"}), []string{"c"})     // a single page is consistent
	assert.DeepEqual(t, read(2, maxCarryOverAge, Replica{ID: "a"}), []string{"a"}) // previous listing too old
}

func TestMerger_RemovesReplicaSupersededAtItsAddress(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	merger := &Merger{}
	old, other := Replica{ID: "old", Address: "10.0.0.1:80"}, Replica{ID: "other", Address: "10.0.0.2:80"}
	next := Replica{ID: "next", Address: "10.0.0.1:80"}
	assert.DeepEqual(t, ids(merger.Merge([]Replica{old, other}, 2, now)), []string{"old", "other"})
	now = now.Add(time.Second)
	assert.DeepEqual(t, ids(merger.Merge([]Replica{old, other, next}, 2, now)), []string{"next", "other"})
	now = now.Add(time.Second)
	assert.DeepEqual(t, ids(merger.Merge([]Replica{old, next, other}, 2, now)), []string{"next", "other"}) // still listed
	now = now.Add(time.Second)
	assert.DeepEqual(t, ids(merger.Merge([]Replica{next, other}, 2, now)), []string{"next", "other"}) // carried over
}

func TestMerger_KeepsBothReplicasFirstListedTogether(t *testing.T) {
	both := []Replica{{ID: "a", Address: "10.0.0.1:80"}, {ID: "b", Address: "10.0.0.1:80"}}
	assert.DeepEqual(t, ids((&Merger{}).Merge(both, 1, time.Time{})), []string{"a", "b"})
}
