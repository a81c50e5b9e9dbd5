package placement

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func TestChooseVictims_FreesEnoughWithoutNeedlessUnloads(t *testing.T) {
	t.Run("one large victim instead of a small one and the large one", func(t *testing.T) {
		victims := []victim{{cost: 0.1, freedMemory: 40}, {cost: 0.2, freedMemory: 70}}
		chosen, cost, possible := chooseVictims(victims, 60)
		assert.Assert(t, possible)
		assert.Equal(t, chosen, victimSet(2))
		assert.Equal(t, cost, 0.2+unloadTimeCost)
	})
	t.Run("nothing to free", func(t *testing.T) {
		chosen, cost, possible := chooseVictims([]victim{{cost: 1, freedMemory: 40}}, 0)
		assert.Assert(t, possible)
		assert.Equal(t, chosen, victimSet(0))
		assert.Equal(t, cost, 0.0)
	})
	t.Run("any victims", func(t *testing.T) {
		for seed := range uint64(500) {
			random := rand.New(rand.NewPCG(seed, 1))
			victims := make([]victim, random.IntN(90))
			total := memoryUnits(0)
			for index := range victims {
				victims[index] = victim{cost: float64(index), freedMemory: memoryUnits(random.IntN(50))}
				if index < maxVictims {
					total += victims[index].freedMemory
				}
			}
			need := memoryUnits(random.IntN(300))
			chosen, _, possible := chooseVictims(victims, need)
			assert.Equal(t, possible, total >= need, "seed %d", seed)
			assertNoneNeedless(t, victims, chosen, need, possible)
		}
	})
}

// assertNoneNeedless asserts that the chosen victims free enough memory and that none of them could be dropped.
func assertNoneNeedless(t *testing.T, victims []victim, chosen victimSet, need memoryUnits, possible bool) {
	t.Helper()
	freed := memoryUnits(0)
	for position := range min(len(victims), maxVictims) {
		if chosen.contains(position) {
			freed += victims[position].freedMemory
		}
	}
	assert.Assert(t, !possible || freed >= need)
	for position := range min(len(victims), maxVictims) {
		assert.Assert(t, !chosen.contains(position) || freed-victims[position].freedMemory < need)
	}
}
