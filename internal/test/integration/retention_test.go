package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/retention"
)

func (f *fleet) forget(core int, body string) (retention.Status, int) {
	got := f.call(http.MethodPost, coreHost(core)+":8166", "/ferryspar/forget", body, nil)
	var status retention.Status
	_ = json.Unmarshal([]byte(got.body), &status)
	return status, got.status
}

func (f *fleet) forgetStatuses(core int) []retention.Status {
	got := f.call(http.MethodGet, coreHost(core)+":8166", "/ferryspar/forget", "", nil)
	var all struct{ Forgets []retention.Status }
	assert.NilError(f.t, json.Unmarshal([]byte(got.body), &all), got.body)
	return all.Forgets
}

func nodeStates(status retention.Status, kind string) map[string]retention.State {
	found := map[string]retention.State{}
	for _, node := range status.Nodes {
		if node.Kind == kind {
			found[node.Node+node.Model] = node.State
		}
	}
	return found
}

func TestRetention_ForgetReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 2, firstReplica, secondReplica)
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
		all := f.forgetStatuses(3)
		assert.Equal(t, len(all), 1)
		assert.Assert(t, all[0].Complete, "%v", all[0])
		assert.Assert(t, firstReplica.unloads("swift") >= 1 && secondReplica.unloads("swift") >= 1, "both replicas dropped what they kept")
		assert.Assert(
			t,
			firstReplica.listEntry().HasLoaded("swift", "") && secondReplica.listEntry().HasLoaded("swift", ""),
			"both serve again",
		)
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
		pending := f.forgetStatuses(2)[0]
		assert.Assert(t, !pending.Complete)
		assert.Equal(t, nodeStates(pending, "edge")["daemon-"+edgeHost(2)], retention.Pending)
		assert.Equal(t, nodeStates(pending, "edge")["daemon-"+edgeHost(1)], retention.Done)
		f.network.blackhole(edgeHost(2), false)
		time.Sleep(6 * time.Second)
		assert.Equal(t, nodeStates(f.forgetStatuses(2)[0], "edge")["daemon-"+edgeHost(2)], retention.Done)
	})
}

func TestRetention_ForgetSurvivesRestartOfAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica(
			"i-1",
			"10.1.2.1",
			"north",
			"swift",
			"other",
		)
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
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
		assert.Assert(t, f.forgetStatuses(1)[0].Complete, "%v", f.forgetStatuses(1)[0])
		assert.Assert(t, firstReplica.unloads("swift") >= 1 && secondReplica.unloads("swift") >= 1)
		assert.Equal(t, firstReplica.unloads("other"), 0, "what was not requested stays")
	})
}

func TestRetention_EndedReplicaCountsAsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
		_, status := f.forget(1, `{"model":"swift"}`)
		assert.Equal(t, status, http.StatusOK)
		time.Sleep(500 * time.Millisecond)
		f.lock.Lock()
		f.replicas = f.replicas[:1]
		f.lock.Unlock()
		f.network.resetHost("10.2.2.1")
		time.Sleep(15 * time.Second)
		final := f.forgetStatuses(1)[0]
		assert.Assert(t, final.Complete, "%v", final)
		assert.Equal(t, nodeStates(final, "replica")["i-2swift"], retention.Gone)
	})
}

func TestRetention_CopiesReloadedOnSchedule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
		rejected := f.call(http.MethodPut, coreHost(1)+":8166", "/ferryspar/retention", `{"lifeMs":5}`, nil)
		assert.Equal(t, rejected.status, http.StatusBadRequest)
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
		assert.Assert(
			t,
			firstReplica.unloads("swift") >= 1 && secondReplica.unloads("swift") >= 1,
			"every replica has dropped its copy within the lifetime",
		)
		assert.Assert(t, firstReplica.unloads("swift") <= 3 && secondReplica.unloads("swift") <= 3)
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
		assert.Equal(t, len(nodeStates(status, "edge")), 2, "%v", status)
	})
}
