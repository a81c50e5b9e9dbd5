package demand

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

// testStart is the time at which tests begin.
var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

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
	subscribed := []string{"i-1", "i-2"}
	one := reportOutcomes("one", "north", 1, 5, 1)
	two := reportOutcomes("two", "north", 2, 0.4, 2)
	three := reportOutcomes("three", "south", 4, 0.5, 3)
	expected := map[string]peer.ReplicaLoad{"i-1": {
		Running:    4,
		Tokens:     200,
		Outcomes:   peer.Outcomes{Served: 5, Failed: 2.5},
		ZoneServed: 1,
		ZoneFailed: 2,
	}}

	all := NewLoadAggregator()
	for _, report := range []peer.LoadReport{one, two, three} {
		all.AddReport(report, testStart)
	}
	fleet := all.FleetLoadFor("two", subscribed)
	assert.DeepEqual(t, fleet.Replicas, expected)
	assert.Equal(t, fleet.Total, peer.Outcomes{Served: 9, Failed: 2.5})

	near, far := NewLoadAggregator(), NewLoadAggregator()
	near.AddReport(two, testStart)
	far.AddReport(one, testStart)
	far.AddReport(three, testStart)
	far.AddSummary(near.Summary("near", testStart), testStart)
	near.AddSummary(far.Summary("far", testStart), testStart)
	fleet = near.FleetLoadFor("two", subscribed)
	assert.DeepEqual(t, fleet.Replicas, expected)
	assert.Equal(t, fleet.Total, peer.Outcomes{Served: 9, Failed: 2.5})
	assert.DeepEqual(t, near.FleetLoadFor("two", []string{"i-2"}).Replicas, map[string]peer.ReplicaLoad{})

	for _, dataPlane := range []string{"one", "two", "three"} {
		all.RemoveReport(dataPlane)
	}
	assert.Equal(t, len(all.local.byReplica)+len(all.local.byZone)+len(all.reports), 0)
}

func TestLoadAggregator_ExpiresReportsAndSummaries(t *testing.T) {
	aggregator := NewLoadAggregator()
	aggregator.AddReport(reportOutcomes("one", "north", 1, 0, 3), testStart)
	aggregator.AddSummary(peer.LoadSummary{
		Member:   "far",
		Replicas: map[string]peer.ReplicaLoad{"i-1": {Running: 5}},
	}, testStart)
	subscribed := []string{"i-1"}
	assert.Equal(t, aggregator.FleetLoadFor("two", subscribed).Replicas["i-1"].Running, 8)
	aggregator.Summary("near", testStart.Add(reportTTL+time.Millisecond))
	assert.Equal(t, aggregator.FleetLoadFor("two", subscribed).Replicas["i-1"].Running, 0)
}

func TestLoadAggregator_WakesOnceForNewlyWaitingModel(t *testing.T) {
	aggregator := NewLoadAggregator()
	report := peer.LoadReport{
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
	aggregator.AddReport(report, testStart)
	assert.Equal(t, len(aggregator.wake), 1)
	first := aggregator.DemandSummary("near", true)
	assert.Equal(t, len(first.Models), 1)
	assert.Equal(t, first.Models[0].Model, "rare")
	assert.Equal(t, first.Models[0].Arrivals, 1)
	<-aggregator.wake
	report.Models = []peer.ModelLoad{{
		Backend: "s",
		Model:   "hot",
		Running: 2,
	}, {
		Backend: "s",
		Model:   "rare",
		Waiting: 1,
	}}
	aggregator.AddReport(report, testStart)
	assert.Equal(t, len(aggregator.wake), 0, "the model had queued requests before")
	arrivals := map[string]int{}
	for _, model := range aggregator.DemandSummary("near", false).Models {
		arrivals[model.Model] = model.Arrivals
	}
	assert.DeepEqual(t, arrivals, map[string]int{"hot": 3, "rare": 0})
	aggregator.MarkUncertain(first)
	for _, model := range aggregator.DemandSummary("near", false).Models {
		if model.Model == "rare" {
			assert.Equal(t, model.Arrivals, 1, "uncertain arrivals are resent")
		}
	}
}
