package simulation

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

func init() { logrus.SetOutput(io.Discard) }

// statistics is what happened in some plays.
type statistics struct {
	runs int
	// Loads beyond room that were refused: those of a holder that could not know of another's order, and those in plays
	// with orders that come later than any bound.
	rejectedUnaware, rejectedBeyond int
	orders, lateOrders              map[int]int // by status
}

func (t *statistics) add(w *world) {
	t.runs++
	t.rejectedUnaware += w.rejectedUnaware
	t.rejectedBeyond += w.rejectedBeyond
	for status, amount := range w.responses {
		t.orders[status] += amount
	}
	for status, amount := range w.lateResponses {
		t.lateOrders[status] += amount
	}
}

// check plays schedules and requires that no rule is broken.
func check(t *testing.T, kinds []faultKind, allowed allowances) {
	counted := statistics{orders: map[int]int{}, lateOrders: map[int]int{}}
	generator := schedules(kinds)
	rapid.Check(t, func(t *rapid.T) {
		plan := generator.Draw(t, "schedule")
		w := simulate(plan, allowed, noMutation, false)
		counted.add(w)
		if w.failed() {
			told := simulate(plan, allowed, noMutation, true)
			t.Fatalf("%v\n%s\n%s", told.failures, plan, strings.Join(told.trace, "\n"))
		}
	})
	t.Logf("%+v", counted)
}

func TestSimulation_OrdinaryFaultsKeepCapacityAndLiveness(t *testing.T) {
	check(t, ordinaryFaults, allowances{})
}

// A replica's sequence begins anew with its process, so beyond all bounds an order may meet its number again there: such
// plays have no restarts.
func TestSimulation_UnboundedDelayKeepsCapacity(t *testing.T) {
	check(t, without(ordinaryFaults, restartSame, restartOther), allowances{unboundedDelay: true})
}

func TestSimulation_OverlappingHoldersKeepCapacity(t *testing.T) {
	check(t, append(without(ordinaryFaults), storeForgetsHolder, storeForgetsHolder, storeForgetsHolder), allowances{overlappingHolders: true})
}

// maxMutationRuns is how many schedules are played for a planted fault at most.
const maxMutationRuns = 600

// mutationFaults are the troubles that bring a planted fault out, where those of every kind rarely do.
var mutationFaults = map[mutation][]faultKind{
	noExpectedSequence:  {wantOthers, delayOrder, delayHolderRequests},
	keptAcrossGrants:    {wantOthers, wantOthers, freezeHolder, partitionStore},
	unknownCountsAsFree: {wantOthers, delayOrder, loseOrderResponse},
	fenceRefusalIgnored: {wantOthers, storeForgetsHolder},
	sentUnderLaterGrant: {wantOthers, freezeDeciding},
}

func TestSimulation_CatchesEveryMutation(t *testing.T) {
	for _, planted := range mutations {
		t.Run(string(planted), func(t *testing.T) {
			kinds, known := mutationFaults[planted]
			if !known {
				kinds = ordinaryFaults
			}
			allowed := allowances{overlappingHolders: planted == fenceRefusalIgnored, unboundedDelay: planted == noExpectedSequence}
			for seed := range maxMutationRuns {
				plan := schedules(kinds).Example(seed)
				if w := simulate(plan, allowed, planted, false); w.failed() {
					t.Logf("caught by schedule %d: %v", seed, w.failures[0])
					assertHoldsUnmutated(t, plan, allowed)
					return
				}
			}
			t.Fatalf("not caught by %d schedules", maxMutationRuns)
		})
	}
}

// assertHoldsUnmutated checks that a schedule breaks no rule without a planted fault.
func assertHoldsUnmutated(t *testing.T, plan schedule, allowed allowances) {
	t.Helper()
	if w := simulate(plan, allowed, noMutation, false); w.failed() {
		t.Fatalf("without the fault too: %v", w.failures)
	}
}
