package replicastate

import (
	"maps"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// settleTicks is the number of fault-free ticks within which a replica must become ready for orders.
const settleTicks = 16

// explorationResult is the result of explore.
type explorationResult struct {
	states    int
	violation string
	path      []string // moves that lead to the violation
}

// explore visits all reachable states breadth first, until an invariant is violated or the limit is exceeded.
func explore(budget moveBudget, active mutation, limit int) explorationResult {
	first := newSystemState(budget)
	seen := map[string]bool{first.key(): true}
	level := []*systemState{first}
	for len(level) > 0 {
		var next []*systemState
		for _, state := range level {
			if !state.recovers(active) {
				return explorationResult{len(seen), "never ready again", state.path()}
			}
			for _, successor := range state.successors(active) {
				if successor.violation != "" {
					return explorationResult{len(seen), successor.violation, successor.path()}
				}
				if key := successor.key(); !seen[key] {
					seen[key] = true
					next = append(next, successor)
				}
			}
		}
		level = next
		if len(seen) > limit {
			return explorationResult{states: len(seen), violation: "too many states"}
		}
	}
	return explorationResult{states: len(seen)}
}

// recovers reports whether the replica becomes ready for orders once the network delivers everything and no further faults
// or decisions follow.
func (s *systemState) recovers(active mutation) bool {
	settled := s.clone()
	for len(settled.messages) > 0 {
		message := settled.messages[0]
		switch {
		case !message.arrived && !message.open:
			settled.drop(0)
		case !message.arrived:
			settled.arrive(0, active)
		default:
			settled.endCall(0, message.outcome, active)
		}
	}
	for range settleTicks {
		if settled.tracked.IsReady(settled.now) {
			return true
		}
		if settled.replica.busy {
			settled.replica.finish()
		}
		settled.tick()
		if settled.tracked.PollDue(settled.now) {
			settled.poll(settled.replica, active)
		}
	}
	return false
}

// moveBudgets are the budgets of the state spaces that are explored. Those of largeMoveBudgets are added if FERRYSPAR_SWEEP
// is set.
var moveBudgets = map[string]moveBudget{
	"takeover":     {orders: 2, grants: 1},
	"restart":      {orders: 2, restarts: 1},
	"foreign load": {orders: 2, foreignLoads: 1},
}

var largeMoveBudgets = map[string]moveBudget{
	"orders":                    {orders: 3},
	"orders and a takeover":     {orders: 3, grants: 1},
	"two takeovers":             {orders: 2, grants: 2},
	"restart and a takeover":    {orders: 2, grants: 1, restarts: 1},
	"orders and a foreign load": {orders: 3, foreignLoads: 1},
}

const maxStates = 4_000_000

func selectedMoveBudgets() map[string]moveBudget {
	budgets := maps.Clone(moveBudgets)
	if os.Getenv("FERRYSPAR_SWEEP") != "" {
		maps.Copy(budgets, largeMoveBudgets)
	}
	return budgets
}

func TestExploration_EveryStateStaysWithinCapacityAndRecovers(t *testing.T) {
	for name, budget := range selectedMoveBudgets() {
		t.Run(name, func(t *testing.T) {
			found := explore(budget, noMutation, maxStates)
			assert.Equal(t, found.violation, "", "%s", strings.Join(found.path, "\n"))
			t.Logf("%d states", found.states)
		})
	}
}

func TestExploration_CatchesEveryMutation(t *testing.T) {
	mutations := map[mutation]moveBudget{
		mutationNoExpectedSequence:     {orders: 3, grants: 1},
		mutationEveryReportAdopted:     {orders: 2},
		mutationKeptAcrossGrants:       {orders: 2, grants: 1},
		mutationNoResponseMeansNotSent: {orders: 3},
		mutationRestartIgnored:         {orders: 2, restarts: 1},
		mutationFenceIgnored:           {orders: 3, foreignLoads: 1},
	}
	for active, budget := range mutations {
		t.Run(string(active), func(t *testing.T) {
			found := explore(budget, active, maxStates)
			assert.Assert(t, found.violation != "" && found.violation != "too many states", "%+v", found)
			t.Logf("%s after %d states", found.violation, found.states)
		})
	}
}
