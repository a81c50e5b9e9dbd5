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

func TestDrill_MovesNewWorkAwayAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, replicas := startTwoRegionFleet(t, 2)
		work := f.startTraffic([]int{1, 2}, mixedPaths)
		from := time.Now()
		time.Sleep(2 * time.Second)
		runsInLand := func() map[string]int {
			seen := runsSince(replicas["i-1"], from)
			for name, amount := range runsSince(replicas["i-2"], from) {
				seen[name] += amount
			}
			return seen
		}
		assert.Assert(t, runsInLand()["/quick/swift"] > 20, "%v", runsInLand())
		request := southDrill
		request.Scope = drill.Scope{Region: "land"}
		started := f.startDrill(2, request)
		assert.Assert(t, started.Running)
		time.Sleep(200 * time.Millisecond)
		from = time.Now()
		time.Sleep(4 * time.Second)
		seen := runsInLand()
		assert.Equal(t, seen["/quick/swift"]+seen["/patient/swift"], 0, "%v", seen)
		assert.Assert(t, seen["/quick/aother"] > 0 && seen["/homely/swift"] > 0, "last copies and region-bound routes stay: %v", seen)
		midway := f.drillStatus(3, http.MethodGet)
		assert.Assert(t, midway.Running && midway.RemainingMs < 4500 && midway.RemainingMs > 2500, "%+v", midway)
		assert.DeepEqual(
			t,
			midway.DataPlanes,
			map[string]string{"daemon-" + edgeHost(1): drill.DataPlaneParticipating, "daemon-" + edgeHost(2): drill.DataPlaneParticipating},
		)
		time.Sleep(5 * time.Second)
		ended := f.drillStatus(1, http.MethodGet)
		assert.Assert(t, !ended.Running && !ended.EndedByGuard, "%+v", ended)
		assert.Equal(t, ended.EndReason, drill.EndedByTime)
		counted := map[string]drill.RouteOutcomes{}
		for _, route := range ended.Routes {
			counted[route.Name] = route
		}
		quick := counted["quick"]
		assert.Assert(
			t,
			quick.Drilled.WithinTarget > 50 && quick.Drilled.Late+quick.Drilled.Rejected+quick.Drilled.Exempted == 0,
			"%+v",
			quick,
		)
		assert.Assert(t, quick.KeptInScope > 5 && counted["homely"].KeptInScope > 50 && quick.FirstTokenDrilled.Count > 50, "%+v", counted)
		from = time.Now()
		time.Sleep(time.Second)
		assert.Assert(t, runsInLand()["/quick/swift"] > 10, "requests return at once: %v", runsInLand())
		work.close()
		work.check(t, replicas)
	})
}

func TestDrill_SmallerStageIsSubsetOfLarger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, replicas := startTwoRegionFleet(t, 1)
		f.putConfiguration(1, 2, strings.Replace(document(3, ""), `"slots":8`, `"slots":64`, 1))
		shares := map[float64]int{}
		for _, share := range []float64{0.1, 0.5} {
			request := southDrill
			request.Share = share
			f.startDrill(1, request)
			time.Sleep(200 * time.Millisecond)
			work := f.startTraffic([]int{1}, map[string]string{"/quick/": "swift"})
			time.Sleep(6 * time.Second)
			work.close()
			work.check(t, replicas)
			for _, route := range f.drillStatus(1, http.MethodDelete).Routes {
				shares[share] = 100 * route.Drilled.WithinTarget / (route.Drilled.WithinTarget + route.Rest.WithinTarget)
			}
			time.Sleep(500 * time.Millisecond)
			for _, standIn := range replicas {
				standIn.lock.Lock()
				standIn.executions = nil
				standIn.lock.Unlock()
			}
		}
		assert.Assert(t, shares[0.1] > 2 && shares[0.1] < 25 && shares[0.5] > 35 && shares[0.5] < 65, "%v", shares)
	})
}

func TestDrill_OnlyOneAtATimeAndEvacuationWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := startTwoRegionFleet(t, 1)
		request := southDrill
		request.IdempotencyKey = "once"
		f.startDrill(1, request)
		again := f.startDrill(3, request)
		assert.Equal(t, again.Number, uint64(1))
		_, status := f.postDrill(2, southDrill)
		assert.Equal(t, status, http.StatusConflict)
		f.kill(coreHost(1))
		stopped := f.drillStatus(3, http.MethodDelete)
		assert.Assert(t, !stopped.Running && !stopped.EndedByGuard && stopped.EndReason == drill.EndedByOperator, "%+v", stopped)
		f.startCore(coreHost(1), false, 1, 2, 3)
		time.Sleep(8 * time.Second)
		second := f.startDrill(2, southDrill)
		assert.Equal(t, second.Number, uint64(2))
		time.Sleep(time.Second)
		assert.Equal(t, f.call(http.MethodPost, coreHost(1)+":8166", "/ferryspar/drain-zone/south", "", nil).status, http.StatusOK)
		time.Sleep(1200 * time.Millisecond)
		ended := f.drillStatus(2, http.MethodGet)
		assert.Assert(t, !ended.Running && ended.EndedByGuard && strings.Contains(ended.EndReason, "evacuation"), "%+v", ended)
		_, status = f.postDrill(1, southDrill)
		assert.Equal(t, status, http.StatusConflict, "no drill while a zone is evacuated")
	})
}

func TestDrill_RejectsInvalidRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := startTwoRegionFleet(t, 1)
		zone := drill.Scope{Zone: "south"}
		cases := []drill.Request{
			{Scope: zone, Share: 1.5},
			{Scope: zone, Share: -1},
			{Scope: zone, DurationMs: 1},
			{Scope: zone, DurationMs: 3600000},
			{Scope: zone, Margin: 2},
			{Scope: drill.Scope{Zone: "east"}},
			{},
		}
		for _, request := range cases {
			request.Kind = drill.KindDrill
			_, status := f.postDrill(1, request)
			assert.Equal(t, status, http.StatusBadRequest, "%+v", request)
		}
		assert.Equal(t, f.drillStatus(1, http.MethodGet).Number, uint64(0))
		assert.Equal(t, f.drillStatus(1, http.MethodDelete).Number, uint64(0))
	})
}
