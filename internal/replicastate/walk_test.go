package replicastate

import (
	"maps"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// walkCalm is how many ticks without troubles make a replica ready for orders.
const walkCalm = 16

// walked is what a walk has found.
type walked struct {
	states int
	broken string
	path   []string // to where it broke
}

// walk visits all states breadth first, until a rule is broken or the bound is reached.
func walk(left walkBudget, fault walkFault, most int) walked {
	first := newWalkWorld(left)
	seen := map[string]bool{first.key(): true}
	level := []*walkWorld{first}
	for len(level) > 0 {
		var next []*walkWorld
		for _, world := range level {
			if !world.calmsDown(fault) {
				return walked{len(seen), "never ready again", world.path()}
			}
			for _, successor := range world.successors(fault) {
				if successor.broken != "" {
					return walked{len(seen), successor.broken, successor.path()}
				}
				if key := successor.key(); !seen[key] {
					seen[key] = true
					next = append(next, successor)
				}
			}
		}
		level = next
		if len(seen) > most {
			return walked{states: len(seen), broken: "too many states"}
		}
	}
	return walked{states: len(seen)}
}

// calmsDown tells whether the replica gets ready for orders once the network delivers everything and nothing else
// happens.
func (w *walkWorld) calmsDown(fault walkFault) bool {
	calm := w.clone()
	for len(calm.messages) > 0 {
		message := calm.messages[0]
		switch {
		case !message.arrived && !message.open:
			calm.lose(0)
		case !message.arrived:
			calm.arrive(0, fault)
		default:
			calm.end(0, message.outcome, fault)
		}
	}
	for range walkCalm {
		if calm.known.Ready(calm.now) {
			return true
		}
		if calm.replica.busy {
			calm.replica.finish()
		}
		calm.tick()
		if calm.known.AskDue(calm.now) {
			calm.tell(calm.replica, fault)
		}
	}
	return false
}

// walkBudgets are the worlds that are walked whole, the large ones where FERRYSPAR_SWEEP asks for it.
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

const mostWalked = 4_000_000

func walksNow() map[string]walkBudget {
	budgets := maps.Clone(walkBudgets)
	if os.Getenv("FERRYSPAR_SWEEP") != "" {
		maps.Copy(budgets, largeWalkBudgets)
	}
	return budgets
}

func TestGivenEveryStateOfASmallWorldThenNothingIsOrderedBeyondRoomAndTheReplicaGetsReadyAgain(t *testing.T) {
	for name, budget := range walksNow() {
		t.Run(name, func(t *testing.T) {
			found := walk(budget, walkSound, mostWalked)
			assert.Equal(t, found.broken, "", "%s", strings.Join(found.path, "\n"))
			t.Logf("%d states", found.states)
		})
	}
}

func TestGivenAPlantedFaultThenTheWalkFindsIt(t *testing.T) {
	faults := map[walkFault]walkBudget{
		walkNoExpectedSequence:  {orders: 3, grants: 1},
		walkEveryReportBelieved: {orders: 2},
		walkKeptAcrossGrants:    {orders: 2, grants: 1},
		walkUnknownCountsAsFree: {orders: 3},
		walkRestartUnnoticed:    {orders: 2, restarts: 1},
		walkFenceIgnored:        {orders: 3, strangers: 1},
	}
	for fault, budget := range faults {
		t.Run(string(fault), func(t *testing.T) {
			found := walk(budget, fault, mostWalked)
			assert.Assert(t, found.broken != "" && found.broken != "too many states", "%+v", found)
			t.Logf("%s after %d states", found.broken, found.states)
		})
	}
}
