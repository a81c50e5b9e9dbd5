package controlplane

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/demand"
	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

func TestScheduler_UncordonsModelOnceLostUnloadCannotArrive(t *testing.T) {
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
	loaded := []discovery.LoadedModel{{Name: "m"}}
	scheduler.adoptReplicaList([]discovery.Replica{{ID: "i-1", Address: "at", Backend: "s", Models: loaded}}, now)
	tracked := scheduler.tracked["i-1"]
	report := func() {
		assert.DeepEqual(t, scheduler.duePolls(table, now), []string{"i-1"})
		tracked.state.PollStarted(now)
		scheduler.publishedAt = now
		scheduler.handleReport(tracked, replica.Report{Phase: "unified", Models: loaded}, nil)
	}
	report()
	order, decided := tracked.state.Decide(replicastate.Change{Reference: "m"}, now)
	assert.Assert(t, decided)
	scheduler.cordonReferences(tracked, "m")
	scheduler.handleOrderResponse(tracked, order, 0, errors.New("no answer"))
	now = now.Add(unknownFateDelay)
	report()
	assert.Assert(t, tracked.cordoned["i-1 m"], "it may yet be unloaded")
	assert.Equal(t, len(scheduler.duePolls(table, now)), 0)
	now = now.Add(maxOrderLifetime - unknownFateDelay)
	report()
	assert.Assert(t, tracked.cordoned["i-1 m"], "the report may show the time before it was unloaded")
	now = now.Add(maxReportAge)
	report()
	assert.Equal(t, len(tracked.cordoned), 0)
	assert.Assert(t, tracked.state.CertainlyLoaded()["m"])
}
