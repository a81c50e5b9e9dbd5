package replicastate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func change(phase string) Change { return Change{ServingPhase: phase} }

// idlePhase returns a replica that has reported a sequence, a phase and a model at the start.
func idlePhase(t *testing.T, sequence int64, phase string) *Replica {
	t.Helper()
	replica := New(testTimings, testFence, testStart, nil)
	report(t, replica, true, Report{Sequence: sequence, Loaded: set("a"), ServingPhase: phase}, testStart)
	return replica
}

func TestReplica_PhaseChangeEndsWithReportOfThatPhase(t *testing.T) {
	replica := idlePhase(t, 4, "decode")
	assert.Equal(t, replica.ServingPhase(), "decode")
	order := decide(t, replica, change("prefill"), at(1))
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

func TestReplica_PhaseChangeOfUnknownFateCountsUntilItIsResolved(t *testing.T) {
	replica := idlePhase(t, 4, "decode")
	decideAndEnd(t, replica, change("prefill"), NoResponse, at(1))
	assert.Equal(t, replica.TargetPhase(), "prefill", "it may yet be taken")
	assert.Equal(t, len(replica.UncertainChanges()), 1)
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a"), ServingPhase: "prefill"}, at(2.6))
	assert.Equal(t, len(replica.UncertainChanges()), 0, "the replica has gone past its sequence")
	assert.Equal(t, replica.TargetPhase(), "prefill")
}

func TestReplica_PhaseChangeIsCompareAndSet(t *testing.T) {
	replica := idlePhase(t, 4, "decode")
	order := decide(t, replica, change("prefill"), at(1))
	_, possible := replica.Decide(load("b"), at(1))
	assert.Assert(t, !possible, "one order at a time")
	replica.HandleResponse(order, Conflict, at(1))
	assert.Assert(t, !replica.IsKnown())
	assert.Equal(t, replica.TargetPhase(), "decode")
}

func TestChange_OnlyUnloadsUnload(t *testing.T) {
	loaded := set("a", "a/a1")
	assert.DeepEqual(t, applyChange(loaded, change("prefill")), loaded)
	assert.DeepEqual(t, applyChange(loaded, unload("a")), set())
	assert.Assert(t, unload("a").IsUnload())
	assert.Assert(t, !load("a").IsUnload())
	assert.Assert(t, !change("prefill").IsUnload())
}
