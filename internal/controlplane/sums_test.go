package controlplane

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

func reportOutcomes(dataPlane, zone string, served, failed float64, running int) peer.LoadReport {
	return peer.LoadReport{
		DataPlane: dataPlane,
		Zone:      zone,
		Replicas: map[string]peer.ReplicaLoad{
			"i-1": {Running: running, Tokens: 100, Outcomes: peer.Outcomes{Served: served, Failed: failed}},
			"i-2": {Outcomes: peer.Outcomes{Served: 2}},
		},
	}
}

func TestLoadAggregator_SumsLoadOfOtherDataPlanes(t *testing.T) {
	followed := map[string]bool{"i-1": true, "i-2": true}
	one := reportOutcomes("one", "north", 1, 5, 1)
	two := reportOutcomes("two", "north", 2, 0.4, 2)
	three := reportOutcomes("three", "south", 4, 0.5, 3)
	wanted := map[string]peer.ReplicaLoad{"i-1": {
		Running:    4,
		Tokens:     200,
		Outcomes:   peer.Outcomes{Served: 5, Failed: 2.5},
		ZoneServed: 1,
		ZoneFailed: 2,
	}}

	all := NewLoadAggregator()
	for _, load := range []peer.LoadReport{one, two, three} {
		all.AddReport(load, testStart)
	}
	told := all.FleetLoadFor("two", followed)
	assert.DeepEqual(t, told.Replicas, wanted)
	assert.Equal(t, told.Total, peer.Outcomes{Served: 9, Failed: 2.5})

	near, far := NewLoadAggregator(), NewLoadAggregator()
	near.AddReport(two, testStart)
	far.AddReport(one, testStart)
	far.AddReport(three, testStart)
	far.AddSummary(near.Summary("near", testStart), testStart)
	near.AddSummary(far.Summary("far", testStart), testStart)
	told = near.FleetLoadFor("two", followed)
	assert.DeepEqual(t, told.Replicas, wanted)
	assert.Equal(t, told.Total, peer.Outcomes{Served: 9, Failed: 2.5})
	assert.DeepEqual(t, near.FleetLoadFor("two", map[string]bool{"i-2": true}).Replicas, map[string]peer.ReplicaLoad{})

	for _, daemon := range []string{"one", "two", "three"} {
		all.RemoveReport(daemon)
	}
	assert.Equal(t, len(all.local.byReplica)+len(all.local.byZone)+len(all.reports), 0)
}

func TestLoadAggregator_ExpiresReportsAndSummaries(t *testing.T) {
	sums := NewLoadAggregator()
	sums.AddReport(reportOutcomes("one", "north", 1, 0, 3), testStart)
	sums.AddSummary(peer.LoadSummary{
		Member:   "far",
		Replicas: map[string]peer.ReplicaLoad{"i-1": {Running: 5}},
	}, testStart)
	followed := map[string]bool{"i-1": true}
	assert.Equal(t, sums.FleetLoadFor("two", followed).Replicas["i-1"].Running, 8)
	sums.Summary("near", testStart.Add(reportTTL+time.Millisecond))
	assert.Equal(t, sums.FleetLoadFor("two", followed).Replicas["i-1"].Running, 0)
}

func TestLoadAggregator_SendsNewlyWaitingModelsOnceAtOnce(t *testing.T) {
	sums := NewLoadAggregator()
	load := peer.LoadReport{
		DataPlane: "one",
		Models: []peer.ModelLoad{{
			Backend:  "s",
			Model:    "hot",
			Arrivals: 3,
			Running:  2,
		}, {
			Backend:  "s",
			Model:    "rare",
			Waiting:  1,
			Arrivals: 1,
		}},
	}
	sums.AddReport(load, testStart)
	assert.Equal(t, len(sums.wake), 1)
	first := sums.DemandSummary("near", true)
	assert.Equal(t, len(first.Models), 1)
	assert.Equal(t, first.Models[0].Model, "rare")
	assert.Equal(t, first.Models[0].Arrivals, 1)
	<-sums.wake
	load.Models = []peer.ModelLoad{{
		Backend: "s",
		Model:   "hot",
		Running: 2,
	}, {
		Backend: "s",
		Model:   "rare",
		Waiting: 1,
	}}
	sums.AddReport(load, testStart)
	assert.Equal(t, len(sums.wake), 0, "it waited before")
	arrivals := map[string]int{}
	for _, model := range sums.DemandSummary("near", false).Models {
		arrivals[model.Model] = model.Arrivals
	}
	assert.DeepEqual(t, arrivals, map[string]int{"hot": 3, "rare": 0})
	sums.markUncertain(first)
	for _, model := range sums.DemandSummary("near", false).Models {
		if model.Model == "rare" {
			assert.Equal(t, model.Arrivals, 1, "what was not delivered is told again")
		}
	}
}

func TestDemandAggregator_PartialSummaryKeepsOtherModels(t *testing.T) {
	tally := NewDemandAggregator()
	names := []string{"s hot", "s rare"}
	tally.Add(peer.LoadSummary{
		Member:         "m",
		DataPlaneCount: 2,
		SuspectCounts:  map[string]int{"i-1": 2},
		Models:         []peer.ModelLoad{{Running: 4}, {Waiting: 1}},
	}, names, testStart)
	tally.Add(peer.LoadSummary{
		Member:         "m",
		DataPlaneCount: 2,
		Partial:        true,
		Models:         []peer.ModelLoad{{Waiting: 3}},
	}, []string{"s rare"}, testStart)
	assert.Equal(t, tally.demand["s hot"].running, 4)
	assert.Equal(t, tally.demand["s rare"].waiting, 3)
	assert.Assert(t, tally.IsSuspected("i-1"))
	tally.Add(peer.LoadSummary{Member: "m", DataPlaneCount: 2}, nil, testStart)
	assert.Equal(t, tally.demand["s hot"].running, 0)
	assert.Assert(t, !tally.IsSuspected("i-1"))
}

func TestLoadPacker_UnpacksOnlyWithSameReplicas(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 7))
		var listed []discovery.Replica
		share := peer.LoadSummary{Replicas: map[string]peer.ReplicaLoad{}}
		for index := range 1 + random.IntN(40) {
			id := fmt.Sprintf("i-%03d", index)
			listed = append(listed, discovery.Replica{ID: id})
			if random.IntN(2) == 0 {
				share.Replicas[id] = peer.ReplicaLoad{
					Running:       1 + random.IntN(12),
					Tokens:        float64(random.IntN(9)) * tokenUnit,
					PrefillTokens: float64(random.IntN(3)) * tokenUnit,
				}
			}
		}
		sender, receiver := &loadPacker{}, &loadPacker{}
		packed := sender.pack(share, listed)
		opened, known := receiver.unpack(packed.Packed, append([]discovery.Replica{}, listed...))
		assert.Assert(t, known)
		assert.DeepEqual(t, opened, share.Replicas)
		_, known = (&loadPacker{}).unpack(packed.Packed, append(listed, discovery.Replica{ID: "i-999"}))
		assert.Assert(t, !known)
		share.Replicas["unlisted"] = peer.ReplicaLoad{Running: 1}
		assert.Assert(t, sender.pack(share, listed).Packed == nil, "all are told by name when one is not listed")
	}
}
