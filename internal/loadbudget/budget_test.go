package loadbudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/loadbudget"
)

func runSeed(seed uint64, planted plantedFault) error {
	random := rand.New(rand.NewPCG(seed, 31))
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	one := &simulation{random: random, fault: planted, now: start, unorderedLoads: 10 + random.IntN(120)}
	one.rates = []rateChange{{start, 0.5 + float64(random.IntN(4))}}
	return one.run()
}

func TestBudget_KeepsBoundsUnderFaults(t *testing.T) {
	for seed := range uint64(3000) {
		assert.NilError(t, runSeed(seed, noFault), "seed %d", seed)
	}
}

func TestSimulation_CatchesPlantedFaults(t *testing.T) {
	faults := map[string]plantedFault{
		"the reservation is forgotten at a takeover": reservationForgotten,
		"the own former life is not counted":         priorIncarnationNotCounted,
		"an uncertain write is spent":                uncertainWriteTrusted,
		"loads count once they are answered":         countedWhenAnswered,
		"a grant that was never acted under is lost": unseenGrantContinued,
		"loads count as older than they are":         agesOverstated,
	}
	for name, planted := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if err := runSeed(seed, planted); err != nil && !errors.Is(err, errNeverStarted) {
					t.Logf("seed %d: %s", seed, err)
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}

// countWrites counts the reservations written while loads are begun at a pace, as far as allowed, 0
// standing for none. A write takes 20 ms.
func countWrites(
	budget *loadbudget.Budget, bounds loadbudget.Bounds, from time.Time, span, pace time.Duration,
) (writes, loads int) {
	wanted := from
	for now := from; now.Before(from.Add(span)); now = now.Add(20 * time.Millisecond) {
		for pace > 0 && !wanted.After(now) && budget.Available(now, bounds) >= 1 {
			budget.MarkOrdered("r")
			budget.MarkStarted("r", now)
			wanted = wanted.Add(pace)
			loads++
		}
		if reservation, due := budget.Propose(now, bounds); due {
			budget.CompleteWrite(budget.Fence(), reservation, true, now)
			writes++
		}
	}
	return writes, loads
}

func TestBudget_WritesFewReservations(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for rate, loadsEach := range map[float64]int{0.5: 1, 1: 1, 4: 3, 16: 13} {
		var budget loadbudget.Budget
		bounds := loadbudget.NewBounds(rate, period, transit)
		budget.TakeOver(loadbudget.Takeover{Fence: 1, PredecessorStoppedAt: now, Reserved: new(loadbudget.Reservation)}, bounds)
		first, _ := countWrites(&budget, bounds, now, time.Minute, 0)
		assert.Equal(t, first, 1, "what is reserved ahead")
		idle, _ := countWrites(&budget, bounds, now.Add(time.Minute), time.Hour, 0)
		assert.Equal(t, idle, 0)
		pace := time.Duration(float64(time.Second) / rate)
		writes, loads := countWrites(&budget, bounds, now.Add(2*time.Hour), 10*time.Minute, pace)
		assert.Assert(t, writes <= 4+loads/loadsEach, "rate %f: %d writes for %d loads", rate, writes, loads)
		assert.Assert(t, float64(loads) >= 0.7*rate*600, "rate %f: only %d loads", rate, loads)
		after, _ := countWrites(&budget, bounds, now.Add(3*time.Hour), time.Hour, 0)
		assert.Assert(t, after <= 2, "lowered once the loads are over: %d writes", after)
	}
}

func TestBudget_TakeoverFromIdleHolderAllowsMostLoads(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	bounds := loadbudget.NewBounds(4, period, transit)
	var before, after loadbudget.Budget
	before.TakeOver(loadbudget.Takeover{Fence: 1, PredecessorStoppedAt: now, Reserved: new(loadbudget.Reservation)}, bounds)
	reserved, _ := before.Propose(now, bounds)
	after.TakeOver(loadbudget.Takeover{Fence: 2, PredecessorStoppedAt: now, Reserved: &reserved}, bounds)
	_, loads := countWrites(&after, bounds, now, time.Second, time.Millisecond)
	assert.Assert(t, 3*loads >= 2*bounds.Loads, "%d of %d", loads, bounds.Loads)
}

func TestBudget_UnknownReservationBlocksForOneWindow(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	bounds := loadbudget.NewBounds(1, period, transit)
	var budget loadbudget.Budget
	budget.TakeOver(loadbudget.Takeover{Fence: 7, PredecessorStoppedAt: now}, bounds)
	_, loads := countWrites(&budget, bounds, now, bounds.Window, time.Millisecond)
	assert.Equal(t, loads, 0)
	_, loads = countWrites(&budget, bounds, now.Add(bounds.Window), time.Second, time.Millisecond)
	assert.Equal(t, loads, bounds.Loads)
}
