package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// trouble does one thing to the fleet.
func (f *fleet) injectFault(kind int, one *node) {
	switch kind {
	case 0:
		f.start(one)
	case 1:
		one.frozen = true
	case 2:
		one.frozen = false
	case 3:
		one.partitioned = true
	case 4:
		one.partitioned = false
	case 5:
		if len(f.nodes) > 2 {
			f.leave(one)
		}
	case 6:
		if len(f.nodes) < 9 {
			f.join()
		}
	case 7:
		f.setLimit(one, Limit{RatePerS: f.limit.RatePerS * f.random.Float64(), Burst: f.limit.Burst * f.random.Float64()})
	case 8:
		f.setLimit(one, f.limit)
	case 9:
		one.pool.Drain()
	}
}

const faultKinds = 10

func (f *fleet) setLimit(one *node, limit Limit) {
	one.limit = limit
	one.pool.SetLimits(map[string]Limit{testTenant: limit}, f.clock(one))
}

// violation plays a random history and says what went beyond the bounds.
func violation(planted plantedFault, limit Limit, size int, steps []uint64) string {
	fleet := newFleet(DefaultParameters(testBounds), limit, size, planted, steps[0])
	for _, step := range steps {
		choice := rand.New(rand.NewPCG(step, 2))
		if choice.IntN(6) == 0 {
			fleet.injectFault(choice.IntN(faultKinds), fleet.nodes[choice.IntN(len(fleet.nodes))])
		}
		if choice.IntN(8) == 0 {
			fleet.requesting = !fleet.requesting
		}
		fleet.step(time.Duration(choice.IntN(1200)+1) * time.Millisecond)
		if fleet.totalShare() > 1+rounding {
			return "the shares sum to more than the limit"
		}
	}
	if float64(fleet.largestWindow(0)) > testBounds.Allowed(limit) {
		return "a window has more requests than allowed"
	}
	return ""
}

func drawHistory(t *rapid.T) (Limit, int, []uint64) {
	limit := Limit{RatePerS: rapid.Float64Range(0.1, 300).Draw(t, "rate"), Burst: rapid.Float64Range(0, 300).Draw(t, "burst")}
	size := rapid.IntRange(2, 8).Draw(t, "size")
	return limit, size, rapid.SliceOfN(rapid.Uint64(), 60, 200).Draw(t, "steps")
}

func TestFleet_NeverExceedsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, size, steps := drawHistory(t)
		if found := violation(noFault, limit, size, steps); found != "" {
			t.Fatal(found)
		}
	})
}

func TestFleet_CatchesPlantedFaults(t *testing.T) {
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
			for range 300 {
				steps := make([]uint64, 150)
				for position := range steps {
					steps[position] = random.Uint64()
				}
				if violation(planted, Limit{RatePerS: 20, Burst: 300}, 4, steps) != "" {
					return
				}
			}
			t.Fatal("not found in 300 histories")
		})
	}
}
