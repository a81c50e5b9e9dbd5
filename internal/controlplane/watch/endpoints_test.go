package watch

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func modelKey(model string) peer.EndpointKey { return peer.EndpointKey{Backend: "s", Model: model} }

func replicaWith(id string, models ...string) discovery.Replica {
	replica := discovery.Replica{ID: id, Backend: "s", Address: "at-" + id, Zone: "north", State: "ready", Slots: 4}
	for _, model := range models {
		replica.Models = append(replica.Models, discovery.LoadedModel{Name: model, Revision: 1})
	}
	return replica
}

func endpointIDs(set peer.EndpointSet) []string {
	var ids []string
	for _, endpoint := range set.Endpoints {
		ids = append(ids, endpoint.ID)
	}
	return ids
}

// watchAs returns a watch request of the data plane "edge".
func watchAs(incarnation string, sequence, rosterVersion uint64) peer.WatchRequest {
	return peer.WatchRequest{
		DataPlane:            "edge",
		Incarnation:          incarnation,
		SubscriptionSequence: sequence,
		RosterVersion:        rosterVersion,
	}
}

// subscribeTo returns a subscribe request of the data plane "edge".
func subscribeTo(sequence uint64, add ...peer.EndpointKey) peer.SubscribeRequest {
	return peer.SubscribeRequest{DataPlane: "edge", Sequence: sequence, Reset: sequence == 1, Add: add}
}

func TestEndpointPublisher_KeepsSubscriptionsWhenOthersAreAdded(t *testing.T) {
	publisher := NewEndpointPublisher()
	publisher.Publish([]discovery.Replica{replicaWith("i-1", "one")}, nil, testStart)
	first := publisher.Subscribe(subscribeTo(1, modelKey("one"), modelKey("two")), testStart)
	assert.DeepEqual(t, endpointIDs(first.EndpointSets[0]), []string{"i-1"})
	assert.Equal(t, len(first.EndpointSets[1].Endpoints), 0)
	publisher.Subscribe(subscribeTo(2, modelKey("three")), testStart)
	publisher.Publish([]discovery.Replica{replicaWith("i-1", "one"), replicaWith("i-2", "two")}, nil, testStart)
	changes := publisher.Changes(watchAs("a", 2, first.RosterVersion), "a", testStart)
	assert.Assert(t, !changes.Resubscribe && changes.Version > first.RosterVersion)
	assert.Equal(t, len(changes.Sets), 1)
	assert.DeepEqual(t, endpointIDs(changes.Sets[0]), []string{"i-2"})
}

func TestEndpointPublisher_SendsNoChangesAfterUnsubscribe(t *testing.T) {
	publisher := NewEndpointPublisher()
	publisher.Subscribe(subscribeTo(1, modelKey("one"), modelKey("two")), testStart)
	publisher.Subscribe(peer.SubscribeRequest{DataPlane: "edge", Sequence: 2, Remove: []peer.EndpointKey{modelKey("one")}}, testStart)
	publisher.Publish([]discovery.Replica{replicaWith("i-1", "one", "two")}, nil, testStart)
	changes := publisher.Changes(watchAs("a", 2, 0), "a", testStart)
	assert.Equal(t, len(changes.Sets), 1)
	assert.Equal(t, changes.Sets[0].Model, "two")
}

func TestEndpointPublisher_RequestsResubscriptionAfterGap(t *testing.T) {
	publisher := NewEndpointPublisher()
	assert.Assert(t, publisher.Subscribe(subscribeTo(4), testStart).Resubscribe, "unknown data plane")
	publisher.Subscribe(subscribeTo(1), testStart)
	assert.Assert(t, publisher.Subscribe(subscribeTo(3), testStart).Resubscribe, "a request was lost")
	changes := publisher.Changes(watchAs("a", 9, 7), "a", testStart)
	assert.Assert(t, changes.Resubscribe)
	assert.Equal(t, changes.Version, uint64(7), "nothing counts as sent")
	changes = publisher.Changes(watchAs("before", 9, 7), "a", testStart)
	assert.Equal(t, changes.Version, uint64(0), "versions of another incarnation don't count")
	later := testStart.Add(subscriptionTTL + time.Second)
	publisher.Subscribe(peer.SubscribeRequest{DataPlane: "other", Sequence: 1, Reset: true}, later)
	assert.Assert(t, publisher.Subscribe(subscribeTo(2), later).Resubscribe, "expired")
}

func TestEndpointPublisher_IgnoresAdapterOrder(t *testing.T) {
	publisher := NewEndpointPublisher()
	ordered := replicaWith("i-1", "one")
	ordered.Models[0].Adapters = []string{"a1", "a2"}
	publisher.Publish([]discovery.Replica{ordered}, nil, testStart)
	before := publisher.version
	reordered := replicaWith("i-1", "one")
	reordered.Models[0].Adapters = []string{"a2", "a1"}
	publisher.Publish([]discovery.Replica{reordered}, nil, testStart)
	assert.Equal(t, publisher.version, before)
	publisher.Publish([]discovery.Replica{reordered}, []string{"i-1 one/a2"}, testStart)
	assert.Equal(t, publisher.version, before+1)
	assert.DeepEqual(t, publisher.endpointSetFor(modelKey("one"), "edge", testStart).Endpoints[0].Adapters, []string{"a1"})
	publisher.Publish([]discovery.Replica{reordered}, []string{"i-1 one"}, testStart)
	assert.Equal(t, len(publisher.endpointSetFor(modelKey("one"), "edge", testStart).Endpoints), 0)
}

// randomReplica returns a replica with two models that may be draining.
func randomReplica(random *rand.Rand, id string) discovery.Replica {
	replica := replicaWith(id, fmt.Sprint("m", random.IntN(6)), fmt.Sprint("m", 6+random.IntN(6)))
	if random.IntN(6) == 0 {
		replica.State = discovery.StateDraining
	}
	return replica
}

// listedWithModel returns the ids of the listed replicas on which the model is loaded and not cordoned.
func listedWithModel(listed []discovery.Replica, model string, cordoned []string) []string {
	var ids []string
	for _, replica := range listed {
		if replica.HasLoaded(model, "") && !slices.Contains(cordoned, replica.ID+" "+model) {
			ids = append(ids, replica.ID)
		}
	}
	return ids
}

// testSubscriber follows a publisher as a data plane does.
type testSubscriber struct {
	sets          map[peer.EndpointKey]peer.EndpointSet
	subscribed    map[peer.EndpointKey]bool
	sequence      uint64
	rosterVersion uint64
}

// toggle subscribes to the key, or removes it if it is subscribed to.
func (s *testSubscriber) toggle(publisher *EndpointPublisher, key peer.EndpointKey) {
	s.sequence++
	request := subscribeTo(s.sequence)
	if s.subscribed[key] {
		request.Remove = []peer.EndpointKey{key}
		delete(s.subscribed, key)
		delete(s.sets, key)
	} else {
		request.Add = []peer.EndpointKey{key}
		s.subscribed[key] = true
	}
	for _, set := range publisher.Subscribe(request, testStart).EndpointSets {
		s.sets[set.EndpointKey] = set
	}
}

// poll applies the sets that changed.
func (s *testSubscriber) poll(publisher *EndpointPublisher) {
	changes := publisher.Changes(watchAs("a", s.sequence, s.rosterVersion), "a", testStart)
	s.rosterVersion = changes.Version
	for _, set := range changes.Sets {
		s.sets[set.EndpointKey] = set
	}
}

// assertSets checks that the subscribed sets match the full roster.
func (s *testSubscriber) assertSets(t *testing.T, listed []discovery.Replica, cordoned []string, step string) {
	t.Helper()
	for key := range s.subscribed {
		assert.DeepEqual(t, endpointIDs(s.sets[key]), listedWithModel(listed, key.Model, cordoned))
	}
	assert.Equal(t, len(s.sets), len(s.subscribed), step)
}

func TestEndpointPublisher_MatchesFullRosterOnRandomFleets(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 11))
		publisher := NewEndpointPublisher()
		subscriber := &testSubscriber{
			sets:       map[peer.EndpointKey]peer.EndpointSet{},
			subscribed: map[peer.EndpointKey]bool{},
		}
		fleet := map[string]discovery.Replica{}
		for step := range 120 {
			id := fmt.Sprint("i-", random.IntN(12))
			if random.IntN(5) == 0 {
				delete(fleet, id)
			} else {
				fleet[id] = randomReplica(random, id)
			}
			var cordoned []string
			if random.IntN(4) == 0 {
				cordoned = []string{id + " m" + fmt.Sprint(random.IntN(12))}
			}
			listed := slices.SortedFunc(maps.Values(fleet), func(left, right discovery.Replica) int {
				return cmp.Compare(left.ID, right.ID)
			})
			publisher.Publish(listed, cordoned, testStart)
			if key := modelKey(fmt.Sprint("m", random.IntN(12))); random.IntN(3) == 0 {
				subscriber.toggle(publisher, key)
			}
			if random.IntN(2) != 0 || subscriber.sequence == 0 {
				continue
			}
			subscriber.poll(publisher)
			subscriber.assertSets(t, listed, cordoned, fmt.Sprintf("seed %d step %d", seed, step))
		}
	}
}

func TestEndpointPublisher_SampleOfLargeBackendIsStable(t *testing.T) {
	publisher := NewEndpointPublisher()
	var listed []discovery.Replica
	for index := range 120 {
		replica := replicaWith(fmt.Sprintf("i-%03d", index), "one")
		if replica.Zone = "north"; index >= 100 {
			replica.Zone = "far"
		}
		listed = append(listed, replica)
	}
	publisher.Publish(listed, nil, testStart)
	first := publisher.endpointSetFor(modelKey(""), "edge", testStart)
	zones := map[string]int{}
	sampled := map[string]bool{}
	for _, endpoint := range first.Endpoints {
		zones[endpoint.Zone]++
		sampled[endpoint.ID] = true
	}
	assert.Assert(t, len(first.Endpoints) == sampleSize && zones["far"] >= samplePerZone && zones["north"] >= samplePerZone)
	for index := range listed {
		if !sampled[listed[index].ID] {
			listed[index].State = discovery.StateDraining
			break
		}
	}
	publisher.Publish(slices.Clone(listed), nil, testStart)
	unchanged := publisher.endpointSetFor(modelKey(""), "edge", testStart)
	assert.Equal(t, unchanged.Version, first.Version, "a replica outside the sample changes nothing")
	for index := range listed {
		if sampled[listed[index].ID] {
			listed[index].State = discovery.StateDraining
			break
		}
	}
	publisher.Publish(slices.Clone(listed), nil, testStart)
	next := publisher.endpointSetFor(modelKey(""), "edge", testStart)
	assert.Assert(t, next.Version > first.Version)
	assert.Equal(t, len(next.Endpoints), sampleSize)
	for _, endpoint := range next.Endpoints {
		assert.Assert(t, !endpoint.Draining)
	}
}
