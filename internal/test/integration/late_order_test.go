package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

// sendOrderAs sends a load to a replica as a former lease holder, which the fleet no longer knows.
func (f *fleet) sendOrderAs(leaseHolder string, fence uint64, standIn *standInReplica, model string) int {
	body := fmt.Sprintf(`{"operation":%q,"modelId":%q,"leaseHolder":%q,"fenceToken":%d,"expectedCount":%d}`,
		replica.OperationLoad, model, leaseHolder, fence, standIn.orderCount())
	header := map[string]string{replica.HeaderTargetReplica: standIn.listed.ID}
	return f.call(http.MethodPost, standIn.listed.Address, "/ferryspar/order", body, header).status
}

func TestReplicaOrders_LateOrderOfFormerLeaseHolderKeepsCapacity(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 2100 * time.Millisecond, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				f := startSettledFleet(t, 1, standIn)
				time.Sleep(3 * time.Second)
				assert.Equal(t, f.sendOrderAs("daemon-before", 1, standIn, "other"), http.StatusAccepted)
				time.Sleep(delay)
				got := f.request(1, "attempt-1", "/patient/", "rare")
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, !standIn.overCapacity, "%+v", standIn.receivedOrders())
			})
		})
	}
}

func TestReplicaOrders_UnseenChangeIsPolledAndUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.sendOrderAs("daemon-before", 1, standIn, "other"), http.StatusAccepted)
		time.Sleep(8 * time.Second)
		before := len(standIn.receivedOrders())
		assert.Equal(t, f.request(1, "attempt-1", "/patient/", "other").status, http.StatusOK)
		assert.Equal(t, len(standIn.receivedOrders()), before, "it needed no load")
	})
}

// Limits of how late replicas decide orders that they left unanswered.
const (
	shortestOrderDelay = 2 * time.Second
	longestOrderDelay  = 12 * time.Second
)

// decideOrdersLate makes replicas leave a share of their orders unanswered and decide them late.
func decideOrdersLate(replicas []*standInReplica, share float64, rng *rand.Rand) {
	for _, standIn := range replicas {
		own := rand.New(rand.NewPCG(rng.Uint64(), 89))
		standIn.orderState.orderDelay = func() (time.Duration, bool) {
			delay := shortestOrderDelay + time.Duration(own.Int64N(int64(longestOrderDelay-shortestOrderDelay)))
			return delay, own.Float64() < share
		}
	}
}

// Guards against an assumed limit of how late an order may be decided: loads that replicas start late are counted when they start,
// also by the lease holders that follow.
func TestLoadRate_KeptWhenReplicasDecideOrdersLate(t *testing.T) {
	faults := map[string]leaseHolderFault{
		"no fault": func(*fleet, string, *rand.Rand) {}, "killed": killAndRestart, "killed or frozen": killOrFreeze,
	}
	for name, fault := range faults {
		for seed := range uint64(casesFor(4, 40)) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, 97))
					replicas := emptyReplicas()
					decideOrdersLate(replicas, 0.6, rng)
					f := startFleet(t, 1, replicas...)
					time.Sleep(4 * time.Second)
					assert.Equal(t, f.putConfiguration(1, 0, manyModels()).status, http.StatusOK)
					f.requestModels(0, modelCount, loadTimeout)
					f.injectLeaseHolderFaults(rng, 2*time.Second, 2*time.Second, fault)
					loaded := waitLoaded(replicas, modelCount, loadTimeout-faultDuration)
					assert.Equal(t, loaded, modelCount, "every requested model is loaded in the end")
					most := maxLoadsInAnyWindow(replicas)
					assert.Assert(t, most <= maxLoadsPerWindow, "%d loads began within %s", most, loadRateWindow)
				})
			})
		}
	}
}

// runLateLoads makes replicas leave all orders of the first lease holder unanswered and decide them together at a time after the
// requests for their models. The lease holder is killed before that, killedAfter the requests.
func runLateLoads(t *testing.T, decidedAfter, killedAfter time.Duration) {
	replicas := emptyReplicas()
	f := startFleet(t, 1, replicas...)
	time.Sleep(4 * time.Second)
	requestedAt := time.Now()
	for _, standIn := range replicas {
		standIn.orderState.orderDelay = func() (time.Duration, bool) {
			return time.Until(requestedAt.Add(decidedAfter)), time.Since(requestedAt) < 4*time.Second
		}
	}
	assert.Equal(t, f.putConfiguration(1, 0, manyModels()).status, http.StatusOK)
	f.requestModels(0, modelCount, loadTimeout)
	time.Sleep(killedAfter)
	f.kill(hostOf(newOperators(f, 1, 1, 2, 3).status(coreHost(1)).PlacementLeaseHolder))
	loaded := waitLoaded(replicas, modelCount, loadTimeout)
	assert.Equal(t, loaded, modelCount, "every requested model is loaded in the end")
	most := maxLoadsInAnyWindow(replicas)
	assert.Assert(t, most <= maxLoadsPerWindow, "%d loads began within %s", most, loadRateWindow)
}

// Guards against a lease holder that counts the unanswered loads of the holder before it as started soon after its grant: here they
// start together, long after that.
func TestLoadRate_SuccessorCountsUnansweredLoadsUntilTheyStart(t *testing.T) {
	for _, decidedAfter := range []time.Duration{8 * time.Second, 11 * time.Second, 12 * time.Second, 13 * time.Second, 14 * time.Second} {
		t.Run(decidedAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLateLoads(t, decidedAfter, 3500*time.Millisecond) })
		})
	}
}

// Guards against the same when the holder is killed while the calls that order the loads are in flight.
func TestLoadRate_SuccessorCountsLoadsWhoseCallsWereInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { runLateLoads(t, 8*time.Second, 600*time.Millisecond) })
}
