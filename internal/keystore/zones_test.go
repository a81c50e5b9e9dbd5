package keystore_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/keystoresim"
)

func TestStore_FiveMembersKeepAcknowledgedWritesUnderCombinedFaults(t *testing.T) {
	mixes := [][]keystoresim.Fault{
		{keystoresim.RestartFaults},
		{keystoresim.LinkFaults},
		{keystoresim.DiskFaults},
		{keystoresim.RestartFaults, keystoresim.LinkFaults},
		{keystoresim.LinkFaults, keystoresim.DiskFaults},
		{keystoresim.RestartFaults, keystoresim.LinkFaults, keystoresim.DiskFaults},
	}
	from, to := keystoresim.SeedRange(120)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			_, err := schedule{seed: uint64(seed), faults: mixes[seed%len(mixes)]}.run()
			assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
		})
	}
}

func TestStore_AnswersInTimeWhileMajorityConnected(t *testing.T) {
	const answerBound = 4 * time.Second
	var latencies []time.Duration
	moved, changed, slowest, slowestSeed := 0, 0, time.Duration(0), 0
	from, to := keystoresim.SeedRange(30)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			reports, err := schedule{
				seed:        uint64(seed),
				retransmits: true,
				faults:      []keystoresim.Fault{keystoresim.ConnectedMajorityFaults},
			}.run()
			assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
			for _, report := range reports {
				latencies = append(latencies, report.latencies...)
				moved += report.ownerChanges()
				changed += len(report.proposals)
				if longest := slices.Max(report.latencies); longest > slowest {
					slowest, slowestSeed = longest, seed
				}
			}
		})
	}
	assert.Assert(t, slowest < answerBound, "FERRYSPAR_SEED=%d waits %s", slowestSeed, slowest)
	slices.Sort(latencies)
	at := func(share float64) time.Duration { return latencies[int(share*float64(len(latencies)-1))] }
	t.Logf("%d calls, %d changes, owner moved %d times; answered after %s (half), %s (99%%), %s (longest, seed %d)", len(latencies), changed, moved, at(0.5), at(0.99), at(1), slowestSeed)
}

func TestStore_KeepsAcknowledgedWritesWhileMemberReplacedAndZoneLost(t *testing.T) {
	from, to := keystoresim.SeedRange(60)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			_, err := schedule{
				seed:            uint64(seed),
				replacesMembers: true,
				faults:          []keystoresim.Fault{keystoresim.LinkFaults},
			}.run()
			assert.NilError(t, err, "FERRYSPAR_SEED=%d replays this schedule", seed)
		})
	}
}

func TestStore_BrokenVariantsAreCaught(t *testing.T) {
	variants := map[string]func(cluster *keystoresim.Cluster){
		"a wiped member that votes at once":           func(cluster *keystoresim.Cluster) { cluster.VotesWithoutCatchUp = true },
		"a member that answers before its disk syncs": func(cluster *keystoresim.Cluster) { cluster.SkipsSync = true },
		"silence counted as agreement":                func(cluster *keystoresim.Cluster) { cluster.CountsSilenceAsGrant = true },
	}
	for name, spoil := range variants {
		t.Run(name, func(t *testing.T) {
			caught := 0
			for seed := 1; seed < 60 && caught == 0; seed++ {
				synctest.Test(t, func(t *testing.T) {
					reports, err := schedule{
						seed:         uint64(seed),
						breakCluster: spoil,
						faults: []keystoresim.Fault{
							keystoresim.OneOf(keystoresim.WipeTwoDisks, keystoresim.LoseZone),
							keystoresim.LinkFaults,
						},
					}.run()
					if reports != nil && err != nil {
						caught = seed
						t.Log(seed, err)
					}
				})
			}
			assert.Assert(t, caught > 0, "no schedule shows what is wrong")
		})
	}
}
