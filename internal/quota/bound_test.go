package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// trouble does one thing to the fleet.
func (f *fleet) trouble(kind int, one *node) {
	switch kind {
	case 0:
		f.start(one)
	case 1:
		one.frozen = true
	case 2:
		one.frozen = false
	case 3:
		one.apart = true
	case 4:
		one.apart = false
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
		one.pool.Leave()
	}
}

const troubleKinds = 10

func (f *fleet) setLimit(one *node, limit Limit) {
	one.limit = limit
	one.pool.SetLimits(map[string]Limit{testTenant: limit}, f.clock(one))
}

// violation plays a random history and says what went beyond the bounds.
func violation(planted fault, limit Limit, size int, steps []uint64) string {
	fleet := newFleet(DefaultParameters(testBounds), limit, size, planted, steps[0])
	for _, step := range steps {
		choice := rand.New(rand.NewPCG(step, 2))
		if choice.IntN(6) == 0 {
			fleet.trouble(choice.IntN(troubleKinds), fleet.nodes[choice.IntN(len(fleet.nodes))])
		}
		if choice.IntN(8) == 0 {
			fleet.wanted = !fleet.wanted
		}
		fleet.round(time.Duration(choice.IntN(1200)+1) * time.Millisecond)
		if fleet.lent() > 1+rounding {
			return "the shares sum to more than the limit"
		}
	}
	if float64(fleet.worst(0)) > testBounds.Allowed(limit) {
		return "a window has more requests than allowed"
	}
	return ""
}

func drawHistory(t *rapid.T) (Limit, int, []uint64) {
	limit := Limit{RatePerS: rapid.Float64Range(0.1, 300).Draw(t, "rate"), Burst: rapid.Float64Range(0, 300).Draw(t, "burst")}
	size := rapid.IntRange(2, 8).Draw(t, "size")
	return limit, size, rapid.SliceOfN(rapid.Uint64(), 60, 200).Draw(t, "steps")
}

func TestGivenAnyHistoryThenNoWindowHasMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, size, steps := drawHistory(t)
		if found := violation(soundFleet, limit, size, steps); found != "" {
			t.Fatal(found)
		}
	})
}

func TestGivenAPlantedFaultThenAHistoryShowsIt(t *testing.T) {
	for name, planted := range map[string]fault{
		"a loan counted from its receipt": loansCountFromReceipt,
		"a loan counted twice":            repeatsCountTwice,
		"a restarted lender that forgets": restartForgets,
		"a silent data plane not counted": silentNotCounted,
		"a leaver that keeps its share":   releasedButKept,
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
