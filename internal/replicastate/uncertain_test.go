package replicastate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReplica_UnansweredOrderCountsInBothBounds(t *testing.T) {
	loaded := idle(t, 4, "a")
	decideAndEnd(t, loaded, load("b"), NoResponse, at(1))
	assert.Assert(t, !loaded.IsKnown())
	assert.Assert(t, !loaded.PollDue(at(2.4)) && loaded.PollDue(at(2.5)))
	checkBounds(t, loaded, set("a"), set("b"))
	assert.DeepEqual(t, loaded.UncertainChanges(), []Change{load("b")})

	unloaded := idle(t, 4, "a", "a/a1", "c")
	decideAndEnd(t, unloaded, unload("a"), NoResponse, at(1))
	checkBounds(t, unloaded, set("c"), set("a", "a/a1"))
}

func TestReplica_HigherSequenceResolvesUnansweredOrder(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), NoResponse, at(1))
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a", "b")}, at(2.5))
	checkBounds(t, replica, set("a", "b"), nil)
	assert.Equal(t, len(replica.UncertainChanges()), 0)
}

func TestReplica_UnansweredOrderCountsUntilItCannotArrive(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), NoResponse, at(1))
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a")}, at(2.5))
	assert.Assert(t, replica.IsReady(at(2.5)))
	checkBounds(t, replica, set("a"), set("b"))
	assert.Assert(t, replica.IsReady(at(3.9)) && !replica.PollDue(at(3.9)) && replica.PollDue(at(4)))
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a")}, at(4))
	checkBounds(t, replica, set("a"), set("b"))
	assert.Assert(t, replica.IsReady(at(4.4)) && !replica.PollDue(at(4.4)) && replica.PollDue(at(4.5)))
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a")}, at(4.5))
	checkBounds(t, replica, set("a"), nil)
	assert.Assert(t, replica.IsReady(at(4.5)) && !replica.PollDue(at(60)))
}

func TestReplica_LaterReportShowsLateArrival(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), NoResponse, at(1))
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a")}, at(2.5))
	replica.PollStarted(at(4.5))
	assert.Assert(t, !replica.IsKnown(), "no order is decided during a poll")
	replica.PollFailed(at(5.2))
	assert.Assert(t, !replica.PollDue(at(5.6)) && replica.PollDue(at(5.7)))
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a", "b")}, at(5.7))
	checkBounds(t, replica, set("a", "b"), nil)
	assert.Equal(t, decide(t, replica, load("c"), at(5.7)).ExpectedSequence, int64(5))
}

func TestReplica_UnansweredLoadCountsAfterLaterOrder(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), NoResponse, at(1))
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a")}, at(2.5))
	order := decide(t, replica, unload("a"), at(2.6))
	checkBounds(t, replica, set(), set("a", "b"))
	replica.HandleResponse(order, Accepted, at(2.7))
	assert.Assert(t, !replica.HasUnconfirmedOrder())
	checkBounds(t, replica, set(), set("a", "b"))
	report(t, replica, true, Report{Sequence: 5, Loaded: set()}, at(3))
	checkBounds(t, replica, set(), set("b"))
	assert.Assert(t, replica.IsReady(at(3)) && replica.PollDue(at(4)))
	report(t, replica, true, Report{Sequence: 5, Loaded: set()}, at(4))
	report(t, replica, true, Report{Sequence: 5, Loaded: set()}, at(4.5))
	checkBounds(t, replica, set(), set())
}

func TestReplica_UnansweredUnloadEndsWithLaterOrder(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, unload("a"), NoResponse, at(1))
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a")}, at(2.5))
	decideAndEnd(t, replica, load("b"), Accepted, at(2.6))
	checkBounds(t, replica, set("a"), set("b"))
	report(t, replica, true, Report{Sequence: 5, Loaded: set("a", "b")}, at(3))
	checkBounds(t, replica, set("a", "b"), set())
	assert.Assert(t, !replica.PollDue(at(60)))
}

func TestReplica_EachUnansweredOrderHasItsOwnExpiry(t *testing.T) {
	replica := idle(t, 4, "a")
	decideAndEnd(t, replica, load("b"), NoResponse, at(1))
	same := Report{Sequence: 4, Loaded: set("a")}
	report(t, replica, true, same, at(2.5))
	decideAndEnd(t, replica, unload("a"), NoResponse, at(3))
	checkBounds(t, replica, set(), set("a", "b"))
	report(t, replica, true, same, at(4.5))
	checkBounds(t, replica, set(), set("a", "b"))
	report(t, replica, true, same, at(5))
	checkBounds(t, replica, set(), set("a"))
	assert.Assert(t, !replica.PollDue(at(5.9)) && replica.PollDue(at(6)))
	report(t, replica, true, same, at(6))
	assert.Assert(t, replica.PollDue(at(6.5)))
	report(t, replica, true, same, at(6.5))
	checkBounds(t, replica, set("a"), nil)
}

func TestReplica_UnansweredOrderMayArriveAfterRestart(t *testing.T) {
	replica := idle(t, 0, "a")
	decideAndEnd(t, replica, load("b"), NoResponse, at(1))
	report(t, replica, true, Report{Sequence: 1, Loaded: set("a", "b")}, at(1.5))
	checkBounds(t, replica, set("a", "b"), nil)
	replica.Recheck(at(1.6))
	restarted := Report{Sequence: 0, Loaded: set()}
	report(t, replica, false, restarted, at(1.6))
	report(t, replica, true, restarted, at(3.7))
	checkBounds(t, replica, set(), set("b"))
	report(t, replica, true, restarted, at(4))
	checkBounds(t, replica, set(), set("b"))
	report(t, replica, true, restarted, at(4.5))
	checkBounds(t, replica, set(), nil)
}

func TestReplica_BoundsLeaveReportUnchanged(t *testing.T) {
	replica := idle(t, 4, "a", "a/a1")
	decideAndEnd(t, replica, unload("a"), NoResponse, at(1))
	report(t, replica, true, Report{Sequence: 4, Loaded: set("a", "a/a1")}, at(2.5))
	decide(t, replica, unload("a/a1"), at(2.6))
	checkBounds(t, replica, set(), set("a", "a/a1"))
	assert.DeepEqual(t, replica.Loaded(), set("a", "a/a1"))
}
