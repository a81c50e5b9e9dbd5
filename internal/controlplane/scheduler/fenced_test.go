package scheduler

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
	"ferryspar/internal/test/keystoresim"
)

// permissiveCluster allows any node to acquire the lease.
type permissiveCluster struct{}

func (permissiveCluster) MayAcquireLease(time.Time) bool        { return true }
func (permissiveCluster) IsLeaseHolderReachable(time.Time) bool { return false }

// runElector runs the elector of one node of a simulated cluster until the test ends.
func runElector(t *testing.T, cluster *keystoresim.Cluster) *LeaseElector {
	name := cluster.Names[0]
	clock := cluster.Clock(name)
	elector := newLeaseElector(LeaseConfig{
		Manager: &lease.Manager{
			Key:           keystore.LeasePrefix + "placement",
			Holder:        name,
			Address:       name,
			TTL:           keystoresim.LeaseDuration,
			TakeoverDelay: keystoresim.LeaseDuration,
			Store:         cluster.StoreOf(name),
			Clock:         clock,
		},
		Cluster: permissiveCluster{},
	}, clock, clock())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		elector.run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return elector
}

// awaitFenceAbove waits until the elector holds the lease under a fence above the given one.
func awaitFenceAbove(t *testing.T, elector *LeaseElector, fence uint64) uint64 {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if grant := elector.Grant(); grant != nil && grant.Record.Fence > fence && elector.Holds() {
			return grant.Record.Fence
		}
	}
	t.Fatalf("the lease is not held under a fence above %d", fence)
	return 0
}

func TestLeaseElector_AcquiresHigherFenceAfterRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := keystoresim.New(1, 3)
		for _, name := range cluster.Names {
			cluster.Start(name, true)
		}
		t.Cleanup(func() {
			for _, name := range cluster.Names {
				cluster.Kill(name)
			}
			time.Sleep(time.Minute)
		})
		elector := runElector(t, cluster)
		fence := awaitFenceAbove(t, elector, 0)
		for range 3 {
			elector.ReportFenced(fence)
			fence = awaitFenceAbove(t, elector, fence)
		}
		elector.ReportFenced(1)
		time.Sleep(5 * time.Second)
		assert.Equal(t, elector.Grant().Record.Fence, fence, "a rejection of an earlier fence does not affect the current one")
	})
}

func TestScheduler_ReleasesGrantWhenOrderIsFenced(t *testing.T) {
	now := testStart
	scheduler, _ := newLeaseHoldingScheduler(&now, 7)
	tracked := scheduler.tracker.Replica("r")
	assert.Assert(t, tracked.State().HandleReport(replicastate.Report{Loaded: map[string]bool{"m": true}}, now))
	order, decided := scheduler.tracker.Decide(placement.Action{Server: "r", Load: true, Model: "n"}, now)
	assert.Assert(t, decided)
	scheduler.orders.handleResponse(tracked, order, http.StatusPreconditionFailed, nil)
	select {
	case found := <-scheduler.lease.unusable:
		assert.Equal(t, found.fence, order.Fence)
	default:
		t.Fatal("the release of the grant was not requested")
	}
}
