package integration

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/drill"
)

func TestDrill_GuardEndsItWhenRemainingReplicasLackCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, replicas := startTwoRegionFleet(t, 2)
		for _, id := range []string{"i-1", "i-3"} {
			replicas[id].lock.Lock()
			replicas[id].firstTokenDelay = 750 * time.Millisecond
			replicas[id].lock.Unlock()
		}
		work := f.startTraffic([]int{1, 2}, map[string]string{"/quick/": "swift", "/quick/a": "swift", "/quick/b": "swift"})
		time.Sleep(6 * time.Second)
		f.startDrill(1, longDrill())
		time.Sleep(30 * time.Second)
		ended := f.drillStatus(2, http.MethodGet)
		assert.Assert(t, !ended.Running && ended.EndedByGuard, "%+v", ended)
		assert.Assert(t, strings.Contains(ended.EndReason, "drilled"), ended.EndReason)
		from := time.Now()
		time.Sleep(2 * time.Second)
		assert.Assert(t, runsSince(replicas["i-2"], from)["/quick/swift"] > 0, "requests return")
		work.close()
		work.check(t, replicas)
	})
}

func TestDrill_EndedByDataPlaneThatIsPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, replicas := startTwoRegionFleet(t, 2)
		work := f.startTraffic([]int{2}, map[string]string{"/quick/": "swift", "/quick/a": "swift", "/quick/b": "swift"})
		time.Sleep(time.Second)
		f.startDrill(1, longDrill())
		for core := 1; core <= 3; core++ {
			f.network.partition(edgeHost(2), coreHost(core), true)
		}
		time.Sleep(3 * time.Second)
		from := time.Now()
		time.Sleep(2 * time.Second)
		assert.Assert(t, runsSince(replicas["i-2"], from)["/quick/swift"] > 0, "a partitioned data plane uses all replicas again")
		ended := f.drillStatus(2, http.MethodGet)
		assert.Assert(t, !ended.Running && ended.EndedByGuard && strings.Contains(ended.EndReason, "silent"), "%+v", ended)
		for core := 1; core <= 3; core++ {
			f.network.partition(edgeHost(2), coreHost(core), false)
		}
		time.Sleep(3 * time.Second)
		from = time.Now()
		time.Sleep(2 * time.Second)
		assert.Assert(t, runsSince(replicas["i-2"], from)["/quick/swift"] > 0, "an ended drill does not start again")
		work.close()
		work.check(t, replicas)
	})
}

func TestDrill_RestartedDataPlaneUsesRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, replicas := startTwoRegionFleet(t, 2)
		f.startDrill(1, southDrill)
		time.Sleep(3 * time.Second)
		f.kill(edgeHost(2))
		f.startEdge(edgeHost(2))
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, f.drillStatus(1, http.MethodGet).DataPlanes["daemon-"+edgeHost(2)], drill.DataPlaneParticipating)
		from := time.Now()
		work := f.startTraffic([]int{2}, mixedPaths)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, runsSince(replicas["i-2"], from)["/quick/swift"], 0)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, f.drillStatus(1, http.MethodGet).EndReason, drill.EndedByTime)
		from = time.Now()
		time.Sleep(2 * time.Second)
		assert.Assert(t, runsSince(replicas["i-2"], from)["/quick/swift"] > 0, "the restart does not prolong the drill")
		work.close()
		work.check(t, replicas)
	})
}

func TestDrill_RealLossTakesPrecedence(t *testing.T) {
	losses := map[string]func(f *fleet){
		"replica i-1": func(f *fleet) { f.loseReplicas("10.1.2.1", "i-1") },
		"member ":     func(f *fleet) { f.kill(coreHost(3)) },
		"edge ":       func(f *fleet) { f.kill(edgeHost(2)) },
	}
	for named, lose := range losses {
		synctest.Test(t, func(t *testing.T) {
			f, replicas := startTwoRegionFleet(t, 2)
			f.startDrill(1, longDrill())
			time.Sleep(2 * time.Second)
			lose(f)
			time.Sleep(5 * time.Second)
			ended := f.drillStatus(2, http.MethodGet)
			assert.Assert(t, !ended.Running && ended.EndedByGuard && strings.Contains(ended.EndReason, named), "%s: %+v", named, ended)
			work := f.startTraffic([]int{1}, map[string]string{"/quick/": "swift", "/patient/": "swift", "/bound/": "swift"})
			time.Sleep(2 * time.Second)
			work.close()
			work.check(t, replicas)
		})
	}
}

func TestDrill_EndsEverywhereWhenLeaseHolderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, replicas := startTwoRegionFleet(t, 2)
		f.startDrill(1, longDrill())
		time.Sleep(1500 * time.Millisecond)
		f.kill(coreHost(1))
		work := f.startTraffic([]int{1, 2}, map[string]string{"/quick/": "swift", "/patient/": "swift", "/bound/": "swift"})
		time.Sleep(12 * time.Second)
		ended := f.drillStatus(2, http.MethodGet)
		assert.Assert(t, !ended.Running && ended.EndedByGuard, "%+v", ended)
		from := time.Now()
		time.Sleep(2 * time.Second)
		assert.Assert(t, runsSince(replicas["i-2"], from)["/quick/swift"] > 0)
		again := f.startDrill(3, longDrill())
		assert.Equal(t, again.Number, uint64(2))
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, !f.drillStatus(2, http.MethodDelete).Running, "two of three are a majority")
		work.close()
		work.check(t, replicas)
	})
}

func TestDrill_EndsWhenAllMembersAreLostAndStaysEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, replicas := startTwoRegionFleet(t, 2)
		work := f.startTraffic([]int{1, 2}, map[string]string{"/quick/": "swift", "/bound/": "swift"})
		time.Sleep(time.Second)
		f.startDrill(1, longDrill())
		time.Sleep(time.Second)
		for core := 1; core <= 3; core++ {
			f.kill(coreHost(core))
		}
		time.Sleep(3 * time.Second)
		from := time.Now()
		time.Sleep(2 * time.Second)
		assert.Assert(t, runsSince(replicas["i-2"], from)["/quick/swift"] > 0)
		for core := 1; core <= 3; core++ {
			f.startCore(coreHost(core), false, 1, 2, 3)
		}
		for range 5 {
			time.Sleep(2 * time.Second)
			from = time.Now()
			time.Sleep(2 * time.Second)
			assert.Assert(t, runsSince(replicas["i-2"], from)["/quick/swift"] > 0)
		}
		ended := f.drillStatus(2, http.MethodGet)
		assert.Assert(t, !ended.Running && ended.EndedByGuard, "%+v", ended)
		work.close()
		work.check(t, replicas)
	})
}
