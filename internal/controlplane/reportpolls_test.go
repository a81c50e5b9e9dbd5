package controlplane

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
	"ferryspar/internal/replicastate"
)

func TestGivenAHolderThatKnowsNoReplicaThenItLooksAtTheMostWantedFirstAndAtAFewAtOnce(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	table := configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
		Name:    "s",
		Runtime: &configuration.Runtime{Slots: 12},
	}}}, nil)
	w := &Scheduler{
		daemon:   &Node{clock: func() time.Time { return now }},
		demand:   map[string]*place.Demand{},
		heldOnce: map[string]map[string]bool{},
		managed:  map[string]*managedReplica{},
		feed:     feed{tally: NewDemandAggregator()},
	}
	var listed []platform.Replica
	for index := range 3 * pollsAtOnce {
		held := []platform.LoadedModel{{Name: fmt.Sprint("m", index)}}
		listed = append(listed, platform.Replica{
			ID:      fmt.Sprintf("r%04d", index),
			Address: fmt.Sprint("at", index),
			Backend: "s",
			Models:  held,
		})
	}
	w.adoptList(listed, now)
	last := listed[len(listed)-1]
	w.demand[place.ModelKey("s", last.Models[0].Name)] = &place.Demand{Waiting: 3}
	changing := w.managed[listed[100].ID].state
	assert.Assert(t, changing.Reported(replicastate.Report{}, now))
	order, decided := changing.Decide(replicastate.Change{Load: true, Reference: "m"}, now)
	assert.Assert(t, decided)
	changing.Answer(order, replicastate.Accepted, now)
	now = now.Add(reportLag)
	due := w.duePolls(table, now)
	assert.Equal(t, len(due), pollsAtOnce)
	assert.DeepEqual(t, due[:3], []string{listed[100].ID, last.ID, listed[0].ID})
	seen := map[string]bool{}
	for len(due) > 0 {
		for _, id := range due {
			assert.Assert(t, !seen[id])
			seen[id] = true
			w.managed[id].state.AskStarted(now)
		}
		assert.Equal(t, len(w.duePolls(table, now)), 0, "no more than that at once")
		for _, id := range due {
			report := replicastate.Report{Sequence: 1, Held: map[string]bool{"m": true}}
			assert.Assert(t, w.managed[id].state.Reported(report, now))
		}
		due = w.duePolls(table, now)
	}
	assert.Equal(t, len(seen), len(listed))
}
