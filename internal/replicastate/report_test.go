package replicastate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestGivenAnIdleReplicaThenItIsNotAskedUnlessARecheckWantsIt(t *testing.T) {
	one := idle(t, 4, "a")
	assert.Assert(t, !one.AskDue(at(60)))
	assert.Assert(t, !one.Reported(Report{Sequence: 5, Held: set("b")}, at(1)), "a report that nobody asked for")
	checkBounds(t, one, set("a"), nil)
	one.Recheck(at(2))
	assert.Assert(t, !one.Known() && one.AskDue(at(2)))
	tell(t, one, true, Report{Sequence: 5, Held: set("b")}, at(2))
	checkBounds(t, one, set("b"), nil)
}

func TestGivenAnOrderUnderWayThenARecheckIsOfNoEffect(t *testing.T) {
	one := idle(t, 4, "a")
	order := decide(t, one, load("b"), at(1))
	one.Recheck(at(1))
	assert.Equal(t, one.Phase(), Ordered)
	one.Answer(order, Accepted, at(1))
	one.Recheck(at(1))
	assert.Equal(t, one.Phase(), Changing)
}

func TestGivenAnAcceptedOrderWhenAReportIsOfTheSequenceBeforeThenItIsTakenForAnOldOne(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, unload("a"), Accepted, at(1))
	tell(t, one, false, Report{Sequence: 4, Held: set()}, at(1.3))
	assert.Equal(t, one.Phase(), Changing)
	tell(t, one, true, Report{Sequence: 5, Held: set()}, at(1.6))
}

func TestGivenALowerSequenceThatLastsThenTheReplicaHasRestartedAndIsBelieved(t *testing.T) {
	one := idle(t, 4, "a")
	one.Recheck(at(1))
	restarted := Report{Sequence: 0, Held: set()}
	tell(t, one, false, restarted, at(1))
	tell(t, one, false, restarted, at(2.9))
	tell(t, one, true, restarted, at(3))
	checkBounds(t, one, set(), nil)
	assert.Equal(t, decide(t, one, load("b"), at(3)).Expected, int64(0))
}

func TestGivenARestartWhileAnOrderIsUnderWayThenTheReplicaIsBelievedInTheEnd(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), Accepted, at(1))
	restarted := Report{Sequence: 0, Held: set()}
	tell(t, one, false, restarted, at(1.5))
	adopted := false
	for now := 1.75; now < 5 && !adopted; now += 0.25 {
		one.AskStarted(at(now))
		adopted = one.Reported(restarted, at(now))
	}
	assert.Assert(t, adopted && one.Ready(at(5)))
	checkBounds(t, one, set(), nil)
}

func TestGivenTwoRestartsThenEachIsDistrustedFirst(t *testing.T) {
	one := idle(t, 4, "a")
	one.Recheck(at(1))
	tell(t, one, false, Report{Sequence: 2, Held: set()}, at(1))
	tell(t, one, true, Report{Sequence: 2, Held: set()}, at(3))
	one.Recheck(at(10))
	tell(t, one, false, Report{Sequence: 0, Held: set()}, at(10))
	tell(t, one, true, Report{Sequence: 0, Held: set()}, at(12))
}

func TestGivenAReportWithoutWhatAnAcceptedOrderBringsThenItIsBelievedTheThirdTime(t *testing.T) {
	for _, change := range []Change{load("b"), unload("a")} {
		one := idle(t, 4, "a")
		ended(t, one, change, Accepted, at(1))
		without := Report{Sequence: 5, Held: set("a")}
		tell(t, one, false, without, at(1.25))
		tell(t, one, false, without, at(1.5))
		assert.Equal(t, one.Phase(), Changing)
		tell(t, one, true, without, at(1.75))
		assert.Assert(t, one.Ready(at(1.75)))
		checkBounds(t, one, set("a"), nil)
	}
}

func TestGivenMismatchesOfAnEarlierOrderThenTheNextOrderIsGivenItsOwn(t *testing.T) {
	one := idle(t, 4, "a")
	ended(t, one, load("b"), Accepted, at(1))
	tell(t, one, false, Report{Sequence: 5, Held: set("a")}, at(1.25))
	tell(t, one, false, Report{Sequence: 5, Held: set("a")}, at(1.5))
	tell(t, one, true, Report{Sequence: 5, Held: set("a", "b")}, at(1.75))
	ended(t, one, load("c"), Accepted, at(2))
	tell(t, one, false, Report{Sequence: 6, Held: set("a", "b")}, at(2.25))
	tell(t, one, false, Report{Sequence: 6, Held: set("a", "b")}, at(2.5))
	assert.Equal(t, one.Phase(), Changing)
}
