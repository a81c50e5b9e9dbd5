package watch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// withAdapter returns a copy of a list made by largeRoster in which the replicas at the positions have also loaded an adapter.
func withAdapter(list []discovery.Replica, adapter string, positions ...int) []discovery.Replica {
	changed := slices.Clone(list)
	for _, position := range positions {
		models := slices.Clone(changed[position].Models)
		models[0].Adapters = append(slices.Clone(models[0].Adapters), adapter)
		changed[position].Models = models
	}
	return changed
}

// countWithAdapter returns the number of endpoints with the adapter.
func countWithAdapter(set peer.EndpointSet, adapter string) int {
	count := 0
	for _, endpoint := range set.Endpoints {
		if slices.Contains(endpoint.Adapters, adapter) {
			count++
		}
	}
	return count
}

func TestEndpointPublisher_SendsAdapterReplicasOfLargeSetToAll(t *testing.T) {
	publisher := NewEndpointPublisher()
	roster := withAdapter(largeRoster(3000), "rare", 17, 1234)
	var often []int
	for position := 0; position < 3000; position += 10 {
		often = append(often, position)
	}
	roster = withAdapter(roster, "often", often...)
	publisher.Publish(roster, nil, testStart)
	for number := range 300 {
		set := subscribeAs(publisher, fmt.Sprintf("edge-%d", number))
		assert.Equal(t, countWithAdapter(set, "rare"), 2)
		count := countWithAdapter(set, "often")
		assert.Assert(t, count >= replicasPerAdapter && count < 60, "%d", count)
		assert.Assert(t, len(set.Endpoints) < 320, "sent %d", len(set.Endpoints))
	}
}

func TestEndpointPublisher_SendsNewAdapterReplicaToAll(t *testing.T) {
	publisher := NewEndpointPublisher()
	roster := largeRoster(3000)
	publisher.Publish(roster, nil, testStart)
	before := map[string]peer.EndpointSet{}
	for number := range 50 {
		name := fmt.Sprintf("edge-%d", number)
		before[name] = subscribeAs(publisher, name)
	}
	loaded := withAdapter(roster, "new", 1234)
	publisher.Publish(loaded, nil, testStart.Add(time.Second))
	changesFor := func(name string, version uint64) []peer.EndpointSet {
		request := peer.WatchRequest{DataPlane: name, Incarnation: "a", SubscriptionSequence: 1, RosterVersion: version}
		return publisher.Changes(request, "a", testStart.Add(time.Second)).Sets
	}
	var version uint64
	for name, set := range before {
		sets := changesFor(name, set.Version)
		assert.Equal(t, len(sets), 1, name)
		assert.Equal(t, countWithAdapter(sets[0], "new"), 1, name)
		version = sets[0].Version
	}
	publisher.Publish(roster, nil, testStart.Add(2*time.Second))
	for name := range before {
		sets := changesFor(name, version)
		assert.Equal(t, len(sets), 1, name)
		assert.Equal(t, countWithAdapter(sets[0], "new"), 0, name)
	}
}

func BenchmarkEndpointPublisher_AdapterOfALargeSetChanges(b *testing.B) {
	publisher := NewEndpointPublisher()
	roster := largeRoster(3000)
	for adapter := range 40 {
		for copies := range 20 {
			roster = withAdapter(roster, fmt.Sprintf("a-%d", adapter), (adapter*73+copies*149)%3000)
		}
	}
	changed := withAdapter(roster, "new", 1234)
	turn := 0
	for b.Loop() {
		turn++
		publisher.Publish([][]discovery.Replica{roster, changed}[turn%2], nil, testStart.Add(time.Duration(turn)*time.Second))
	}
}
