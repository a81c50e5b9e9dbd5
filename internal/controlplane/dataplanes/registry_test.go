package dataplanes

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
	"ferryspar/internal/retention"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRegistry_CountsAndExpiresDataPlanes(t *testing.T) {
	registry := NewRegistry()
	registry.RecordWatch(peer.WatchRequest{DataPlane: "a", Address: "10.0.0.1:1", Revision: 3}, start)
	registry.RecordContacts([]string{"b"}, start)
	count, neighbours := registry.CountWithNeighbours(start)
	assert.Equal(t, count, 2, "b is known from another control plane's heartbeat only")
	assert.DeepEqual(t, neighbours.List, []peer.Neighbour{{Name: "a", Address: "10.0.0.1:1"}})
	assert.DeepEqual(t, registry.Live(start, LiveWindow), []string{"a"})
	duration, isCounted := registry.CountedFor("a", start.Add(time.Second))
	assert.Assert(t, isCounted)
	assert.Equal(t, duration, time.Second)
	for at := time.Duration(0); at <= ExpireAfter+time.Second; at += time.Second {
		count, neighbours = registry.CountWithNeighbours(start.Add(at))
	}
	assert.Equal(t, count, 0)
	assert.Equal(t, len(neighbours.List), 0)
	_, isCounted = registry.CountedFor("a", start.Add(ExpireAfter+time.Second))
	assert.Assert(t, !isCounted)
}

func TestRegistry_CountBehindIncludesOnlyDataPlanesInContact(t *testing.T) {
	registry := NewRegistry()
	registry.RecordWatch(peer.WatchRequest{DataPlane: "a", Revision: 3, ZoneVersion: 1}, start)
	assert.Equal(t, registry.CountBehind(start, 3, 1), 0)
	assert.Equal(t, registry.CountBehind(start, 4, 1), 1)
	assert.Equal(t, registry.CountBehind(start, 3, 2), 1)
	assert.Equal(t, registry.CountBehind(start.Add(ContactWindow+1), 4, 2), 0)
}

func TestRegistry_ExcludesDataPlanesThatLeft(t *testing.T) {
	registry := NewRegistry()
	registry.RecordWatch(peer.WatchRequest{DataPlane: "a", Zone: "north", AppliedPurge: 5}, start)
	registry.RecordWatch(peer.WatchRequest{DataPlane: "b", Zone: "south", Leaving: true}, start)
	assert.DeepEqual(t, registry.Known(), []string{"a"})
	assert.DeepEqual(t, registry.Zones(start), map[string]string{"a": "north"})
	assert.DeepEqual(t, registry.RetentionViews(), map[string]retention.DataPlaneView{
		"a": {Applied: 5},
		"b": {Left: true},
	})
	late := start.Add(3*time.Second + 1)
	assert.Equal(t, registry.Silent([]string{"b"}, late, 3*time.Second), "", "a data plane that has left is not reported as silent")
	assert.Equal(t, registry.Silent([]string{"b", "a"}, late, 3*time.Second), "a")
}
