package replicastate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestGivenAnIdleReplicaWhenAnOrderIsDecidedThenItNamesSequenceAndFenceAndNoOtherIsPossible(t *testing.T) {
	one := idle(t, 4, "a")
	order := decide(t, one, load("b"), at(1))
	assert.Equal(t, order, Order{Change: load("b"), Expected: 4, Fence: testFence})
	assert.Equal(t, one.Phase(), Ordered)
	change, under := one.Under()
	assert.Assert(t, under)
	assert.Equal(t, change, load("b"))
	_, possible := one.Decide(load("c"), at(9))
	assert.Assert(t, !possible)
	assert.Assert(t, !one.AskDue(at(9)))
	checkBounds(t, one, set("a"), set("b"))
}

func TestGivenAReplicaThatHasNotReportedThenNothingIsOrderedAndItIsAskedFromTheMomentOfTrust(t *testing.T) {
	one := New(testTimings, testFence, at(0.5), set("a"))
	assert.Equal(t, one.Phase(), Unknown)
	assert.Assert(t, !one.Known() && !one.Ready(at(9)))
	_, possible := one.Decide(load("b"), at(9))
	assert.Assert(t, !possible)
	assert.Assert(t, !one.AskDue(at(0.4)) && one.AskDue(at(0.5)))
	checkBounds(t, one, set("a"), nil)
}

func TestGivenAQuestionUnderWayThenNothingIsOrderedAndItIsNotAskedAgain(t *testing.T) {
	one := idle(t, 4, "a")
	one.Recheck(at(1))
	assert.Assert(t, one.AskDue(at(1)))
	one.AskStarted(at(1))
	assert.Assert(t, !one.AskDue(at(2)))
	one.AskFailed(at(2))
	assert.Assert(t, !one.AskDue(at(2.4)) && one.AskDue(at(2.5)))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(3))
	assert.Assert(t, one.Ready(at(3)))
}

func TestGivenAnOrderThatWasNotSentThenTheReplicaIsKnownAsBefore(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NotSent, at(1))
	assert.Assert(t, one.Ready(at(1)))
	checkBounds(t, one, set("a"), nil)
	assert.Equal(t, decide(t, one, load("c"), at(1)).Expected, int64(4))
}

func TestGivenAnAcceptedOrderThenItIsUnderWayUntilAReportOfTheNextSequenceShowsIt(t *testing.T) {
	one := idle(t, 4, "a", "a/a1")
	ended(t, one, unload("a"), Accepted, at(1))
	assert.Equal(t, one.Phase(), Changing)
	checkBounds(t, one, set(), set("a", "a/a1"))
	assert.Assert(t, !one.AskDue(at(1.2)) && one.AskDue(at(1.25)))
	tell(t, one, false, Report{Sequence: 5, Busy: true, Held: set("a", "a/a1")}, at(1.25))
	assert.Assert(t, !one.AskDue(at(1.4)) && one.AskDue(at(1.5)))
	tell(t, one, true, Report{Sequence: 5, Held: set()}, at(1.5))
	assert.Assert(t, one.Ready(at(1.5)))
	checkBounds(t, one, set(), nil)
	assert.Equal(t, decide(t, one, load("b"), at(2)).Expected, int64(5))
}

func TestGivenAnAcceptedOrderThatTakesLongThenItIsAskedWhenItShouldBeDone(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), Accepted, at(1))
	one.ExpectDone(at(6))
	assert.Assert(t, !one.AskDue(at(5.9)) && one.AskDue(at(6)))
	one.ExpectDone(at(2))
	assert.Assert(t, !one.AskDue(at(5.9)), "an earlier moment does not count")
	tell(t, one, true, Report{Sequence: 5, Held: set("a", "b")}, at(6))
	one.ExpectDone(at(20))
	ended(t, one, load("c"), Accepted, at(7))
	assert.Assert(t, one.AskDue(at(7.25)), "what is idle expects nothing")
}

func TestGivenAnOrderThatIsAlreadyDoneThenTheSequenceStaysAndAReportEndsIt(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), AlreadyDone, at(1))
	assert.Equal(t, one.Phase(), Changing)
	checkBounds(t, one, set("a"), set("b"))
	assert.Assert(t, one.AskDue(at(1.25)))
	tell(t, one, true, Report{Sequence: 4, Held: set("a", "b")}, at(1.3))
	assert.Equal(t, decide(t, one, load("c"), at(2)).Expected, int64(4))
}

func TestGivenAConflictThenNothingIsKnownAndTheReportOfThatSequenceIsDistrustedForAWhile(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), Conflict, at(1))
	assert.Assert(t, !one.Known())
	assert.Assert(t, !one.AskDue(at(1.2)) && one.AskDue(at(1.25)))
	checkBounds(t, one, set("a"), nil)
	old := Report{Sequence: 4, Held: set("a")}
	tell(t, one, false, old, at(1.25))
	tell(t, one, false, old, at(2.9))
	tell(t, one, true, old, at(3))
	assert.Equal(t, decide(t, one, load("b"), at(3)).Expected, int64(4))
}

func TestGivenAConflictThenAReportOfAHigherSequenceCountsAtOnce(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), Conflict, at(1))
	tell(t, one, true, Report{Sequence: 5, Held: set("a", "c")}, at(1.25))
	checkBounds(t, one, set("a", "c"), nil)
}

func TestGivenARefusalOfAnotherKindThenTheReplicaIsLeftAloneAndThenAsked(t *testing.T) {
	for _, outcome := range []Outcome{Fenced, Rejected} {
		one := idle(t, 4, "a")
		ended(t, one, load("b"), outcome, at(1))
		assert.Assert(t, !one.Known())
		assert.Assert(t, !one.AskDue(at(4.9)) && one.AskDue(at(5)))
		checkBounds(t, one, set("a"), nil)
		tell(t, one, true, Report{Sequence: 6, Held: set("c")}, at(5))
		assert.Assert(t, one.Ready(at(5)))
		assert.Equal(t, decide(t, one, load("b"), at(5)).Expected, int64(6))
	}
}

func TestGivenAReplicaThatWasNotReachedThenItIsAskedAgainAndTheOrderCountsNoMore(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), Unreached, at(1))
	assert.Assert(t, !one.Known() && !one.MayBegin())
	assert.Assert(t, !one.AskDue(at(1.2)) && one.AskDue(at(1.25)))
	checkBounds(t, one, set("a"), nil)
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(1.25))
	assert.Assert(t, one.Ready(at(1.25)))
}

func TestGivenAnOrderThenItMayBeginUntilItIsAnsweredOrItsFateIsKnown(t *testing.T) {
	one := idle(t, 4, "a")
	assert.Assert(t, !one.MayBegin())
	order := decide(t, one, load("b"), at(1))
	assert.Assert(t, one.MayBegin())
	one.Answer(order, Accepted, at(1))
	assert.Assert(t, !one.MayBegin())
	assert.Assert(t, one.CarriesOut(Report{Sequence: 5, Busy: true}))
	assert.Assert(t, !one.CarriesOut(Report{Sequence: 4, Busy: true}), "another order, or an old report")
	assert.Assert(t, !one.CarriesOut(Report{Sequence: 5}))
	tell(t, one, true, Report{Sequence: 5, Held: set("a", "b")}, at(2))
	ended(t, one, load("c"), NoAnswer, at(3))
	assert.Assert(t, one.MayBegin())
	tell(t, one, true, Report{Sequence: 6, Held: set("a", "b", "c")}, at(4.5))
	assert.Assert(t, !one.MayBegin())
}

func TestGivenAnOrderOfAnEarlierDecisionWhenItsAnswerComesLateThenNothingChanges(t *testing.T) {
	for _, outcome := range []Outcome{NotSent, Accepted, AlreadyDone, Conflict, Fenced, Rejected, Unreached, NoAnswer} {
		one := idle(t, 4, "a")
		earlier := ended(t, one, load("b"), Accepted, at(1))
		tell(t, one, true, Report{Sequence: 5, Held: set("a", "b")}, at(2))
		one.Answer(earlier, outcome, at(2.1))
		assert.Assert(t, one.Ready(at(2.1)))
		later := decide(t, one, load("c"), at(3))
		one.Answer(earlier, outcome, at(3))
		assert.Equal(t, one.Phase(), Ordered)
		checkBounds(t, one, set("a", "b"), set("c"))
		one.Answer(later, Accepted, at(3.1))
		one.Answer(later, outcome, at(3.2))
		assert.Equal(t, one.Phase(), Changing, "an order is answered once")
		assert.Equal(t, len(one.Doubtful()), 0)
	}
}
