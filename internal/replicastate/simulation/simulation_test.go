package simulation

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

func init() { logrus.SetOutput(io.Discard) }

// check plays schedules and requires that no rule is broken.
func check(t *testing.T, kinds []troubleKind, allowed bounds) {
	refusedLate, refusedUnaware, plays := 0, 0, 0
	generator := schedules(kinds)
	rapid.Check(t, func(t *rapid.T) {
		plan := generator.Draw(t, "schedule")
		w := play(plan, allowed, sound, false)
		refusedLate, refusedUnaware, plays = refusedLate+w.refusedLate, refusedUnaware+w.refusedUnaware, plays+1
		if w.failed() {
			told := play(plan, allowed, sound, true)
			t.Fatalf("%v\n%s\n%s", told.failures, plan, strings.Join(told.journal, "\n"))
		}
	})
	t.Logf("%d plays; beyond room and refused: %d that came late, %d of a holder that could not know", plays, refusedLate, refusedUnaware)
}

func TestGivenAnyTroublesThenNoReplicaIsLoadedBeyondItsRoomAndAllThatIsWantedIsLoadedInTheEnd(t *testing.T) {
	check(t, ordinaryTroubles, bounds{})
}
