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
	// maxStepMs is the longest time, in milliseconds, between two steps of a history.
	maxStepMs = 1200
)

// fleetFaults are what may befall a node in a history.
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

// history is a random course of events, determined by the seeds of its steps.
type history struct {
	limit Limit
	size  int
	steps []uint64
}

// violation plays the history and returns what exceeded the bounds, or nothing.
func (h history) violation(planted plantedFault) string {
	fleet := newFleet(DefaultParameters(testBounds), h.limit, h.size, planted, h.steps[0])
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
		if fleet.totalShare() > 1+rounding {
			return "the shares sum to more than the limit"
		}
	}
	if !fleet.keepsBounds(h.limit, 0) {
		return "a window has more requests than allowed"
	}
	return ""
}

func drawHistory(t *rapid.T) history {
	rate := rapid.Float64Range(0.1, 300).Draw(t, "rate")
	burst := rapid.Float64Range(0, 300).Draw(t, "burst")
	return history{
		limit: Limit{RatePerS: rate, Burst: burst},
		size:  rapid.IntRange(2, 8).Draw(t, "size"),
		steps: rapid.SliceOfN(rapid.Uint64(), 60, 200).Draw(t, "steps"),
	}
}

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

func TestFleet_CatchesPlantedFaults(t *testing.T) {
	const histories = 300
	for name, planted := range map[string]plantedFault{
		"a loan counted from its receipt": loansCountFromReceipt,
		"a loan counted twice":            repeatsCountTwice,
		"a restarted lender that forgets": restartForgets,
		"a silent data plane not counted": silentExpiredAtOnce,
		"a leaver that keeps its share":   keepsReleasedShare,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(7, 7))
			for index := range histories {
				if found := randomHistory(random).violation(planted); found != "" {
					t.Logf("history %d: %s", index, found)
					return
				}
			}
			t.Fatalf("not found in %d histories", histories)
		})
	}
}
