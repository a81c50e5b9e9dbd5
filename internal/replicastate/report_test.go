package replicastate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReplica_IdleReplicaIsPolledOnlyAfterRecheck(t *testing.T) {
	replica := idle(t, 4, "a")
	assert.Assert(t, !replica.PollDue(at(60)))
	assert.Assert(t, !replica.HandleReport(Report{Sequence: 5, Loaded: set("b")}, at(1)), "the report was not requested")
	checkBounds(t, replica, set("a"), nil)
	replica.Recheck(at(2))
	assert.Assert(t, !replica.IsKnown() && replica.PollDue(at(2)))
	report(t, replica, true, Report{Sequence: 5, Loaded: set("b")}, at(2))
	checkBounds(t, replica, set("b"), nil)
}

func TestReplica_RecheckIgnoredDuringOrder(t *testing.T) {
	replica := idle(t, 4, "a")
	order := decide(t, replica, load("b"), at(1))
	replica.Recheck(at(1))
	assert.Equal(t, replica.Phase(), AwaitingResponse)
	replica.HandleResponse(order, Accepted, at(1))
	replica.Recheck(at(1))
	assert.Equal(t, replica.Phase(), Changing)
}

func TestReplica_ReportOfPreviousSequenceIsStale(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, unload("a"), Accepted, at(1))
	report(t, replica, false, Report{Sequence: 4, Loaded: set()}, at(1.3))
	assert.Equal(t, replica.Phase(), Changing)
	report(t, replica, true, Report{Sequence: 5, Loaded: set()}, at(1.6))
}

func TestReplica_LastingLowerSequenceMeansRestart(t *testing.T) {
	replica := idle(t, 4, "a")
	replica.Recheck(at(1))
	restarted := Report{Sequence: 0, Loaded: set()}
	report(t, replica, false, restarted, at(1))
	report(t, replica, false, restarted, at(2.9))
	report(t, replica, true, restarted, at(3))
	checkBounds(t, replica, set(), nil)
	assert.Equal(t, decide(t, replica, load("b"), at(3)).ExpectedSequence, int64(0))
}

func TestReplica_RestartDuringOrderIsEventuallyAdopted(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), Accepted, at(1))
	restarted := Report{Sequence: 0, Loaded: set()}
	report(t, replica, false, restarted, at(1.5))
	adopted := false
	for now := 1.75; now < 5 && !adopted; now += 0.25 {
		replica.PollStarted(at(now))
		adopted = replica.HandleReport(restarted, at(now))
	}
	assert.Assert(t, adopted && replica.IsReady(at(5)))
	checkBounds(t, replica, set(), nil)
}

func TestReplica_EachLowerSequenceIsStaleAtFirst(t *testing.T) {
	replica := idle(t, 4, "a")
	replica.Recheck(at(1))
	report(t, replica, false, Report{Sequence: 2, Loaded: set()}, at(1))
	report(t, replica, true, Report{Sequence: 2, Loaded: set()}, at(3))
	replica.Recheck(at(10))
	report(t, replica, false, Report{Sequence: 0, Loaded: set()}, at(10))
	report(t, replica, true, Report{Sequence: 0, Loaded: set()}, at(12))
}

func TestReplica_ThirdConsecutiveMismatchIsAdopted(t *testing.T) {
	for _, change := range []Change{load("b"), unload("a")} {
		replica := idle(t, 4, "a")
		decideAndEnd(t, replica, change, Accepted, at(1))
		without := Report{Sequence: 5, Loaded: set("a")}
		report(t, replica, false, without, at(1.25))
		report(t, replica, false, without, at(1.5))
		assert.Equal(t, replica.Phase(), Changing)
		report(t, replica, true, without, at(1.75))
		assert.Assert(t, replica.IsReady(at(1.75)))
		checkBounds(t, replica, set("a"), nil)
	}
}

func TestReplica_MismatchesAreCountedPerOrder(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), Accepted, at(1))
	report(t, replica, false, Report{Sequence: 5, Loaded: set("a")}, at(1.25))
	report(t, replica, false, Report{Sequence: 5, Loaded: set("a")}, at(1.5))
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a", "b")}, at(1.75))
	decideAndEnd(t, replica, load("c"), Accepted, at(2))
	report(t, replica, false, Report{Sequence: 6, Loaded: set("a", "b")}, at(2.25))
	report(t, replica, false, Report{Sequence: 6, Loaded: set("a", "b")}, at(2.5))
	assert.Equal(t, replica.Phase(), Changing)
}
