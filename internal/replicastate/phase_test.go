package replicastate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func servingPhaseChange(phase string) Change { return Change{ServingPhase: phase} }

// idleInPhase returns a replica that reported a sequence number, a serving phase and the model "a" at testStart.
func idleInPhase(t *testing.T, sequence int64, phase string) *Replica {
	t.Helper()
	replica := New(testTimings, testFence, testStart, nil)
	report(t, replica, true, Report{Sequence: sequence, Loaded: set("a"), ServingPhase: phase}, testStart)
	return replica
}

func TestReplica_PhaseChangeEndsWithReportOfThatPhase(t *testing.T) {
	replica := idleInPhase(t, 4, "decode")
	assert.Equal(t, replica.ServingPhase(), "decode")
	order := decide(t, replica, servingPhaseChange("prefill"), at(1))
	assert.Equal(t, order.ExpectedSequence, int64(4))
	assert.Equal(t, replica.TargetPhase(), "prefill")
	checkBounds(t, replica, set("a"), nil)
	replica.HandleResponse(order, Accepted, at(1))
	assert.Equal(t, replica.Phase(), Changing)
	report(t, replica, false, Report{Sequence: 5, Busy: true, Loaded: set("a"), ServingPhase: "decode"}, at(1.5))
	report(t, replica, false, Report{Sequence: 5, Loaded: set("a"), ServingPhase: "decode"}, at(2))
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a"), ServingPhase: "prefill"}, at(2.5))
	assert.Equal(t, replica.ServingPhase(), "prefill")
	assert.Equal(t, replica.TargetPhase(), "prefill")
	checkBounds(t, replica, set("a"), nil)
}

func TestReplica_PhaseChangeOfUnknownOutcomeCountsUntilResolved(t *testing.T) {
	replica := idleInPhase(t, 4, "decode")
	decideAndEnd(t, replica, servingPhaseChange("prefill"), NoResponse, at(1))
	assert.Equal(t, replica.TargetPhase(), "prefill", "the order may still be accepted")
	assert.Equal(t, len(replica.UncertainChanges()), 1)
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a"), ServingPhase: "prefill"}, at(2.6))
	assert.Equal(t, len(replica.UncertainChanges()), 0, "the replica has passed its sequence number")
	assert.Equal(t, replica.TargetPhase(), "prefill")
}

func TestReplica_PhaseChangeIsCompareAndSet(t *testing.T) {
	replica := idleInPhase(t, 4, "decode")
	order := decide(t, replica, servingPhaseChange("prefill"), at(1))
	_, possible := replica.Decide(load("b"), at(1))
	assert.Assert(t, !possible, "one order at a time")
	replica.HandleResponse(order, Conflict, at(1))
	assert.Assert(t, !replica.IsKnown())
	assert.Equal(t, replica.TargetPhase(), "decode")
}

func TestChange_OnlyUnloadsUnload(t *testing.T) {
	loaded := set("a", "a/a1")
	assert.DeepEqual(t, applyChange(loaded, servingPhaseChange("prefill")), loaded)
	assert.DeepEqual(t, applyChange(loaded, unload("a")), set())
	assert.Assert(t, unload("a").IsUnload())
	assert.Assert(t, !load("a").IsUnload())
	assert.Assert(t, !servingPhaseChange("prefill").IsUnload())
}
