package integration

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/retention"
)

func TestRoster_StaleListOfLeaseHolderNeverReplacesNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
		o := newOperators(f, 1, 1, 2, 3)
		leaseHolder := o.leaseHolderHost(coreHost(1))
		f.network.delayBoth(leaseHolder, platformHost, true)
		time.Sleep(500 * time.Millisecond)
		secondReplica.setDraining(true)
		time.Sleep(4 * time.Second)
		assert.Equal(t, o.replicaState(leaseHolder, "i-2"), "draining", "the lease holder learns it from its peers")
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for number := 1; number <= 3; number++ {
				if host := coreHost(number); host != leaseHolder {
					assert.Equal(t, o.replicaState(host, "i-2"), "draining", "%s, partitioned: %s", host, leaseHolder)
				}
			}
		}
	})
}

func TestRoster_SlowReadDoesNotEndWarmUpEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		o := newOperators(f, 1, 1, 2, 3)
		f.lock.Lock()
		f.listDuration = 800 * time.Millisecond
		f.lock.Unlock()
		coldUntil := time.Now().Add(12 * time.Second)
		standIn.setWarmingUntil(coldUntil)
		time.Sleep(4 * time.Second)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for number := 1; number <= 3; number++ {
				status := o.status(coreHost(number))
				left := time.Duration(status.Replicas[0].WarmUpRemainingMs-float64(status.ReplicaListAgeMs)) * time.Millisecond
				assert.Assert(
					t,
					!time.Now().Add(left).Before(coldUntil.Add(-time.Millisecond)),
					"%s early at %d",
					coldUntil.Sub(time.Now().Add(left)),
					number,
				)
			}
		}
	})
}

func TestRoster_BrieflyUnlistedReplicaStillForgetsContext(t *testing.T) {
	for name, moment := range map[string]time.Duration{"before it is counted": -600 * time.Millisecond, "after": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
				f := startSettledFleet(t, 1, firstReplica, secondReplica)
				time.Sleep(3 * time.Second)
				if moment < 0 {
					f.setUnlisted(secondReplica, true)
					time.Sleep(-moment)
				}
				_, status := f.forget(1, `{"model":"swift"}`)
				assert.Equal(t, status, http.StatusOK)
				if moment > 0 {
					time.Sleep(moment)
					f.setUnlisted(secondReplica, true)
				}
				time.Sleep(700 * time.Millisecond)
				f.setUnlisted(secondReplica, false)
				time.Sleep(20 * time.Second)
				done := f.forgetStatuses(1)[0]
				assert.Assert(t, done.Complete, "%v", done)
				assert.Equal(t, nodeStates(done, "replica")["i-2swift"], retention.Done)
				assert.Assert(
					t,
					firstReplica.unloads("swift") >= 1 && secondReplica.unloads("swift") >= 1,
					"%d and %d",
					firstReplica.unloads("swift"),
					secondReplica.unloads("swift"),
				)
			})
		})
	}
}

func TestRoster_ChangeBetweenPagesLosesNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		thirdReplica := newStandInReplica("i-3", "10.3.2.1", "east", "swift")
		fourthReplica := newStandInReplica("i-4", "10.3.2.2", "east", "swift")
		f := startFleet(t, 1, firstReplica, secondReplica, thirdReplica, fourthReplica)
		defer f.network.resetHost("10.1.2.1")
		f.lock.Lock()
		f.pageSize = 2
		f.lock.Unlock()
		time.Sleep(4 * time.Second)
		o := newOperators(f, 1, 1, 2, 3)
		ended := false
		f.lock.Lock()
		f.onPage = func(from int) {
			if !ended && from == 0 {
				ended = true
				f.setUnlisted(firstReplica, true)
			}
		}
		f.lock.Unlock()
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			for number := 1; number <= 3; number++ {
				assert.Equal(t, o.replicaState(coreHost(number), "i-3"), "ready", "at %d", number)
			}
		}
		assert.Equal(t, o.replicaState(coreHost(1), "i-1"), "", "the ended replica is no longer listed")
	})
}
