package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

func TestScheduler_PollsReplicasWithMostWaitingRequestsFirst(t *testing.T) {
	now := testStart
	table := newTestTable(configuration.Runtime{Slots: 12})
	scheduler, _ := newTestScheduler(&now)
	var list []discovery.Replica
	for index := range 3 * maxConcurrentPolls {
		list = append(list, discovery.Replica{
			ID:      fmt.Sprintf("r%04d", index),
			Address: fmt.Sprint("at", index),
			Backend: "s",
			Models:  []discovery.LoadedModel{{Name: fmt.Sprint("m", index)}},
		})
	}
	scheduler.tracker.AdoptList(list, now, now)
	last := list[len(list)-1]
	scheduler.demand.byModel[placement.ModelKey("s", last.Models[0].Name)] = &placement.Demand{Waiting: 3}
	changing := scheduler.tracker.Replica(list[100].ID).State()
	assert.Assert(t, changing.HandleReport(replicastate.Report{}, now))
	order, decided := changing.Decide(replicastate.Change{Load: true, Reference: "m"}, now)
	assert.Assert(t, decided)
	changing.HandleResponse(order, replicastate.Accepted, now)
	now = now.Add(replicatracker.ReportLag)
	due := scheduler.poller.due(table, now)
	assert.Equal(t, len(due), maxConcurrentPolls)
	first := []string{due[0].ID(), due[1].ID(), due[2].ID()}
	assert.DeepEqual(t, first, []string{list[100].ID, last.ID, list[0].ID})
	seen := pollAll(t, scheduler, table, now)
	assert.Equal(t, seen, len(list))
}

// pollAll polls the replicas that are due and answers each poll, until none is due, and returns how many were polled. It
// checks that no replica is due twice, and none at all while a batch of polls is in progress.
func pollAll(t *testing.T, scheduler *Scheduler, table *configuration.Table, now time.Time) int {
	t.Helper()
	seen := map[string]bool{}
	for due := scheduler.poller.due(table, now); len(due) > 0; due = scheduler.poller.due(table, now) {
		for _, tracked := range due {
			assert.Assert(t, !seen[tracked.ID()])
			seen[tracked.ID()] = true
			tracked.State().PollStarted(now)
		}
		assert.Equal(t, len(scheduler.poller.due(table, now)), 0, "while the batch is in progress")
		for _, tracked := range due {
			report := replicastate.Report{Sequence: 1, Loaded: map[string]bool{"m": true}}
			assert.Assert(t, tracked.State().HandleReport(report, now))
		}
	}
	return len(seen)
}
