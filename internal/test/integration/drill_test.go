package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/drill"
)

var southDrill = drill.Request{Kind: drill.KindDrill, Scope: drill.Scope{Zone: "south"}, Share: 1, ForMs: 8000}

func (f *fleet) drill(core int, request drill.Request) (drill.Status, int) {
	got, _ := f.rehearse(core, request)
	return readStatus(got), got.status
}

func (f *fleet) startDrill(core int, request drill.Request) drill.Status {
	begun, status := f.drill(core, request)
	assert.Equal(f.t, status, http.StatusOK)
	return begun
}

func (f *fleet) drillState(core int, method string) drill.Status {
	got := f.call(method, coreHost(core)+":8166", "/ferryspar/rehearsal", "", nil)
	assert.Equal(f.t, got.status, http.StatusOK, got.body)
	return readStatus(got)
}

func readStatus(got reply) drill.Status {
	var status drill.Status
	_ = json.Unmarshal([]byte(got.body), &status)
	return status
}

type traffic struct {
	lock    sync.Mutex
	group   sync.WaitGroup
	stop    chan struct{}
	replies map[string]reply
	end     func()
}

func (f *fleet) flow(edges []int, paths map[string]string) *traffic {
	running := &traffic{stop: make(chan struct{}), replies: map[string]reply{}}
	running.end = sync.OnceFunc(func() {
		close(running.stop)
		running.group.Wait()
	})
	f.t.Cleanup(running.end)
	for _, edge := range edges {
		for path, model := range paths {
			running.group.Add(1)
			go func() {
				defer running.group.Done()
				for number := 0; ; number++ {
					select {
					case <-running.stop:
						return
					default:
					}
					attempt := fmt.Sprintf("%d%s%s-%d", edge, path, model, number)
					got := f.requestWithPrefix(edge, attempt, path, model, fmt.Sprintf("aa:100,b%d:200", number%7))
					running.lock.Lock()
					running.replies[attempt] = got
					running.lock.Unlock()
					time.Sleep(30 * time.Millisecond)
				}
			}()
		}
	}
	return running
}

func (r *traffic) check(t *testing.T, stands map[string]*standInReplica) {
	ran := map[string]int{}
	for _, stand := range stands {
		for _, run := range stand.executed() {
			ran[run.attempt]++
		}
	}
	for attempt, got := range r.replies {
		assert.Equal(t, got.status, http.StatusOK, "%s: %s", attempt, got.body)
		assert.Equal(t, got.body, allEvents(), attempt)
		assert.Equal(t, ran[attempt], 1, "%s ran %d times", attempt, ran[attempt])
	}
}

func runsSince(stand *standInReplica, at time.Time) map[string]int {
	seen := map[string]int{}
	for _, run := range stand.executed() {
		if run.at.After(at) {
			seen[strings.Split(run.attempt, "-")[0][1:]]++
		}
	}
	return seen
}

var mixed = map[string]string{"/quick/": "swift", "/patient/": "swift", "/quick/a": "other", "/homely/": "swift"}

func TestDrill_MovesNewWorkAwayAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stands := startTwoRegions(t, 2)
		work := f.flow([]int{1, 2}, mixed)
		from := time.Now()
		time.Sleep(2 * time.Second)
		landRuns := func() map[string]int {
			seen := runsSince(stands["i-1"], from)
			for name, amount := range runsSince(stands["i-2"], from) {
				seen[name] += amount
			}
			return seen
		}
		assert.Assert(t, landRuns()["/quick/swift"] > 20, "%v", landRuns())
		request := southDrill
		request.Scope = drill.Scope{Region: "land"}
		begun := f.startDrill(2, request)
		assert.Assert(t, begun.Running)
		time.Sleep(200 * time.Millisecond)
		from = time.Now()
		time.Sleep(4 * time.Second)
		seen := landRuns()
		assert.Equal(t, seen["/quick/swift"]+seen["/patient/swift"], 0, "%v", seen)
		assert.Assert(t, seen["/quick/aother"] > 0 && seen["/homely/swift"] > 0, "the last copy and home-bound work go on: %v", seen)
		midway := f.drillState(3, http.MethodGet)
		assert.Assert(t, midway.Running && midway.LeftMs < 4500 && midway.LeftMs > 2500, "%+v", midway)
		assert.DeepEqual(
			t,
			midway.DataPlanes,
			map[string]string{"daemon-" + edgeHost(1): drill.DataPlaneFollows, "daemon-" + edgeHost(2): drill.DataPlaneFollows},
		)
		time.Sleep(5 * time.Second)
		ended := f.drillState(1, http.MethodGet)
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
		assert.Assert(t, landRuns()["/quick/swift"] > 10, "work returns at once: %v", landRuns())
		work.end()
		work.check(t, stands)
	})
}

func TestDrill_SmallerStageIsSubsetOfLarger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stands := startTwoRegions(t, 1)
		f.put(1, 2, 3, strings.Replace(document(3, ""), `"slots":8`, `"slots":64`, 1))
		shares := map[float64]int{}
		for _, share := range []float64{0.1, 0.5} {
			request := southDrill
			request.Share = share
			f.startDrill(1, request)
			time.Sleep(200 * time.Millisecond)
			work := f.flow([]int{1}, map[string]string{"/quick/": "swift"})
			time.Sleep(6 * time.Second)
			work.end()
			work.check(t, stands)
			for _, route := range f.drillState(1, http.MethodDelete).Routes {
				shares[share] = 100 * route.Drilled.WithinTarget / (route.Drilled.WithinTarget + route.Rest.WithinTarget)
			}
			time.Sleep(500 * time.Millisecond)
			for _, stand := range stands {
				stand.lock.Lock()
				stand.runs = nil
				stand.lock.Unlock()
			}
		}
		assert.Assert(t, shares[0.1] > 2 && shares[0.1] < 25 && shares[0.5] > 35 && shares[0.5] < 65, "%v", shares)
	})
}

func TestDrill_OnlyOneAtATimeAndEvacuationWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := startTwoRegions(t, 1)
		request := southDrill
		request.IdempotencyKey = "once"
		f.startDrill(1, request)
		again := f.startDrill(3, request)
		assert.Equal(t, again.Number, uint64(1))
		_, status := f.drill(2, southDrill)
		assert.Equal(t, status, http.StatusConflict)
		f.kill(coreHost(1))
		stopped := f.drillState(3, http.MethodDelete)
		assert.Assert(t, !stopped.Running && !stopped.EndedByGuard && stopped.EndReason == drill.EndedByOperator, "%+v", stopped)
		f.startCore(coreHost(1), false, 1, 2, 3)
		time.Sleep(8 * time.Second)
		second := f.startDrill(2, southDrill)
		assert.Equal(t, second.Number, uint64(2))
		time.Sleep(time.Second)
		assert.Equal(t, f.call(http.MethodPost, coreHost(1)+":8166", "/ferryspar/drain-zone/south", "", nil).status, http.StatusOK)
		time.Sleep(1200 * time.Millisecond)
		ended := f.drillState(2, http.MethodGet)
		assert.Assert(t, !ended.Running && ended.EndedByGuard && strings.Contains(ended.EndReason, "evacuation"), "%+v", ended)
		_, status = f.drill(1, southDrill)
		assert.Equal(t, status, http.StatusConflict, "no drill while a zone is evacuated")
	})
}

func TestDrill_RejectsInvalidRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := startTwoRegions(t, 1)
		zone := drill.Scope{Zone: "south"}
		cases := []drill.Request{
			{Scope: zone, Share: 1.5},
			{Scope: zone, Share: -1},
			{Scope: zone, ForMs: 1},
			{Scope: zone, ForMs: 3600000},
			{Scope: zone, Margin: 2},
			{Scope: drill.Scope{Zone: "east"}},
			{},
		}
		for _, request := range cases {
			request.Kind = drill.KindDrill
			_, status := f.drill(1, request)
			assert.Equal(t, status, http.StatusBadRequest, "%+v", request)
		}
		assert.Equal(t, f.drillState(1, http.MethodGet).Number, uint64(0))
		assert.Equal(t, f.drillState(1, http.MethodDelete).Number, uint64(0))
	})
}
