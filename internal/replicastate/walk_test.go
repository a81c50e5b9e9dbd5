package replicastate

import (
	"maps"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// settleTicks is how many ticks without faults make a replica ready for orders.
const settleTicks = 16

// walkResult is what a walk has found.
type walkResult struct {
	states    int
	violation string
	path      []string // to where it broke
}

// walk visits all states breadth first, until an invariant is broken or the limit is reached.
func walk(budget walkBudget, fault plantedFault, limit int) walkResult {
	first := newWalkWorld(budget)
	seen := map[string]bool{first.key(): true}
	level := []*walkWorld{first}
	for len(level) > 0 {
		var next []*walkWorld
		for _, world := range level {
			if !world.recovers(fault) {
				return walkResult{len(seen), "never ready again", world.path()}
			}
			for _, successor := range world.successors(fault) {
				if successor.violation != "" {
					return walkResult{len(seen), successor.violation, successor.path()}
				}
				if key := successor.key(); !seen[key] {
					seen[key] = true
					next = append(next, successor)
				}
			}
		}
		level = next
		if len(seen) > limit {
			return walkResult{states: len(seen), violation: "too many states"}
		}
	}
	return walkResult{states: len(seen)}
}

// recovers tells whether the replica gets ready for orders once the network delivers everything and nothing else
// happens.
func (w *walkWorld) recovers(fault plantedFault) bool {
	settled := w.clone()
	for len(settled.messages) > 0 {
		message := settled.messages[0]
		switch {
		case !message.arrived && !message.open:
			settled.drop(0)
		case !message.arrived:
			settled.arrive(0, fault)
		default:
			settled.endCall(0, message.outcome, fault)
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
			settled.poll(settled.replica, fault)
		}
	}
	return false
}

// walkBudgets are the worlds that are explored exhaustively, the large ones only if FERRYSPAR_SWEEP is set.
var walkBudgets = map[string]walkBudget{
	"takeover": {orders: 2, grants: 1},
	"restart":  {orders: 2, restarts: 1},
	"stranger": {orders: 2, strangers: 1},
}

var largeWalkBudgets = map[string]walkBudget{
	"orders":                 {orders: 3},
	"orders and a takeover":  {orders: 3, grants: 1},
	"two takeovers":          {orders: 2, grants: 2},
	"restart and a takeover": {orders: 2, grants: 1, restarts: 1},
	"orders and a stranger":  {orders: 3, strangers: 1},
}

const maxWalkedStates = 4_000_000

func selectedWalkBudgets() map[string]walkBudget {
	budgets := maps.Clone(walkBudgets)
	if os.Getenv("FERRYSPAR_SWEEP") != "" {
		maps.Copy(budgets, largeWalkBudgets)
	}
	return budgets
}

func TestWalk_EveryStateStaysWithinCapacityAndRecovers(t *testing.T) {
	for name, budget := range selectedWalkBudgets() {
		t.Run(name, func(t *testing.T) {
			found := walk(budget, noFault, maxWalkedStates)
			assert.Equal(t, found.violation, "", "%s", strings.Join(found.path, "\n"))
			t.Logf("%d states", found.states)
		})
	}
}

func TestWalk_FindsEveryPlantedFault(t *testing.T) {
	faults := map[plantedFault]walkBudget{
		faultNoExpectedSequence:  {orders: 3, grants: 1},
		faultEveryReportBelieved: {orders: 2},
		faultKeptAcrossGrants:    {orders: 2, grants: 1},
		faultUnknownCountsAsFree: {orders: 3},
		faultRestartUnnoticed:    {orders: 2, restarts: 1},
		faultFenceIgnored:        {orders: 3, strangers: 1},
	}
	for fault, budget := range faults {
		t.Run(string(fault), func(t *testing.T) {
			found := walk(budget, fault, maxWalkedStates)
			assert.Assert(t, found.violation != "" && found.violation != "too many states", "%+v", found)
			t.Logf("%s after %d states", found.violation, found.states)
		})
	}
}
