package linearizability_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/keystoresim"
)

const stallSchedulesInCI = 80

// stalledSeeds are the seeds of schedules in which a joint membership never ended when only a quorum of both groups could end
// it.
var stalledSeeds = []int{1155, 2844}

// TestMembership_ReplacementOfSeed360EndsAfterSecondLoss guards against a joint membership that can be neither completed nor
// rolled back: a member is isolated until its replacement starts, then another machine is lost.
func TestMembership_ReplacementOfSeed360EndsAfterSecondLoss(t *testing.T) {
	planned := schedule{seed: 360, size: 3, lossy: true, standby: true, faults: []plannedFault{
		{at: 3 * time.Second, kind: faultIsolate, machine: 0, duration: 2200 * time.Millisecond, seed: 1},
		{at: 5100 * time.Millisecond, kind: faultLoseMachine, machine: 2, duration: 30 * time.Second, seed: 2},
	}}
	for number := range 24 {
		planned.calls = append(planned.calls, operatorCall{
			number:   number,
			at:       time.Duration(number) * 400 * time.Millisecond,
			operator: number % 2,
			kind:     callPut,
			node:     number,
		})
	}
	_, err := runAndCheck(t, planned, variant{})
	assert.NilError(t, err)
}

// TestMembership_InterruptedReplacementsEnd runs replacements whose newcomer or another member, or both, are lost while the
// joint membership is in force. While a majority of the current members is up, calls must get replies again.
func TestMembership_InterruptedReplacementsEnd(t *testing.T) {
	from, to := keystoresim.SeedRange(stallSchedulesInCI)
	seeds := slices.Clone(stalledSeeds)
	for seed := from; seed < to; seed++ {
		seeds = append(seeds, seed)
	}
	sum := runTotals{results: map[string]int{}}
	for _, seed := range seeds {
		planned := drawInterruptedReplacement(uint64(seed))
		done, err := runAndCheck(t, planned, variant{})
		if err != nil {
			smallest, why := shrink(t, planned, variant{}, err)
			t.Fatalf("%s=%d replays this schedule; smaller:\n%s%s", keystoresim.SeedVariable, seed, smallest, why)
		}
		sum.add(done)
	}
	t.Logf("%d schedules: %s", len(seeds), sum)
}

// drawInterruptedReplacement draws a schedule in which a member is isolated for long enough to be replaced, another machine is
// lost permanently at about the end of the isolation, and the newcomer has faults at about that time.
func drawInterruptedReplacement(seed uint64) schedule {
	random := rand.New(rand.NewPCG(seed, 53))
	planned := schedule{
		seed:                   seed,
		size:                   3 + 2*random.IntN(2),
		lossy:                  seed%2 == 0,
		standby:                true,
		interruptsReplacements: true,
	}
	isolated := random.IntN(planned.size)
	isolation := plannedFault{
		at:       2800*time.Millisecond + drawTime(random, 400*time.Millisecond),
		kind:     faultIsolate,
		machine:  isolated,
		duration: 1600*time.Millisecond + drawTime(random, 1200*time.Millisecond),
		seed:     random.Uint64(),
	}
	end := isolation.at + isolation.duration
	loss := plannedFault{
		at:       end - 400*time.Millisecond + drawTime(random, 900*time.Millisecond),
		kind:     faultLoseMachine,
		machine:  (isolated + 1 + random.IntN(planned.size-1)) % planned.size,
		duration: 10*time.Second + drawTime(random, 20*time.Second),
		seed:     random.Uint64(),
	}
	planned.faults = []plannedFault{isolation, loss}
	for range random.IntN(3) {
		planned.faults = append(planned.faults, drawFaultOfNewcomer(random, planned.size, end))
	}
	for number := range 16 + random.IntN(16) {
		planned.calls = append(planned.calls, drawCall(random, number, drawTime(random, simulationLength)))
	}
	return planned
}

// drawFaultOfNewcomer draws a fault of the standby machine, or of one that joined after it.
func drawFaultOfNewcomer(random *rand.Rand, size int, about time.Duration) plannedFault {
	kinds := []faultKind{faultKill, faultPowerLoss, faultWipe, faultIsolate, faultStallDisk, faultLoseMachine, faultLoseMachine}
	return plannedFault{
		at:       about - 900*time.Millisecond + drawTime(random, 1500*time.Millisecond),
		kind:     kinds[random.IntN(len(kinds))],
		machine:  size,
		duration: 200*time.Millisecond + drawTime(random, 20*time.Second),
		seed:     random.Uint64(),
	}
}
