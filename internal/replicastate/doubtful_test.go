package replicastate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestGivenAnOrderWithoutAnswerThenItCountsInBothBoundsAndAReportIsAskedForLater(t *testing.T) {
	loaded := idle(t, 4, "a")
	ended(t, loaded, load("b"), NoAnswer, at(1))
	assert.Assert(t, !loaded.Known())
	assert.Assert(t, !loaded.AskDue(at(2.4)) && loaded.AskDue(at(2.5)))
	checkBounds(t, loaded, set("a"), set("b"))
	assert.DeepEqual(t, loaded.Doubtful(), []Change{load("b")})

	unloaded := idle(t, 4, "a", "a/a1", "c")
	ended(t, unloaded, unload("a"), NoAnswer, at(1))
	checkBounds(t, unloaded, set("c"), set("a", "a/a1"))
}

func TestGivenAnOrderWithoutAnswerWhenTheSequenceIsHigherThenItsFateIsKnown(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 5, Held: set("a", "b")}, at(2.5))
	checkBounds(t, one, set("a", "b"), nil)
	assert.Equal(t, len(one.Doubtful()), 0)
}

func TestGivenAnOrderWithoutAnswerWhenTheSequenceIsTheSameThenItCountsUntilAReportOfTheTimeAfterItCouldArrive(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(2.5))
	assert.Assert(t, one.Ready(at(2.5)))
	checkBounds(t, one, set("a"), set("b"))
	assert.Assert(t, one.Ready(at(3.9)) && !one.AskDue(at(3.9)) && one.AskDue(at(4)))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(4))
	checkBounds(t, one, set("a"), set("b"))
	assert.Assert(t, one.Ready(at(4.4)) && !one.AskDue(at(4.4)) && one.AskDue(at(4.5)))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(4.5))
	checkBounds(t, one, set("a"), nil)
	assert.Assert(t, one.Ready(at(4.5)) && !one.AskDue(at(60)))
}

func TestGivenAnOrderWithoutAnswerThatArrivesAfterAReportThenALaterReportShowsIt(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(2.5))
	one.AskStarted(at(4.5))
	assert.Assert(t, !one.Known(), "nothing is decided while it is asked")
	one.AskFailed(at(5.2))
	assert.Assert(t, !one.AskDue(at(5.6)) && one.AskDue(at(5.7)))
	tell(t, one, true, Report{Sequence: 5, Held: set("a", "b")}, at(5.7))
	checkBounds(t, one, set("a", "b"), nil)
	assert.Equal(t, decide(t, one, load("c"), at(5.7)).Expected, int64(5))
}

func TestGivenAnOrderWithoutAnswerWhenALaterOrderIsAcceptedThenItIsRefusedAndItsLoadStillCounts(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(2.5))
	order := decide(t, one, unload("a"), at(2.6))
	checkBounds(t, one, set(), set("a", "b"))
	one.Answer(order, Accepted, at(2.7))
	assert.Assert(t, !one.MayBegin())
	checkBounds(t, one, set(), set("a", "b"))
	tell(t, one, true, Report{Sequence: 5, Held: set()}, at(3))
	checkBounds(t, one, set(), set("b"))
	assert.Assert(t, one.Ready(at(3)) && one.AskDue(at(4)))
	tell(t, one, true, Report{Sequence: 5, Held: set()}, at(4))
	tell(t, one, true, Report{Sequence: 5, Held: set()}, at(4.5))
	checkBounds(t, one, set(), set())
}

func TestGivenAnUnloadWithoutAnswerWhenALaterOrderIsAcceptedThenItCountsNoMore(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, unload("a"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(2.5))
	ended(t, one, load("b"), Accepted, at(2.6))
	checkBounds(t, one, set("a"), set("b"))
	tell(t, one, true, Report{Sequence: 5, Held: set("a", "b")}, at(3))
	checkBounds(t, one, set("a", "b"), set())
	assert.Assert(t, !one.AskDue(at(60)))
}

func TestGivenSeveralOrdersWithoutAnswerThenEachCountsUntilItsOwnTime(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	same := Report{Sequence: 4, Held: set("a")}
	tell(t, one, true, same, at(2.5))
	ended(t, one, unload("a"), NoAnswer, at(3))
	checkBounds(t, one, set(), set("a", "b"))
	tell(t, one, true, same, at(4.5))
	checkBounds(t, one, set(), set("a", "b"))
	tell(t, one, true, same, at(5))
	checkBounds(t, one, set(), set("a"))
	assert.Assert(t, !one.AskDue(at(5.9)) && one.AskDue(at(6)))
	tell(t, one, true, same, at(6))
	assert.Assert(t, one.AskDue(at(6.5)))
	tell(t, one, true, same, at(6.5))
	checkBounds(t, one, set("a"), nil)
}

func TestGivenAnOrderWithoutAnswerWhenTheReplicaRestartsThenTheOrderMayStillArrive(t *testing.T) {
	one := idle(t, 0, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 1, Held: set("a", "b")}, at(1.5))
	checkBounds(t, one, set("a", "b"), nil)
	one.Recheck(at(1.6))
	restarted := Report{Sequence: 0, Held: set()}
	tell(t, one, false, restarted, at(1.6))
	tell(t, one, true, restarted, at(3.7))
	checkBounds(t, one, set(), set("b"))
	tell(t, one, true, restarted, at(4))
	checkBounds(t, one, set(), set("b"))
	tell(t, one, true, restarted, at(4.5))
	checkBounds(t, one, set(), nil)
}

func TestGivenBoundsThenWhatWasReportedIsNeverChanged(t *testing.T) {
	one := idle(t, 4, "a", "a/a1")
	ended(t, one, unload("a"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 4, Held: set("a", "a/a1")}, at(2.5))
	decide(t, one, unload("a/a1"), at(2.6))
	checkBounds(t, one, set(), set("a", "a/a1"))
	assert.DeepEqual(t, one.Held(), set("a", "a/a1"))
}
