package controlplane

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

func TestGivenAnUnloadWithoutAnswerThatNeverArrivesThenItsModelIsUsedAgainInTheEnd(t *testing.T) {
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
	held := []platform.LoadedModel{{Name: "m"}}
	w.adoptList([]platform.Replica{{ID: "i-1", Address: "at", Backend: "s", Models: held}}, now)
	one := w.managed["i-1"]
	report := func() {
		assert.DeepEqual(t, w.duePolls(table, now), []string{"i-1"})
		one.state.AskStarted(now)
		w.shown = now
		w.applyReport(one, replica.Report{Phase: "unified", Models: held}, nil)
	}
	report()
	order, decided := one.state.Decide(replicastate.Change{Reference: "m"}, now)
	assert.Assert(t, decided)
	w.barReferences(one, "m")
	w.onAnswer(one, order, 0, errors.New("no answer"))
	now = now.Add(unknownPause)
	report()
	assert.Assert(t, one.barred["i-1 m"], "it may yet be unloaded")
	assert.Equal(t, len(w.duePolls(table, now)), 0)
	now = now.Add(orderSettle - unknownPause)
	report()
	assert.Assert(t, one.barred["i-1 m"], "the report may show the time before it was unloaded")
	now = now.Add(reportAge)
	report()
	assert.Equal(t, len(one.barred), 0)
	assert.Assert(t, one.state.SurelyHeld()["m"])
}
