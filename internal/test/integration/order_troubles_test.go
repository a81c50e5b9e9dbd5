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
	// fewPlaces is the adapterCapacity of tightDocument, manyAdapters the adapters of its first model.
	fewPlaces    = 2
	manyAdapters = 4
	// servedWithin bounds the time until a model that is asked for is loaded, whatever has just happened.
	servedWithin = 20 * time.Second
)

// tightDocument is a configuration with more adapters than places for them.
func tightDocument(revision int) string {
	return strings.NewReplacer(
		`"adapterList":2`, fmt.Sprintf(`"adapterList":%d`, manyAdapters),
		`"adapterCapacity":4`, fmt.Sprintf(`"adapterCapacity":%d`, fewPlaces),
	).Replace(document(revision, ""))
}

// tightFleet is a fleet with one replica that has few places for adapters, loads them slowly and reports late.
func tightFleet(t *testing.T) (*fleet, *standInReplica) {
	standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
	standIn.holding.places, standIn.holding.adapterTime, standIn.holding.reportLag = fewPlaces, 300*time.Millisecond, 300*time.Millisecond
	f := startFleet(t, 1, standIn)
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.put(1, 0, 1, tightDocument(1)).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	return f, standIn
}

// waitHolder is the host whose daemon has sent an order, once there is one.
func (s *standInReplica) waitHolder(t *testing.T) string {
	t.Helper()
	for range 200 {
		if orders := s.receivedOrders(); len(orders) > 0 {
			return strings.TrimPrefix(orders[len(orders)-1].LeaseHolder, "daemon-")
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no order was sent")
	return ""
}

// waitServed asks for each of some models until it is served, and fails the test if one never is.
func (f *fleet) waitServed(t *testing.T, models ...string) {
	t.Helper()
	for _, model := range models {
		end := time.Now().Add(servedWithin)
		for f.request(1, "again-"+model, "/patient/", model).status != http.StatusOK {
			assert.Assert(t, time.Now().Before(end), "%s is never served", model)
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// requestAll asks for some models at once, without waiting for answers.
func (f *fleet) requestAll(models ...string) {
	for _, model := range models {
		go f.request(1, "attempt-"+model, "/patient/", model)
	}
}

// killPauses are how long a killed daemon stays away, the first one twice for whole sweeps.
var killPauses = []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 20 * time.Millisecond}

func TestReplicaOrders_KeepCapacityWhenLeaseHolderRestartsDuringAdapterLoad(t *testing.T) {
	for index := range casesFor(6, 30) {
		moment := 1500 * time.Millisecond * time.Duration(index) / time.Duration(casesFor(5, 29))
		for _, pause := range killPauses[index%2 : index%2+casesFor(1, 2)] {
			t.Run(fmt.Sprintf("killed after %s for %s", moment, pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, standIn := tightFleet(t)
					f.requestAll("swift/a1", "swift/a2", "swift/a3", "rare")
					holder := standIn.waitHolder(t)
					time.Sleep(moment)
					f.kill(holder)
					time.Sleep(pause)
					f.startCore(holder, false, 1, 2, 3)
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
		for _, way := range []string{"frozen", "cut off"} {
			t.Run(fmt.Sprintf("%s, released after %s", way, released), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f, standIn := tightFleet(t)
					f.requestAll("swift/a1")
					holder := standIn.waitHolder(t)
					time.Sleep(2 * time.Second)
					f.network.freeze(hostOf(standIn.listed.Address), true)
					f.requestAll("rare")
					time.Sleep(500 * time.Millisecond)
					f.setUnreachable(holder, way, true)
					f.requestAll("other")
					time.Sleep(released)
					f.network.freeze(hostOf(standIn.listed.Address), false)
					time.Sleep(4 * time.Second)
					f.setUnreachable(holder, way, false)
					f.waitServed(t, "other", "rare", "swift/a2")
					assert.Assert(t, standIn.withinCapacity(), "%+v", standIn.receivedOrders())
				})
			})
		}
	}
}

// setUnreachable freezes a control daemon's machine or cuts it off from the others, or ends that.
func (f *fleet) setUnreachable(host, way string, away bool) {
	if way == "frozen" {
		f.network.freeze(host, away)
		return
	}
	for number := 1; number <= f.cores; number++ {
		if other := coreHost(number); other != host {
			f.network.delayBoth(host, other, away)
		}
	}
}

func TestReplicaOrders_KeepCapacityWhenAnswersAreLost(t *testing.T) {
	for _, amount := range []int{1, 3} {
		t.Run(fmt.Sprint(amount), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, standIn := tightFleet(t)
				standIn.lock.Lock()
				standIn.holding.loseAnswers = amount
				standIn.lock.Unlock()
				f.requestAll("rare", "swift/a1", "swift/a2")
				time.Sleep(time.Second)
				f.requestAll("other", "swift/a3")
				f.waitServed(t, "other", "rare", "swift/a3", "swift/a4")
				assert.Assert(t, standIn.withinCapacity(), "%+v", standIn.receivedOrders())
				assert.Equal(t, len(standIn.refused()), 0, "%+v", standIn.receivedOrders())
			})
		})
	}
}

// refused are the loads beyond room that were refused.
func (s *standInReplica) refused() []receivedOrder {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]receivedOrder(nil), s.holding.refusedOverfull...)
}

func TestReplicaOrders_ReloadAfterReplicaRestartsAtItsAddress(t *testing.T) {
	for _, moment := range []time.Duration{0, 700 * time.Millisecond, 5 * time.Second} {
		t.Run(moment.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, standIn := tightFleet(t)
				f.requestAll("rare", "swift/a1")
				standIn.waitHolder(t)
				time.Sleep(moment)
				standIn.restart()
				f.waitServed(t, "swift", "swift/a1", "rare", "other", "swift/a2")
				assert.Assert(t, standIn.withinCapacity(), "%+v", standIn.receivedOrders())
				assert.Equal(t, len(standIn.refused()), 0, "%+v", standIn.receivedOrders())
			})
		})
	}
}
