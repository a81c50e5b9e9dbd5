package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
	"ferryspar/internal/retention"
)

func (f *fleet) forget(core int, body string) (retention.Status, int) {
	got := f.call(http.MethodPost, coreHost(core)+":8166", "/ferryspar/forget", body, nil)
	var status retention.Status
	_ = json.Unmarshal([]byte(got.body), &status)
	return status, got.status
}

func (f *fleet) forgets(core int) []retention.Status {
	got := f.call(http.MethodGet, coreHost(core)+":8166", "/ferryspar/forget", "", nil)
	var all struct{ Forgets []retention.Status }
	assert.NilError(f.t, json.Unmarshal([]byte(got.body), &all), got.body)
	return all.Forgets
}

func states(status retention.Status, kind string) map[string]retention.State {
	found := map[string]retention.State{}
	for _, node := range status.Nodes {
		if node.Kind == kind {
			found[node.Node+node.Model] = node.State
		}
	}
	return found
}

func (s *standInReplica) unloads(model string) int {
	amount := 0
	for _, order := range s.receivedOrders() {
		if order.Operation == replica.OperationUnload && order.Model == model && order.Adapter == "" {
			amount++
		}
	}
	return amount
}

func TestRetention_ForgetReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 2, standIn, two)
		served, failed := 0, 0
		stop := make(chan struct{})
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				if got := f.request(
					number%2+1,
					fmt.Sprint("flow-", number),
					"/quick/",
					"swift",
				); got.status == http.StatusOK && got.body == allEvents() {
					served++
				} else {
					failed++
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second)
		first, status := f.forget(1, `{"model":"swift"}`)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, !first.Complete, "a node that still holds it is pending")
		time.Sleep(25 * time.Second)
		close(stop)
		<-finished
		all := f.forgets(3)
		assert.Equal(t, len(all), 1)
		assert.Assert(t, all[0].Complete, "%v", all[0])
		assert.Assert(t, standIn.unloads("swift") >= 1 && two.unloads("swift") >= 1, "both replicas dropped what they kept")
		assert.Assert(t, standIn.entry().HasLoaded("swift", "") && two.entry().HasLoaded("swift", ""), "both serve again")
		assert.Equal(t, failed, 0, "served %d", served)
		assert.Assert(t, served > 50)
	})
}

func TestRetention_UnreachableDataPlaneStaysPending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 2, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		f.network.blackhole(edgeHost(2), true)
		time.Sleep(2 * time.Second)
		_, status := f.forget(2, `{}`)
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(12 * time.Second)
		held := f.forgets(2)[0]
		assert.Assert(t, !held.Complete)
		assert.Equal(t, states(held, "edge")["daemon-"+edgeHost(2)], retention.Pending)
		assert.Equal(t, states(held, "edge")["daemon-"+edgeHost(1)], retention.Done)
		f.network.blackhole(edgeHost(2), false)
		time.Sleep(6 * time.Second)
		assert.Equal(t, states(f.forgets(2)[0], "edge")["daemon-"+edgeHost(2)], retention.Done)
	})
}

func TestRetention_ForgetSurvivesRestartOfAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn, two := newStandInReplica(
			"i-1",
			"10.1.2.1",
			"north",
			"swift",
			"other",
		), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, standIn, two)
		_, status := f.forget(1, `{"model":"swift"}`)
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(300 * time.Millisecond)
		for number := 1; number <= 3; number++ {
			f.kill(coreHost(number))
		}
		time.Sleep(time.Second)
		for number := 1; number <= 3; number++ {
			f.startCore(coreHost(number), false, 1, 2, 3)
		}
		time.Sleep(30 * time.Second)
		assert.Assert(t, f.forgets(1)[0].Complete, "%v", f.forgets(1)[0])
		assert.Assert(t, standIn.unloads("swift") >= 1 && two.unloads("swift") >= 1)
		assert.Equal(t, standIn.unloads("other"), 0, "what was not asked for stays")
	})
}

func TestRetention_EndedReplicaCountsAsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, standIn, two)
		_, status := f.forget(1, `{"model":"swift"}`)
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(500 * time.Millisecond)
		f.lock.Lock()
		f.replicas = f.replicas[:1]
		f.lock.Unlock()
		f.network.resetAll("10.2.2.1")
		time.Sleep(15 * time.Second)
		status2 := f.forgets(1)[0]
		assert.Assert(t, status2.Complete, "%v", status2)
		assert.Equal(t, states(status2, "replica")["i-2swift"], retention.Gone)
	})
}

func TestRetention_CopiesReloadedOnSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, standIn, two)
		refused := f.call(http.MethodPut, coreHost(1)+":8166", "/ferryspar/retention", `{"lifeMs":5}`, nil)
		assert.Equal(t, refused.status, http.StatusBadRequest)
		assert.Equal(
			t,
			f.call(http.MethodPut, coreHost(1)+":8166", "/ferryspar/retention", `{"life":5}`, nil).status,
			http.StatusBadRequest,
		)
		assert.Equal(t, f.call(http.MethodPut, coreHost(1)+":8166", "/ferryspar/retention", `{"lifeMs":60000}`, nil).status, http.StatusOK)
		for range 60 {
			assert.Equal(t, f.request(1, "attempt", "/quick/", "swift").status, http.StatusOK)
			time.Sleep(time.Second)
		}
		assert.Assert(t, standIn.unloads("swift") >= 1 && two.unloads("swift") >= 1, "within one life every copy has let go")
		assert.Assert(t, standIn.unloads("swift") <= 3 && two.unloads("swift") <= 3)
		read := f.call(http.MethodGet, coreHost(2)+":8166", "/ferryspar/retention", "", nil)
		assert.Equal(t, read.body, `{"number":1,"lifeMs":60000}`)
	})
}

func TestRetention_RestartedMemberNamesEveryDataPlane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 2, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		f.kill(coreHost(1))
		f.network.partition(edgeHost(2), coreHost(1), true)
		f.startCore(coreHost(1), false, 1, 2, 3)
		status, code := f.forget(1, `{}`)
		for began := time.Now(); code != http.StatusOK; status, code = f.forget(1, `{}`) {
			assert.Assert(t, time.Since(began) < 10*time.Second, "%d", code)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, len(states(status, "edge")), 2, "%v", status)
	})
}
