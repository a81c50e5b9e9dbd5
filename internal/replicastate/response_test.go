package replicastate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReplica_DecideRecordsSequenceAndFence(t *testing.T) {
	replica := idle(t, 4, "a")
	order := decide(t, replica, load("b"), at(1))
	assert.Equal(t, order, Order{Change: load("b"), ExpectedSequence: 4, Fence: testFence})
	assert.Equal(t, replica.Phase(), AwaitingResponse)
	change, pending := replica.PendingChange()
	assert.Assert(t, pending)
	assert.Equal(t, change, load("b"))
	_, possible := replica.Decide(load("c"), at(9))
	assert.Assert(t, !possible)
	assert.Assert(t, !replica.PollDue(at(9)))
	checkBounds(t, replica, set("a"), set("b"))
}

func TestReplica_ReplicaWithoutReportIsNotReady(t *testing.T) {
	replica := New(testTimings, testFence, at(0.5), set("a"))
	assert.Equal(t, replica.Phase(), Unknown)
	assert.Assert(t, !replica.IsKnown() && !replica.IsReady(at(9)))
	_, possible := replica.Decide(load("b"), at(9))
	assert.Assert(t, !possible)
	assert.Assert(t, !replica.PollDue(at(0.4)) && replica.PollDue(at(0.5)))
	checkBounds(t, replica, set("a"), nil)
}

func TestReplica_OutstandingPollBlocksOrdersAndPolls(t *testing.T) {
	replica := idle(t, 4, "a")
	replica.Recheck(at(1))
	assert.Assert(t, replica.PollDue(at(1)))
	replica.PollStarted(at(1))
	assert.Assert(t, !replica.PollDue(at(2)))
	replica.PollFailed(at(2))
	assert.Assert(t, !replica.PollDue(at(2.4)) && replica.PollDue(at(2.5)))
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a")}, at(3))
	assert.Assert(t, replica.IsReady(at(3)))
}

func TestReplica_UnsentOrderChangesNothing(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), NotSent, at(1))
	assert.Assert(t, replica.IsReady(at(1)))
	checkBounds(t, replica, set("a"), nil)
	assert.Equal(t, decide(t, replica, load("c"), at(1)).ExpectedSequence, int64(4))
}

func TestReplica_AcceptedOrderEndsWithReportOfNextSequence(t *testing.T) {
	replica := idle(t, 4, "a", "a/a1")
	decideAndEnd(t, replica, unload("a"), Accepted, at(1))
	assert.Equal(t, replica.Phase(), Changing)
	checkBounds(t, replica, set(), set("a", "a/a1"))
	assert.Assert(t, !replica.PollDue(at(1.2)) && replica.PollDue(at(1.25)))
	report(t, replica, false, Report{Sequence: 5, Busy: true, Loaded: set("a", "a/a1")}, at(1.25))
	assert.Assert(t, !replica.PollDue(at(1.4)) && replica.PollDue(at(1.5)))
	report(t, replica, true, Report{Sequence: 5, Loaded: set()}, at(1.5))
	assert.Assert(t, replica.IsReady(at(1.5)))
	checkBounds(t, replica, set(), nil)
	assert.Equal(t, decide(t, replica, load("b"), at(2)).ExpectedSequence, int64(5))
}

func TestReplica_ExpectCompletionPostponesPoll(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), Accepted, at(1))
	replica.ExpectCompletion(at(6))
	assert.Assert(t, !replica.PollDue(at(5.9)) && replica.PollDue(at(6)))
	replica.ExpectCompletion(at(2))
	assert.Assert(t, !replica.PollDue(at(5.9)), "an earlier time has no effect")
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a", "b")}, at(6))
	replica.ExpectCompletion(at(20))
	decideAndEnd(t, replica, load("c"), Accepted, at(7))
	assert.Assert(t, replica.PollDue(at(7.25)), "an idle replica ignores the expected time")
}

func TestReplica_AlreadyDoneOrderKeepsSequence(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), AlreadyDone, at(1))
	assert.Equal(t, replica.Phase(), Changing)
	checkBounds(t, replica, set("a"), set("b"))
	assert.Assert(t, replica.PollDue(at(1.25)))
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a", "b")}, at(1.3))
	assert.Equal(t, decide(t, replica, load("c"), at(2)).ExpectedSequence, int64(4))
}

func TestReplica_ConflictMakesReportsOfSameSequenceStale(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), Conflict, at(1))
	assert.Assert(t, !replica.IsKnown())
	assert.Assert(t, !replica.PollDue(at(1.2)) && replica.PollDue(at(1.25)))
	checkBounds(t, replica, set("a"), nil)
	old := Report{Sequence: 4, Loaded: set("a")}
	report(t, replica, false, old, at(1.25))
	report(t, replica, false, old, at(2.9))
	report(t, replica, true, old, at(3))
	assert.Equal(t, decide(t, replica, load("b"), at(3)).ExpectedSequence, int64(4))
}

func TestReplica_ConflictAdoptsHigherSequenceImmediately(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), Conflict, at(1))
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a", "c")}, at(1.25))
	checkBounds(t, replica, set("a", "c"), nil)
}

func TestReplica_RejectionBacksOffBeforePoll(t *testing.T) {
	for _, outcome := range []Outcome{Fenced, Rejected} {
		replica := idle(t, 4, "a")
		decideAndEnd(t, replica, load("b"), outcome, at(1))
		assert.Assert(t, !replica.IsKnown())
		assert.Assert(t, !replica.PollDue(at(4.9)) && replica.PollDue(at(5)))
		checkBounds(t, replica, set("a"), nil)
		report(t, replica, true, Report{Sequence: 6, Loaded: set("c")}, at(5))
		assert.Assert(t, replica.IsReady(at(5)))
		assert.Equal(t, decide(t, replica, load("b"), at(5)).ExpectedSequence, int64(6))
	}
}

func TestReplica_OrderToUnreachableReplicaIsDropped(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), Unreachable, at(1))
	assert.Assert(t, !replica.IsKnown() && !replica.HasUnconfirmedOrder())
	assert.Assert(t, !replica.PollDue(at(1.2)) && replica.PollDue(at(1.25)))
	checkBounds(t, replica, set("a"), nil)
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a")}, at(1.25))
	assert.Assert(t, replica.IsReady(at(1.25)))
}

func TestReplica_OrderIsUnconfirmedUntilOutcomeIsKnown(t *testing.T) {
	replica := idle(t, 4, "a")
	assert.Assert(t, !replica.HasUnconfirmedOrder())
	order := decide(t, replica, load("b"), at(1))
	assert.Assert(t, replica.HasUnconfirmedOrder())
	replica.HandleResponse(order, Accepted, at(1))
	assert.Assert(t, !replica.HasUnconfirmedOrder())
	assert.Assert(t, replica.IsExecuting(Report{Sequence: 5, Busy: true}))
	assert.Assert(t, !replica.IsExecuting(Report{Sequence: 4, Busy: true}), "the report is older, or shows another order")
	assert.Assert(t, !replica.IsExecuting(Report{Sequence: 5}))
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a", "b")}, at(2))
	decideAndEnd(t, replica, load("c"), NoResponse, at(3))
	assert.Assert(t, replica.HasUnconfirmedOrder())
	report(t, replica, true, Report{Sequence: 6, Loaded: set("a", "b", "c")}, at(4.5))
	assert.Assert(t, !replica.HasUnconfirmedOrder())
}

func TestReplica_IgnoresLateResponseToEarlierOrder(t *testing.T) {
	for _, outcome := range []Outcome{NotSent, Accepted, AlreadyDone, Conflict, Fenced, Rejected, Unreachable, NoResponse} {
		replica := idle(t, 4, "a")
		earlier := decideAndEnd(t, replica, load("b"), Accepted, at(1))
		report(t, replica, true, Report{Sequence: 5, Loaded: set("a", "b")}, at(2))
		replica.HandleResponse(earlier, outcome, at(2.1))
		assert.Assert(t, replica.IsReady(at(2.1)))
		later := decide(t, replica, load("c"), at(3))
		replica.HandleResponse(earlier, outcome, at(3))
		assert.Equal(t, replica.Phase(), AwaitingResponse)
		checkBounds(t, replica, set("a", "b"), set("c"))
		replica.HandleResponse(later, Accepted, at(3.1))
		replica.HandleResponse(later, outcome, at(3.2))
		assert.Equal(t, replica.Phase(), Changing, "only the first response to an order counts")
		assert.Equal(t, len(replica.UncertainChanges()), 0)
	}
}
