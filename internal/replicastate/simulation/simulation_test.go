package simulation

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

func init() { logrus.SetOutput(io.Discard) }

// statistics counts what happened in some runs.
type statistics struct {
	runs int
	// Loads beyond capacity that were rejected: those of a holder that could not know of another's order, and those in
	// runs with orders that arrive later than any bound.
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

// check runs schedules and requires that no invariant is broken.
func check(t *testing.T, kinds []faultKind, allowed allowances) {
	counted := statistics{orders: map[int]int{}, lateOrders: map[int]int{}}
	generator := schedules(kinds)
	rapid.Check(t, func(t *rapid.T) {
		planned := generator.Draw(t, "schedule")
		w := simulate(planned, allowed, noMutation, false)
		counted.add(w)
		if w.failed() {
			traced := simulate(planned, allowed, noMutation, true)
			t.Fatalf("%v\n%s\n%s", traced.failures, planned, strings.Join(traced.trace, "\n"))
		}
	})
	t.Logf("%+v", counted)
}

func TestSimulation_OrdinaryFaultsKeepCapacityAndLiveness(t *testing.T) {
	check(t, ordinaryFaults, allowances{})
}

// A replica's sequence begins anew with its process, so beyond all bounds an order may meet its number again there: such
// runs have no restarts.
func TestSimulation_UnboundedDelayKeepsCapacity(t *testing.T) {
	check(t, without(ordinaryFaults, restartSame, restartOther), allowances{unboundedDelay: true})
}

func TestSimulation_OverlappingHoldersKeepCapacity(t *testing.T) {
	kinds := append(without(ordinaryFaults), storeForgetsHolder, storeForgetsHolder, storeForgetsHolder)
	check(t, kinds, allowances{overlappingHolders: true})
}

// maxMutationRuns is how many schedules are run for a mutation at most.
const maxMutationRuns = 600

// mutationFaults are the faults that bring a mutation out, where those of every kind rarely do.
var mutationFaults = map[mutation][]faultKind{
	noExpectedSequence:    {wantOthers, delayOrder, delayHolderRequests},
	keptAcrossGrants:      {wantOthers, wantOthers, freezeHolder, partitionStore},
	unknownCountsAsFree:   {wantOthers, delayOrder, loseOrderResponse},
	fenceRejectionIgnored: {wantOthers, storeForgetsHolder},
	sentUnderLaterGrant:   {wantOthers, freezeDeciding},
}

func TestSimulation_CatchesEveryMutation(t *testing.T) {
	for _, mutation := range mutations {
		t.Run(string(mutation), func(t *testing.T) {
			kinds, known := mutationFaults[mutation]
			if !known {
				kinds = ordinaryFaults
			}
			allowed := allowances{
				overlappingHolders: mutation == fenceRejectionIgnored,
				unboundedDelay:     mutation == noExpectedSequence,
			}
			for seed := range maxMutationRuns {
				planned := schedules(kinds).Example(seed)
				if w := simulate(planned, allowed, mutation, false); w.failed() {
					t.Logf("caught by schedule %d: %v", seed, w.failures[0])
					assertHoldsUnmutated(t, planned, allowed)
					return
				}
			}
			t.Fatalf("not caught by %d schedules", maxMutationRuns)
		})
	}
}

// assertHoldsUnmutated checks that a schedule breaks no invariant without a mutation.
func assertHoldsUnmutated(t *testing.T, planned schedule, allowed allowances) {
	t.Helper()
	if w := simulate(planned, allowed, noMutation, false); w.failed() {
		t.Fatalf("without the mutation too: %v", w.failures)
	}
}
