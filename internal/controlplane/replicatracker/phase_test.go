package replicatracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/replicastate"
)

func TestTracker_ReplicaIsCordonedWhileItsPhaseChanges(t *testing.T) {
	now := testStart
	tracker, list := newTestTracker(now)
	list[0].Phase = discovery.PhaseDecode
	tracked := tracker.Replica("r")
	report := replicastate.Report{Loaded: map[string]bool{"m": true}, ServingPhase: "decode"}
	assert.Assert(t, tracker.HandleReport(tracked, report, now))
	assert.Equal(t, tracked.Phase(), discovery.PhaseDecode)

	order, possible := tracker.DecidePhase("r", discovery.PhasePrefill, now)
	assert.Assert(t, possible)
	assert.Assert(t, tracked.IsChangingPhase())
	assert.Equal(t, tracked.Phase(), discovery.PhasePrefill, "it counts as a replica of the target phase")
	tracker.PublishObservations()
	_, cordoned := tracker.observations.Apply(list, now)
	assert.DeepEqual(t, cordoned, []string{"r m"})

	tracker.HandleResponse(tracked, order, replicastate.Accepted, now)
	now = now.Add(2 * time.Second)
	tracked.State().PollStarted(now)
	report = replicastate.Report{Sequence: 1, Loaded: map[string]bool{"m": true}, ServingPhase: "prefill"}
	assert.Assert(t, tracker.HandleReport(tracked, report, now))
	assert.Assert(t, !tracked.IsChangingPhase())
	tracker.PublishObservations()
	observed, cordoned := tracker.observations.Apply(list, now)
	assert.Equal(t, len(cordoned), 0)
	assert.Equal(t, observed[0].Phase, discovery.PhasePrefill, "the list lags behind the report")
}

func TestTracker_PhaseChangeOfUnknownOutcomeKeepsTheCordon(t *testing.T) {
	now := testStart
	tracker, list := newTestTracker(now)
	tracked := tracker.Replica("r")
	report := replicastate.Report{Loaded: map[string]bool{"m": true}, ServingPhase: "decode"}
	assert.Assert(t, tracker.HandleReport(tracked, report, now))
	order, _ := tracker.DecidePhase("r", discovery.PhasePrefill, now)
	tracker.HandleResponse(tracked, order, replicastate.NoResponse, now)
	tracker.PublishObservations()
	_, cordoned := tracker.observations.Apply(list, now)
	assert.DeepEqual(t, cordoned, []string{"r m"})
	_, possible := tracker.DecidePhase("unknown", discovery.PhasePrefill, now)
	assert.Assert(t, !possible)
}

func TestTracker_ReportAddsNoPhaseToAListWithoutPhases(t *testing.T) {
	now := testStart
	tracker, list := newTestTracker(now)
	tracked := tracker.Replica("r")
	report := replicastate.Report{Loaded: map[string]bool{"m": true}, ServingPhase: "unified"}
	assert.Assert(t, tracker.HandleReport(tracked, report, now))
	tracker.PublishObservations()
	observed, _ := tracker.observations.Apply(list, now)
	assert.Equal(t, observed[0].Phase, discovery.Phase(""), "the endpoint must not change with each report")
}
