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

// largeRoster returns a list of replicas of one model, two in five of them of phase prefill, spread over three zones.
func largeRoster(size int) []discovery.Replica {
	list := make([]discovery.Replica, size)
	for number := range list {
		list[number] = replicaWith(fmt.Sprintf("i-%d", number), "one")
		list[number].Zone = fmt.Sprintf("zone-%d", number%3)
		list[number].Phase = discovery.PhaseDecode
		if number%5 < 2 {
			list[number].Phase = discovery.PhasePrefill
		}
	}
	return list
}

// subscribeAs subscribes a data plane to the model of largeRoster and returns what it is sent.
func subscribeAs(publisher *EndpointPublisher, dataPlane string) peer.EndpointSet {
	request := peer.SubscribeRequest{DataPlane: dataPlane, Sequence: 1, Reset: true, Add: []peer.EndpointKey{modelKey("one")}}
	return publisher.Subscribe(request, testStart).EndpointSets[0]
}

func TestCellCount_IsStableWithinCellSizeBounds(t *testing.T) {
	for _, test := range []struct{ present, replicas, want int }{
		{1, 0, 1}, {1, 90, 1}, {1, 320, 1}, {1, 321, 4}, {1, 640, 4}, {1, 641, 8}, {1, 3000, 32},
		{4, 320, 4}, {4, 240, 4}, {4, 239, 1}, {4, 641, 8}, {8, 500, 8}, {8, 470, 4}, {32, 2000, 32}, {32, 1900, 16},
	} {
		assert.Equal(t, cellCount(test.present, test.replicas), test.want, "%d cells of %d", test.present, test.replicas)
	}
}

func TestEndpointPublisher_SendsSetsUpToMaxUndividedSizeWhole(t *testing.T) {
	publisher := NewEndpointPublisher()
	publisher.Publish(largeRoster(maxUndividedSize), nil, testStart)
	assert.Equal(t, len(subscribeAs(publisher, "edge").Endpoints), maxUndividedSize)
}

func TestEndpointPublisher_DividesLargeSetsEvenly(t *testing.T) {
	publisher := NewEndpointPublisher()
	publisher.Publish(largeRoster(3000), nil, testStart)
	subscriberCounts := map[string]int{}
	const dataPlanes = 300
	for number := range dataPlanes {
		set := subscribeAs(publisher, fmt.Sprintf("edge-%d", number))
		assert.Assert(t, len(set.Endpoints) > 100 && len(set.Endpoints) < 300, "sent %d", len(set.Endpoints))
		assert.Assert(t, slices.IsSortedFunc(set.Endpoints, func(left, right peer.Endpoint) int {
			if left.ID < right.ID {
				return -1
			}
			return 1
		}))
		phases := map[discovery.Phase]bool{}
		for _, endpoint := range set.Endpoints {
			subscriberCounts[endpoint.ID]++
			phases[endpoint.Phase] = true
		}
		assert.Equal(t, len(phases), 2)
	}
	assert.Equal(t, len(subscriberCounts), 3000, "every replica has subscribers")
	for id, count := range subscriberCounts {
		assert.Assert(t, count >= 5 && count <= 45, "%s has %d subscribers", id, count)
	}
}

func TestEndpointPublisher_SendsChangeOnlyToSubscribersOfItsCell(t *testing.T) {
	publisher := NewEndpointPublisher()
	roster := largeRoster(3000)
	publisher.Publish(roster, nil, testStart)
	before := map[string]peer.EndpointSet{}
	for number := range 300 {
		name := fmt.Sprintf("edge-%d", number)
		before[name] = subscribeAs(publisher, name)
	}
	changed := roster[1234]
	changed.State = discovery.StateDraining
	next := slices.Clone(roster)
	next[1234] = changed
	publisher.Publish(next, nil, testStart.Add(time.Second))
	sent := 0
	for name, set := range before {
		request := peer.WatchRequest{DataPlane: name, Incarnation: "a", SubscriptionSequence: 1, RosterVersion: set.Version}
		sets := publisher.Changes(request, "a", testStart.Add(time.Second)).Sets
		isSubscribed := slices.ContainsFunc(set.Endpoints, func(endpoint peer.Endpoint) bool { return endpoint.ID == changed.ID })
		assert.Equal(t, len(sets) > 0, isSubscribed, name)
		wake := publisher.wakeChannel(name)
		assert.Equal(t, len(wake) > 0, isSubscribed, name)
		sent += len(sets)
	}
	assert.Assert(t, sent > 0 && sent < 60, "sent to %d", sent)
}

func TestEndpointPublisher_AddsCellsIfPhaseOrReadyReplicasAreMissing(t *testing.T) {
	publisher := NewEndpointPublisher()
	roster := largeRoster(1000)
	publisher.Publish(roster, nil, testStart)
	set := publisher.sets[modelKey("one")]
	order := cellOrder("edge", len(set.cells))
	usual := len(subscribeAs(publisher, "edge").Endpoints)
	for index := range roster {
		if slices.Contains(order[:cellsPerSubscriber], cellOf(roster[index].ID, len(set.cells))) {
			roster[index].Phase = discovery.PhasePrefill
		}
	}
	publisher.Publish(slices.Clone(roster), nil, testStart)
	phases := map[discovery.Phase]bool{}
	for _, endpoint := range subscribeAs(publisher, "edge").Endpoints {
		phases[endpoint.Phase] = true
	}
	assert.Assert(t, phases[discovery.PhaseDecode], "its own cells have no decode replica")

	for index := range roster {
		if slices.Contains(order[:cellsPerSubscriber], cellOf(roster[index].ID, len(set.cells))) {
			roster[index].State = discovery.StateDraining
		}
	}
	publisher.Publish(slices.Clone(roster), nil, testStart)
	ready := 0
	for _, endpoint := range subscribeAs(publisher, "edge").Endpoints {
		if !endpoint.Draining {
			ready++
		}
	}
	assert.Assert(t, ready >= usual/3, "%d ready of usually %d", ready, usual)
}

func TestEndpointPublisher_GrowingSetKeepsMostReplicasInTheirCell(t *testing.T) {
	publisher := NewEndpointPublisher()
	publisher.Publish(largeRoster(600), nil, testStart)
	before := map[string]bool{}
	for _, endpoint := range subscribeAs(publisher, "edge").Endpoints {
		before[endpoint.ID] = true
	}
	publisher.Publish(largeRoster(700), nil, testStart)
	after := subscribeAs(publisher, "edge").Endpoints
	kept := 0
	for _, endpoint := range after {
		if before[endpoint.ID] {
			kept++
		}
	}
	assert.Assert(t, kept*3 >= len(after), "%d of %d were sent before: cells are split, not shuffled", kept, len(after))
}
