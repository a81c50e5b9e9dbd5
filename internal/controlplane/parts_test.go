package controlplane

import (
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

func TestEndpointPublisher_KeepsKeysWhenOthersAreAdded(t *testing.T) {
	parts := NewEndpointPublisher()
	parts.Publish([]discovery.Replica{replicaWith("i-1", "one")}, nil, testStart)
	first := parts.Subscribe(peer.SubscribeRequest{DataPlane: "edge", Sequence: 1, Reset: true, Add: []peer.EndpointKey{modelKey("one"), modelKey("two")}}, testStart)
	assert.DeepEqual(t, endpointIDs(first.EndpointSets[0]), []string{"i-1"})
	assert.Equal(t, len(first.EndpointSets[1].Endpoints), 0)
	parts.Subscribe(peer.SubscribeRequest{DataPlane: "edge", Sequence: 2, Add: []peer.EndpointKey{modelKey("three")}}, testStart)
	parts.Publish([]discovery.Replica{replicaWith("i-1", "one"), replicaWith("i-2", "two")}, nil, testStart)
	told, version, refollow := parts.Changes(peer.WatchRequest{DataPlane: "edge", Incarnation: "a", SubscriptionSequence: 2, RosterVersion: first.RosterVersion}, "a", testStart)
	assert.Assert(t, !refollow && version > first.RosterVersion)
	assert.Equal(t, len(told), 1)
	assert.DeepEqual(t, endpointIDs(told[0]), []string{"i-2"})
}

func TestEndpointPublisher_SendsNoChangesOfRemovedKeys(t *testing.T) {
	parts := NewEndpointPublisher()
	parts.Subscribe(peer.SubscribeRequest{DataPlane: "edge", Sequence: 1, Reset: true, Add: []peer.EndpointKey{modelKey("one"), modelKey("two")}}, testStart)
	parts.Subscribe(peer.SubscribeRequest{DataPlane: "edge", Sequence: 2, Remove: []peer.EndpointKey{modelKey("one")}}, testStart)
	parts.Publish([]discovery.Replica{replicaWith("i-1", "one", "two")}, nil, testStart)
	told, _, _ := parts.Changes(peer.WatchRequest{DataPlane: "edge", Incarnation: "a", SubscriptionSequence: 2}, "a", testStart)
	assert.Equal(t, len(told), 1)
	assert.Equal(t, told[0].Model, "two")
}

func TestEndpointPublisher_AsksToResubscribeAfterGap(t *testing.T) {
	parts := NewEndpointPublisher()
	assert.Assert(t, parts.Subscribe(peer.SubscribeRequest{DataPlane: "edge", Sequence: 4}, testStart).Resubscribe, "never heard of")
	parts.Subscribe(peer.SubscribeRequest{DataPlane: "edge", Sequence: 1, Reset: true}, testStart)
	assert.Assert(t, parts.Subscribe(peer.SubscribeRequest{DataPlane: "edge", Sequence: 3}, testStart).Resubscribe, "one was lost")
	_, version, refollow := parts.Changes(peer.WatchRequest{DataPlane: "edge", Incarnation: "a", SubscriptionSequence: 9, RosterVersion: 7}, "a", testStart)
	assert.Assert(t, refollow)
	assert.Equal(t, version, uint64(7), "nothing is counted as told")
	_, version, _ = parts.Changes(peer.WatchRequest{DataPlane: "edge", Incarnation: "before", SubscriptionSequence: 9, RosterVersion: 7}, "a", testStart)
	assert.Equal(t, version, uint64(0), "what another life told counts for nothing")
	later := testStart.Add(subscriptionTTL + time.Second)
	parts.Subscribe(peer.SubscribeRequest{DataPlane: "other", Sequence: 1, Reset: true}, later)
	assert.Assert(t, parts.Subscribe(peer.SubscribeRequest{DataPlane: "edge", Sequence: 2}, later).Resubscribe, "silent for long")
}

func TestEndpointPublisher_IgnoresAdapterOrder(t *testing.T) {
	parts := NewEndpointPublisher()
	one := replicaWith("i-1", "one")
	one.Models[0].Adapters = []string{"a1", "a2"}
	parts.Publish([]discovery.Replica{one}, nil, testStart)
	before := parts.version
	other := replicaWith("i-1", "one")
	other.Models[0].Adapters = []string{"a2", "a1"}
	parts.Publish([]discovery.Replica{other}, nil, testStart)
	assert.Equal(t, parts.version, before)
	parts.Publish([]discovery.Replica{other}, []string{"i-1 one/a2"}, testStart)
	assert.Equal(t, parts.version, before+1)
	assert.DeepEqual(t, parts.compose(modelKey("one"), testStart).Endpoints[0].Adapters, []string{"a1"})
	parts.Publish([]discovery.Replica{other}, []string{"i-1 one"}, testStart)
	assert.Equal(t, len(parts.compose(modelKey("one"), testStart).Endpoints), 0)
}

func TestEndpointPublisher_MatchesFullRosterOnRandomFleets(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 11))
		parts, held := NewEndpointPublisher(), map[peer.EndpointKey]peer.EndpointSet{}
		followed, number, told := map[peer.EndpointKey]bool{}, uint64(0), uint64(0)
		fleet := map[string]discovery.Replica{}
		for step := range 120 {
			id := fmt.Sprint("i-", random.IntN(12))
			if random.IntN(5) == 0 {
				delete(fleet, id)
			} else {
				one := replicaWith(id, fmt.Sprint("m", random.IntN(6)), fmt.Sprint("m", 6+random.IntN(6)))
				if random.IntN(6) == 0 {
					one.State = discovery.Draining
				}
				fleet[id] = one
			}
			var barred []string
			if random.IntN(4) == 0 {
				barred = []string{id + " m" + fmt.Sprint(random.IntN(12))}
			}
			listed := slices.SortedFunc(maps.Values(fleet), func(left, right discovery.Replica) int {
				if left.ID < right.ID {
					return -1
				}
				return 1
			})
			parts.Publish(listed, barred, testStart)
			if name := modelKey(fmt.Sprint("m", random.IntN(12))); random.IntN(3) == 0 {
				number++
				question := peer.SubscribeRequest{DataPlane: "edge", Sequence: number, Reset: number == 1}
				if followed[name] {
					question.Remove = []peer.EndpointKey{name}
					delete(followed, name)
					delete(held, name)
				} else {
					question.Add, followed[name] = []peer.EndpointKey{name}, true
				}
				for _, part := range parts.Subscribe(question, testStart).EndpointSets {
					held[part.EndpointKey] = part
				}
			}
			if random.IntN(2) == 0 && number > 0 {
				news, version, _ := parts.Changes(peer.WatchRequest{DataPlane: "edge", Incarnation: "a", SubscriptionSequence: number, RosterVersion: told}, "a", testStart)
				told = version
				for _, part := range news {
					held[part.EndpointKey] = part
				}
				for name := range followed {
					var wanted []string
					for _, one := range listed {
						if one.HasLoaded(name.Model, "") && !slices.Contains(barred, one.ID+" "+name.Model) {
							wanted = append(wanted, one.ID)
						}
					}
					assert.DeepEqual(t, endpointIDs(held[name]), wanted)
				}
				assert.Equal(t, len(held), len(followed), "seed %d step %d", seed, step)
			}
		}
	}
}

func TestEndpointPublisher_SamplesLargeBackendsStably(t *testing.T) {
	parts := NewEndpointPublisher()
	var listed []discovery.Replica
	for index := range 120 {
		one := replicaWith(fmt.Sprintf("i-%03d", index), "one")
		if one.Zone = "north"; index >= 100 {
			one.Zone = "far"
		}
		listed = append(listed, one)
	}
	parts.Publish(listed, nil, testStart)
	first := parts.compose(modelKey(""), testStart)
	zones := map[string]int{}
	held := map[string]bool{}
	for _, holder := range first.Endpoints {
		zones[holder.Zone]++
		held[holder.ID] = true
	}
	assert.Assert(t, len(first.Endpoints) == sampleSize && zones["far"] >= samplePerZone && zones["north"] >= samplePerZone)
	for index := range listed {
		if !held[listed[index].ID] {
			listed[index].State = discovery.Draining
			break
		}
	}
	parts.Publish(slices.Clone(listed), nil, testStart)
	assert.Equal(t, parts.compose(modelKey(""), testStart).Version, first.Version, "one outside the sample changes nothing")
	for index := range listed {
		if held[listed[index].ID] {
			listed[index].State = discovery.Draining
			break
		}
	}
	parts.Publish(slices.Clone(listed), nil, testStart)
	next := parts.compose(modelKey(""), testStart)
	assert.Assert(t, next.Version > first.Version)
	assert.Equal(t, len(next.Endpoints), sampleSize)
	for _, holder := range next.Endpoints {
		assert.Assert(t, !holder.Draining)
	}
}
