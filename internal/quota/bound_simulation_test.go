package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	minNodes = 2
	maxNodes = 9
	// maxStepMs is the maximum time between two steps of a history, in milliseconds.
	maxStepMs = 1200
)

// fleetFaults holds the events that are injected at random nodes in a history.
var fleetFaults = []func(f *fleet, node *node){
	(*fleet).start,
	func(_ *fleet, node *node) { node.frozen = true },
	func(_ *fleet, node *node) { node.frozen = false },
	func(_ *fleet, node *node) { node.partitioned = true },
	func(_ *fleet, node *node) { node.partitioned = false },
	func(f *fleet, node *node) {
		if len(f.nodes) > minNodes {
			f.leave(node)
		}
	},
	func(f *fleet, _ *node) {
		if len(f.nodes) < maxNodes {
			f.join()
		}
	},
	func(f *fleet, node *node) {
		f.setLimit(node, Limit{
			RatePerS: f.limit.RatePerS * f.random.Float64(),
			Burst:    f.limit.Burst * f.random.Float64(),
		})
	},
	func(f *fleet, node *node) { f.setLimit(node, f.limit) },
	func(_ *fleet, node *node) { node.pool.Drain() },
}

// history is a random sequence of events, determined by the seeds of its steps.
type history struct {
	limit Limit
	size  int
	steps []uint64
}

// violation simulates the history and returns a description of the violated invariant, or an empty string.
func (h history) violation(injected injectedFault) string {
	fleet := newFleet(DefaultParameters(testBounds), h.limit, h.size, injected, h.steps[0])
	for _, step := range h.steps {
		random := rand.New(rand.NewPCG(step, 2))
		if random.IntN(6) == 0 {
			inject := fleetFaults[random.IntN(len(fleetFaults))]
			inject(fleet, fleet.nodes[random.IntN(len(fleet.nodes))])
		}
		if random.IntN(8) == 0 {
			fleet.requesting = !fleet.requesting
		}
		fleet.step(time.Duration(random.IntN(maxStepMs)+1) * time.Millisecond)
		if fleet.totalShare() > 1+roundingTolerance {
			return "the sum of the shares exceeds the limit"
		}
	}
	if !fleet.keepsBounds(h.limit, 0) {
		return "a window has more requests than allowed"
	}
	return ""
}

// drawHistory draws a history whose failures rapid can shrink.
func drawHistory(t *rapid.T) history {
	rate := rapid.Float64Range(0.1, 300).Draw(t, "rate")
	burst := rapid.Float64Range(0, 300).Draw(t, "burst")
	return history{
		limit: Limit{RatePerS: rate, Burst: burst},
		size:  rapid.IntRange(2, 8).Draw(t, "size"),
		steps: rapid.SliceOfN(rapid.Uint64(), 60, 200).Draw(t, "steps"),
	}
}

// randomHistory returns a history of 150 steps with a fixed limit and size.
func randomHistory(random *rand.Rand) history {
	steps := make([]uint64, 150)
	for index := range steps {
		steps[index] = random.Uint64()
	}
	return history{limit: Limit{RatePerS: 20, Burst: 300}, size: 4, steps: steps}
}

func TestFleet_NeverExceedsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if found := drawHistory(t).violation(noFault); found != "" {
			t.Fatal(found)
		}
	})
}

func TestFleet_DetectsInjectedFaults(t *testing.T) {
	const histories = 300
	for name, injected := range map[string]injectedFault{
		"loan term starts at receipt":    termStartsAtReceipt,
		"repeated loan counted twice":    repeatsCountTwice,
		"restarted lender does not wait": restartLendsAtOnce,
		"silent data plane not counted":  silentExpiredAtOnce,
		"released share kept":            keepsReleasedShare,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(7, 7))
			for index := range histories {
				if found := randomHistory(random).violation(injected); found != "" {
					t.Logf("history %d: %s", index, found)
					return
				}
			}
			t.Fatalf("fault not detected in %d histories", histories)
		})
	}
}
