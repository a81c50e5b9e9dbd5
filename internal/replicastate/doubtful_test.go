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
	checkBounds(t, loaded, at(1), set("a"), set("b"))
	assert.DeepEqual(t, loaded.Doubtful(at(1)), []Change{load("b")})

	unloaded := idle(t, 4, "a", "a/a1", "c")
	ended(t, unloaded, unload("a"), NoAnswer, at(1))
	checkBounds(t, unloaded, at(1), set("c"), set("a", "a/a1"))
}

func TestGivenAnOrderWithoutAnswerWhenTheSequenceIsHigherThenItsFateIsKnown(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 5, Held: set("a", "b")}, at(2.5))
	checkBounds(t, one, at(2.5), set("a", "b"), nil)
	assert.Equal(t, len(one.Doubtful(at(2.5))), 0)
}

func TestGivenAnOrderWithoutAnswerWhenTheSequenceIsTheSameThenItMayStillArrive(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(2.5))
	assert.Assert(t, one.Ready(at(2.5)))
	checkBounds(t, one, at(2.5), set("a"), set("b"))
	assert.Equal(t, len(one.Doubtful(at(3.99))), 1)
	assert.Equal(t, len(one.Doubtful(at(4))), 0)
	checkBounds(t, one, at(4), set("a"), nil)
}

func TestGivenAnOrderWithoutAnswerWhenALaterOrderIsAcceptedThenItWillBeRefused(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(2.5))
	order := decide(t, one, unload("a"), at(2.6))
	checkBounds(t, one, at(2.6), set(), set("a", "b"))
	one.Answer(order, Accepted, at(2.7))
	checkBounds(t, one, at(2.7), set(), set("a"))
	tell(t, one, true, Report{Sequence: 5, Held: set()}, at(3))
	checkBounds(t, one, at(3), set(), nil)
}

func TestGivenSeveralOrdersWithoutAnswerThenEachCountsUntilItsOwnTime(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 4, Held: set("a")}, at(2.5))
	ended(t, one, unload("a"), NoAnswer, at(3))
	checkBounds(t, one, at(3.5), set(), set("a", "b"))
	checkBounds(t, one, at(4.5), set(), set("a"))
	checkBounds(t, one, at(6), set("a"), nil)
}

func TestGivenAnOrderWithoutAnswerWhenTheReplicaRestartsThenTheOrderMayStillArrive(t *testing.T) {
	one := idle(t, 0, "a")
	ended(t, one, load("b"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 1, Held: set("a", "b")}, at(1.5))
	checkBounds(t, one, at(1.5), set("a", "b"), nil)
	one.Recheck(at(1.6))
	restarted := Report{Sequence: 0, Held: set()}
	tell(t, one, false, restarted, at(1.6))
	tell(t, one, true, restarted, at(3.7))
	checkBounds(t, one, at(3.7), set(), set("b"))
	checkBounds(t, one, at(4), set(), nil)
}

func TestGivenBoundsThenWhatWasReportedIsNeverChanged(t *testing.T) {
	one := idle(t, 4, "a", "a/a1")
	ended(t, one, unload("a"), NoAnswer, at(1))
	tell(t, one, true, Report{Sequence: 4, Held: set("a", "a/a1")}, at(2.5))
	decide(t, one, unload("a/a1"), at(2.6))
	checkBounds(t, one, at(2.6), set(), set("a", "a/a1"))
	assert.DeepEqual(t, one.Held(), set("a", "a/a1"))
}
