package keystore_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

func TestStore_KeepsAcknowledgedWritesUnderFaults(t *testing.T) {
	forEachSeed(t, 1200, func(seed uint64) error {
		size := 3 + 2*(int(seed)%4/3)
		return runMachineFaults(seed, size, false)
	})
}

func TestStore_WipedMemberVotingAtOnceIsCaught(t *testing.T) {
	caught, _ := findFailure(t, 400, func(seed uint64) error { return runMachineFaults(seed, 3, true) })
	assert.Assert(t, caught > 0, "no schedule shows the loss caused by a wiped member that votes at once")
}

func TestStore_KeepsAcknowledgedWritesWhileMembersReplaced(t *testing.T) {
	forEachSeed(t, 250, runReplacements)
}

func TestStore_FiveMembersKeepAcknowledgedWritesUnderCombinedFaults(t *testing.T) {
	mixes := [][]keystoresim.Fault{
		{keystoresim.RestartFaults},
		{keystoresim.LinkFaults},
		{keystoresim.DiskFaults},
		{keystoresim.RestartFaults, keystoresim.LinkFaults},
		{keystoresim.LinkFaults, keystoresim.DiskFaults},
		{keystoresim.RestartFaults, keystoresim.LinkFaults, keystoresim.DiskFaults},
	}
	forEachSeed(t, 120, func(seed uint64) error {
		_, err := zoneSchedule{seed: seed, faults: mixes[int(seed)%len(mixes)]}.run()
		return err
	})
}

func TestStore_KeepsAcknowledgedWritesWhileMemberReplacedAndZoneLost(t *testing.T) {
	forEachSeed(t, 60, func(seed uint64) error {
		_, err := zoneSchedule{
			seed:            seed,
			replacesMembers: true,
			faults:          []keystoresim.Fault{keystoresim.LinkFaults},
		}.run()
		return err
	})
}

func TestStore_AnswersInTimeWhileMajorityConnected(t *testing.T) {
	const latencyLimit = 4 * time.Second
	var latencies []time.Duration
	ownerChanges, changes, slowest, slowestSeed := 0, 0, time.Duration(0), uint64(0)
	forEachSeed(t, 30, func(seed uint64) error {
		reports, err := zoneSchedule{
			seed:        seed,
			retransmits: true,
			faults:      []keystoresim.Fault{keystoresim.ConnectedMajorityFaults},
		}.run()
		if err != nil {
			return err
		}
		for _, seen := range reports {
			latencies = append(latencies, seen.latencies...)
			ownerChanges += seen.ownerChanges()
			changes += len(seen.proposals)
			if longest := slices.Max(seen.latencies); longest > slowest {
				slowest, slowestSeed = longest, seed
			}
		}
		return nil
	})
	assert.Assert(t, slowest < latencyLimit, "%s=%d has a call answered after %s", keystoresim.SeedVariable, slowestSeed, slowest)
	slices.Sort(latencies)
	quantile := func(share float64) time.Duration { return latencies[int(share*float64(len(latencies)-1))] }
	t.Logf("%d calls, %d changes, %d owner changes; latency %s (median), %s (99%%), %s (maximum, seed %d)",
		len(latencies), changes, ownerChanges, quantile(0.5), quantile(0.99), quantile(1), slowestSeed)
}

func TestStore_BrokenVariantsAreCaught(t *testing.T) {
	variants := map[string]func(cluster *keystoresim.Cluster){
		"a wiped member that votes at once":           func(cluster *keystoresim.Cluster) { cluster.VotesWithoutCatchUp = true },
		"a member that replies before its disk syncs": func(cluster *keystoresim.Cluster) { cluster.SkipsSync = true },
		"a missing reply counted as agreement":        func(cluster *keystoresim.Cluster) { cluster.CountsMissingReplyAsGrant = true },
	}
	faults := []keystoresim.Fault{
		keystoresim.OneOf(keystoresim.WipeTwoDisks, keystoresim.LoseZone),
		keystoresim.LinkFaults,
	}
	for name, breakCluster := range variants {
		t.Run(name, func(t *testing.T) {
			seed, failure := findFailure(t, 60, func(seed uint64) error {
				_, err := zoneSchedule{seed: seed, breakCluster: breakCluster, faults: faults}.run()
				return err
			})
			assert.Assert(t, seed > 0, "no schedule detects this variant")
			t.Log(seed, failure)
		})
	}
}

func TestSchedule_SameSeedReplaysExactly(t *testing.T) {
	from, to := keystoresim.SeedRange(12)
	for seed := from; seed < to; seed++ {
		var histories [2]string
		for turn := range histories {
			synctest.Test(t, func(t *testing.T) {
				reports, err := zoneSchedule{
					seed:   uint64(seed),
					faults: []keystoresim.Fault{keystoresim.RestartFaults, keystoresim.LinkFaults, keystoresim.DiskFaults},
				}.run()
				assert.NilError(t, err)
				histories[turn] = reports[keystore.ConfigurationKey].String()
			})
		}
		assert.Assert(t, histories[0] == histories[1], "%s=%d is not reproducible", keystoresim.SeedVariable, seed)
	}
}
