package controlplane

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

func TestScheduler_PollsMostWantedReplicasFirst(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	table := configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
		Name:    "s",
		Runtime: &configuration.Runtime{Slots: 12},
	}}}, nil)
	scheduler := &Scheduler{
		node:         &Node{clock: func() time.Time { return now }},
		demand:       map[string]*placement.Demand{},
		modelsOnDisk: map[string]map[string]bool{},
		tracked:      map[string]*trackedReplica{},
		planInputs:   planInputs{aggregator: demand.NewDemandAggregator()},
	}
	var listed []discovery.Replica
	for index := range 3 * maxConcurrentPolls {
		loaded := []discovery.LoadedModel{{Name: fmt.Sprint("m", index)}}
		listed = append(listed, discovery.Replica{
			ID:      fmt.Sprintf("r%04d", index),
			Address: fmt.Sprint("at", index),
			Backend: "s",
			Models:  loaded,
		})
	}
	scheduler.adoptReplicaList(listed, now)
	last := listed[len(listed)-1]
	scheduler.demand[placement.ModelKey("s", last.Models[0].Name)] = &placement.Demand{Waiting: 3}
	changing := scheduler.tracked[listed[100].ID].state
	assert.Assert(t, changing.HandleReport(replicastate.Report{}, now))
	order, decided := changing.Decide(replicastate.Change{Load: true, Reference: "m"}, now)
	assert.Assert(t, decided)
	changing.HandleResponse(order, replicastate.Accepted, now)
	now = now.Add(reportLag)
	due := scheduler.duePolls(table, now)
	assert.Equal(t, len(due), maxConcurrentPolls)
	assert.DeepEqual(t, due[:3], []string{listed[100].ID, last.ID, listed[0].ID})
	seen := map[string]bool{}
	for len(due) > 0 {
		for _, id := range due {
			assert.Assert(t, !seen[id])
			seen[id] = true
			scheduler.tracked[id].state.PollStarted(now)
		}
		assert.Equal(t, len(scheduler.duePolls(table, now)), 0, "no more than that at once")
		for _, id := range due {
			report := replicastate.Report{Sequence: 1, Loaded: map[string]bool{"m": true}}
			assert.Assert(t, scheduler.tracked[id].state.HandleReport(report, now))
		}
		due = scheduler.duePolls(table, now)
	}
	assert.Equal(t, len(seen), len(listed))
}
