package simulation

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

func init() { logrus.SetOutput(io.Discard) }

// tally is what happened in some plays.
type tally struct {
	plays int
	// Loads beyond room that were refused: those of a holder that could not know of another's order, and those in plays
	// with orders that come later than any bound.
	refusedUnaware, refusedBeyond int
	orders, late                  map[int]int // by status
}

func (t *tally) add(w *world) {
	t.plays++
	t.refusedUnaware += w.refusedUnaware
	t.refusedBeyond += w.refusedBeyond
	for status, amount := range w.answers {
		t.orders[status] += amount
	}
	for status, amount := range w.lateAnswers {
		t.late[status] += amount
	}
}

// check plays schedules and requires that no rule is broken.
func check(t *testing.T, kinds []troubleKind, allowed bounds) {
	counted := tally{orders: map[int]int{}, late: map[int]int{}}
	generator := schedules(kinds)
	rapid.Check(t, func(t *rapid.T) {
		plan := generator.Draw(t, "schedule")
		w := play(plan, allowed, sound, false)
		counted.add(w)
		if w.failed() {
			told := play(plan, allowed, sound, true)
			t.Fatalf("%v\n%s\n%s", told.failures, plan, strings.Join(told.journal, "\n"))
		}
	})
	t.Logf("%+v", counted)
}

func TestGivenAnyTroublesThenNoReplicaIsLoadedBeyondItsRoomAndAllThatIsWantedIsLoadedInTheEnd(t *testing.T) {
	check(t, ordinaryTroubles, bounds{})
}

// A replica's sequence begins anew with its process, so beyond all bounds an order may meet its number again there: such
// plays have no restarts.
func TestGivenOrdersThatArriveLaterThanAnyBoundThenNoReplicaIsLoadedBeyondItsRoom(t *testing.T) {
	check(t, without(ordinaryTroubles, restartSame, restartOther), bounds{beyond: true})
}

func TestGivenAHolderThatDidNotWaitForTheEndOfTheLeaseBeforeThenNoReplicaIsLoadedBeyondItsRoom(t *testing.T) {
	check(t, append(without(ordinaryTroubles), rushedSeizure, rushedSeizure, rushedSeizure), bounds{rushed: true})
}

// faultPlays is how many schedules are played for a planted fault at most.
const faultPlays = 600

// faultTroubles are the troubles that bring a planted fault out, where those of every kind rarely do.
var faultTroubles = map[variant][]troubleKind{
	noExpectedSequence:  {wantOthers, holdOrder, cutRequests},
	keptAcrossGrants:    {wantOthers, wantOthers, freezeHolder, cutStore},
	unknownCountsAsFree: {wantOthers, holdOrder, loseOrderAnswer},
	fenceRefusalIgnored: {wantOthers, rushedSeizure},
	sentUnderLaterGrant: {wantOthers, freezeDeciding},
}

func TestGivenAPlantedFaultThenSomeScheduleBreaksARule(t *testing.T) {
	for _, planted := range faults {
		t.Run(string(planted), func(t *testing.T) {
			kinds, known := faultTroubles[planted]
			if !known {
				kinds = ordinaryTroubles
			}
			allowed := bounds{rushed: planted == fenceRefusalIgnored, beyond: planted == noExpectedSequence}
			for seed := range faultPlays {
				plan := schedules(kinds).Example(seed)
				if w := play(plan, allowed, planted, false); w.failed() {
					t.Logf("caught by schedule %d: %v", seed, w.failures[0])
					assertSound(t, plan, allowed)
					return
				}
			}
			t.Fatalf("not caught by %d schedules", faultPlays)
		})
	}
}

// assertSound checks that a schedule breaks no rule without a planted fault.
func assertSound(t *testing.T, plan schedule, allowed bounds) {
	t.Helper()
	if w := play(plan, allowed, sound, false); w.failed() {
		t.Fatalf("without the fault too: %v", w.failures)
	}
}
