package simulation

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

func init() { logrus.SetOutput(io.Discard) }

// statistics sums up the counters of several runs.
type statistics struct {
	runs int
	// Loads ordered beyond capacity that are no violation: the holder could not know of another holder's order, or orders
	// arrived later than any bound.
	rejectedAfterForeignOrder, rejectedWithUnboundedDelay int
	// Orders that arrived, by status of the response; lateOrders counts those whose call had ended.
	orders, lateOrders map[int]int
}

func (t *statistics) add(c *cluster) {
	t.runs++
	t.rejectedAfterForeignOrder += c.rejectedAfterForeignOrder
	t.rejectedWithUnboundedDelay += c.rejectedWithUnboundedDelay
	for status, amount := range c.responses {
		t.orders[status] += amount
	}
	for status, amount := range c.lateResponses {
		t.lateOrders[status] += amount
	}
}

// check runs schedules with the given kinds of fault and fails on a violated invariant.
func check(t *testing.T, kinds []faultKind, model faultModel) {
	counted := statistics{orders: map[int]int{}, lateOrders: map[int]int{}}
	generator := schedules(kinds)
	rapid.Check(t, func(t *rapid.T) {
		planned := generator.Draw(t, "schedule")
		c := simulate(planned, model, noMutation, false)
		counted.add(c)
		if c.failed() {
			traced := simulate(planned, model, noMutation, true)
			t.Fatalf("%v\n%s\n%s", traced.failures, planned, strings.Join(traced.trace, "\n"))
		}
	})
	t.Logf("%+v", counted)
}

func TestSimulation_OrdinaryFaultsKeepCapacityAndLiveness(t *testing.T) {
	check(t, ordinaryFaults, faultModel{})
}

// A replica counts its sequence number from zero again after a restart. With unbounded delay, an order could therefore arrive
// when the number that it expects is current for the second time, so these runs have no restarts.
func TestSimulation_UnboundedDelayKeepsCapacity(t *testing.T) {
	check(t, without(ordinaryFaults, restartSameID, restartNewID), faultModel{unboundedDelay: true})
}

func TestSimulation_OverlappingHoldersKeepCapacity(t *testing.T) {
	kinds := append(without(ordinaryFaults), storeForgetsHolder, storeForgetsHolder, storeForgetsHolder)
	check(t, kinds, faultModel{overlappingHolders: true})
}

// maxMutationRuns is the maximum number of schedules that are run for a mutation.
const maxMutationRuns = 600

// mutationFaults holds the kinds of fault that expose a mutation, for mutations that a mix of all kinds rarely exposes.
var mutationFaults = map[mutation][]faultKind{
	noExpectedSequence:     {changeWanted, delayOrder, delayHolderRequests},
	keptAcrossGrants:       {changeWanted, changeWanted, freezeHolder, partitionStore},
	noResponseMeansNotSent: {changeWanted, delayOrder, loseOrderResponse},
	fencedOutcomeIgnored:   {changeWanted, storeForgetsHolder},
	sentUnderLaterGrant:    {changeWanted, freezeDeciding},
}

func TestSimulation_CatchesEveryMutation(t *testing.T) {
	for _, mutation := range mutations {
		t.Run(string(mutation), func(t *testing.T) {
			kinds, known := mutationFaults[mutation]
			if !known {
				kinds = ordinaryFaults
			}
			model := faultModel{
				overlappingHolders: mutation == fencedOutcomeIgnored,
				unboundedDelay:     mutation == noExpectedSequence,
			}
			for seed := range maxMutationRuns {
				planned := schedules(kinds).Example(seed)
				if c := simulate(planned, model, mutation, false); c.failed() {
					t.Logf("caught by schedule %d: %v", seed, c.failures[0])
					assertHoldsUnmutated(t, planned, model)
					return
				}
			}
			t.Fatalf("not caught by %d schedules", maxMutationRuns)
		})
	}
}

// assertHoldsUnmutated checks that a schedule violates no invariant without a mutation.
func assertHoldsUnmutated(t *testing.T, planned schedule, model faultModel) {
	t.Helper()
	if c := simulate(planned, model, noMutation, false); c.failed() {
		t.Fatalf("the schedule fails without the mutation too: %v", c.failures)
	}
}
