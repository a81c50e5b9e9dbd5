package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// tightAdapterSlots is the adapterCapacity of tightDocument, tightAdapters the adapters of its first model.
	tightAdapterSlots = 2
	tightAdapters     = 4
	// serveTimeout bounds the time until a requested model is served, whatever fault has just occurred.
	serveTimeout = 20 * time.Second
)

// tightDocument returns a configuration with more adapters than slots for them.
func tightDocument(revision int) string {
	return strings.NewReplacer(
		`"adapterList":2`, fmt.Sprintf(`"adapterList":%d`, tightAdapters),
		`"adapterCapacity":4`, fmt.Sprintf(`"adapterCapacity":%d`, tightAdapterSlots),
	).Replace(document(revision, ""))
}

// startTightFleet starts a fleet with one replica that has few adapter slots, loads adapters slowly and reports late.
func startTightFleet(t *testing.T) (*fleet, *standInReplica) {
	standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
	standIn.orderState.adapterSlots = tightAdapterSlots
	standIn.orderState.adapterTime = 300 * time.Millisecond
	standIn.orderState.reportLag = 300 * time.Millisecond
	f := startFleet(t, 1, standIn)
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.putConfiguration(1, 0, tightDocument(1)).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	return f, standIn
}

// waitServed requests each model until it is served, and fails the test if one is not within serveTimeout.
func (f *fleet) waitServed(t *testing.T, models ...string) {
	t.Helper()
	for _, model := range models {
		end := time.Now().Add(serveTimeout)
		for f.request(1, "again-"+model, "/patient/", model).status != http.StatusOK {
			assert.Assert(t, time.Now().Before(end), "%s is never served", model)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// requestAll requests models at once, without waiting for answers.
func (f *fleet) requestAll(models ...string) {
	for _, model := range models {
		go f.request(1, "attempt-"+model, "/patient/", model)
	}
}

// restartDelays are how long a killed node stays down; full sweeps use the first one twice.
var restartDelays = []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 20 * time.Millisecond}

func TestReplicaOrders_KeepCapacityWhenLeaseHolderRestartsDuringAdapterLoad(t *testing.T) {
	for index := range casesFor(6, 30) {
		moment := 1500 * time.Millisecond * time.Duration(index) / time.Duration(casesFor(5, 29))
		for _, delay := range restartDelays[index%2 : index%2+casesFor(1, 2)] {
			t.Run(fmt.Sprintf("killed after %s for %s", moment, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, standIn := startTightFleet(t)
					f.requestAll("swift/a1", "swift/a2", "swift/a3", "rare")
					leaseHolder := standIn.waitLeaseHolder(t)
					time.Sleep(moment)
					f.kill(leaseHolder)
					time.Sleep(delay)
					f.startCore(leaseHolder, false, 1, 2, 3)
					f.requestAll("swift/a4", "other")
					f.waitServed(t, "swift/a4", "other", "rare", "swift/a1")
					assert.Assert(t, standIn.withinCapacity(), "%+v", standIn.receivedOrders())
				})
			})
		}
	}
}

func TestReplicaOrders_KeepCapacityWhenOrderOutlivesItsLease(t *testing.T) {
	for _, released := range []time.Duration{2 * time.Second, 5500 * time.Millisecond, 7 * time.Second} {
		for _, way := range []string{"frozen", "isolated"} {
			t.Run(fmt.Sprintf("%s, released after %s", way, released), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, standIn := startTightFleet(t)
					f.requestAll("swift/a1")
					leaseHolder := standIn.waitLeaseHolder(t)
					time.Sleep(2 * time.Second)
					f.network.freeze(hostOf(standIn.listed.Address), true)
					f.requestAll("rare")
					time.Sleep(500 * time.Millisecond)
					f.setUnreachable(leaseHolder, way, true)
					f.requestAll("other")
					time.Sleep(released)
					f.network.freeze(hostOf(standIn.listed.Address), false)
					time.Sleep(4 * time.Second)
					f.setUnreachable(leaseHolder, way, false)
					f.waitServed(t, "other", "rare", "swift/a2")
					assert.Assert(t, standIn.withinCapacity(), "%+v", standIn.receivedOrders())
				})
			})
		}
	}
}

// setUnreachable freezes a control-plane node or isolates it from the others, or ends that.
func (f *fleet) setUnreachable(host, way string, unreachable bool) {
	if way == "frozen" {
		f.network.freeze(host, unreachable)
		return
	}
	for number := 1; number <= f.cores; number++ {
		if other := coreHost(number); other != host {
			f.network.delayBoth(host, other, unreachable)
		}
	}
}

func TestReplicaOrders_KeepCapacityWhenAnswersAreLost(t *testing.T) {
	for _, amount := range []int{1, 3} {
		t.Run(fmt.Sprint(amount), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, standIn := startTightFleet(t)
				standIn.lock.Lock()
				standIn.orderState.answersToDrop = amount
				standIn.lock.Unlock()
				f.requestAll("rare", "swift/a1", "swift/a2")
				time.Sleep(time.Second)
				f.requestAll("other", "swift/a3")
				f.waitServed(t, "other", "rare", "swift/a3", "swift/a4")
				assert.Assert(t, standIn.withinCapacity(), "%+v", standIn.receivedOrders())
				assert.Equal(t, len(standIn.rejectedOverCapacity()), 0, "%+v", standIn.receivedOrders())
			})
		})
	}
}

func TestReplicaOrders_ReloadAfterReplicaRestartsAtItsAddress(t *testing.T) {
	for _, moment := range []time.Duration{0, 700 * time.Millisecond, 5 * time.Second} {
		t.Run(moment.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, standIn := startTightFleet(t)
				f.requestAll("rare", "swift/a1")
				standIn.waitLeaseHolder(t)
				time.Sleep(moment)
				standIn.restart()
				waited := f.request(1, "waits-for-reload", "/patient/", "swift")
				assert.Equal(t, waited.status, http.StatusOK, "a request that found the model gone is served later: %s", waited.body)
				f.waitServed(t, "swift", "swift/a1", "rare", "other", "swift/a2")
				assert.Assert(t, standIn.withinCapacity(), "%+v", standIn.receivedOrders())
				assert.Equal(t, len(standIn.rejectedOverCapacity()), 0, "%+v", standIn.receivedOrders())
			})
		})
	}
}
