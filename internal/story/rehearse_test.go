package story

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/drill"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/replica"
)

func (f *fleet) rehearse(core int, wish drill.Request) (reply, drill.Forecast) {
	body, _ := json.Marshal(wish)
	got := f.call(http.MethodPost, coreHost(core)+":8166", "/ferryspar/rehearsal", string(body), nil)
	var told drill.Forecast
	_ = json.Unmarshal([]byte(got.body), &told)
	return got, told
}

func (f *fleet) talk(edge int, attempt, path, model, prefix string) reply {
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", map[string]string{
		"Host": "shop.example", replica.HeaderAttempt: attempt, replica.HeaderModel: model, replica.HeaderTokens: "300,20",
		replica.HeaderPrefix: prefix, replica.HeaderRemaining: "20000",
	})
}

func (f *fleet) lose(host string, ids ...string) {
	f.lock.Lock()
	f.replicas = slices.DeleteFunc(f.replicas, func(one *standInReplica) bool { return slices.Contains(ids, one.listed.ID) })
	f.lock.Unlock()
	f.network.breakOff(host)
}

const boundRoute = `,{"name":"bound","hostname":"shop.example","pathPrefix":"/bound/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":600,"priority":2,"backend":"scribes","retryCount":1,"allowedRegions":["far"]},{"name":"homely","hostname":"shop.example","pathPrefix":"/homely/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":600,"priority":2,"backend":"scribes","retryCount":1,"allowedRegions":["land"]}`

func twoRegions(t *testing.T, edges int) (*fleet, map[string]*standInReplica) {
	stands := map[string]*standInReplica{
		"i-1": newStandInReplica("i-1", "10.1.2.1", "north", "swift", "other"),
		"i-2": newStandInReplica("i-2", "10.2.2.1", "south", "swift"),
		"i-3": newStandInReplica("i-3", "10.7.2.1", "abroad", "swift", "rare"),
	}
	f := settled(t, edges, stands["i-1"], stands["i-2"], stands["i-3"])
	assert.Equal(t, f.put(1, 1, 2, document(2, boundRoute)).status, http.StatusOK)
	time.Sleep(time.Second)
	return f, stands
}

func findRoute(t *testing.T, told drill.Forecast, name string) drill.RouteForecast {
	for _, one := range told.Routes {
		if one.Name == name {
			return one
		}
	}
	t.Fatalf("no route %s in %+v", name, told)
	return drill.RouteForecast{}
}

const demandTravels = 1500 * time.Millisecond

func TestGivenTwoRegionsWhenOneIsForecastLostThenItsRealLossShowsTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stands := twoRegions(t, 2)
		for round := range 4 {
			for number := range 8 {
				edge := number%2 + 1
				assert.Equal(t, f.talk(edge, fmt.Sprint("warm-", round, "-", number), "/quick/", "swift", fmt.Sprintf("aa:100,b%d:100,c%d:100", number, round)).status, http.StatusOK)
			}
		}
		for number := range 6 {
			assert.Equal(t, f.talk(1, fmt.Sprint("rare-", number), "/quick/", "rare", "dd:300").status, http.StatusOK)
			assert.Equal(t, f.talk(2, fmt.Sprint("bound-", number), "/bound/", "swift", "ee:300").status, http.StatusOK)
		}
		time.Sleep(demandTravels)
		got, told := f.rehearse(2, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Region: "far"}})
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Assert(t, !told.Partial && len(told.Answered) == 2, got.body)
		assert.DeepEqual(t, told.ReplicasLost, []string{"i-3"})
		assert.Equal(t, told.ReplicasLeft, 2)
		assert.Equal(t, len(told.LostModels), 1)
		assert.Equal(t, told.LostModels[0].Model, "rare")
		assert.Assert(t, told.LostModels[0].RatePerS > 0)
		assert.Equal(t, told.LoadEstimate.MinMs, 2000.0)
		where := slices.IndexFunc(told.Placement, func(step drill.PlacementStep) bool { return step.Load && step.Model == "rare" })
		assert.Assert(t, where >= 0, "%+v", told.Placement)
		bringer := stands[told.Placement[where].Replica]
		assert.Assert(t, told.Control.KeepsMajority && len(told.Control.Lost) == 0)
		quick, bound := findRoute(t, told, "quick"), findRoute(t, told, "bound")
		assert.Equal(t, quick.Sampled, 38)
		assert.Equal(t, quick.NowhereLoaded, 6)
		assert.Equal(t, quick.Staying+quick.Moved, 32)
		assert.Equal(t, bound.Sampled, 6)
		assert.Equal(t, bound.BoundToLost, 6)
		assert.Assert(t, quick.FirstTokenNow.Count == 38 && quick.FirstTokenAfterLoss.Count == 32, "%+v", quick)
		assert.Assert(t, told.Cached["rare"].Lost == 300 && told.Cached["rare"].OnlyInScope == 300 && told.Cached["rare"].Kept == 0, "%+v", told.Cached)

		f.lose("10.7.2.1", "i-3")
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, f.talk(2, "bound-then", "/bound/", "swift", "ee:300").status, http.StatusServiceUnavailable, "bound to what is lost: refused, as forecast")
		for number := range 8 {
			assert.Equal(t, f.talk(number%2+1, fmt.Sprint("then-", number), "/quick/", "swift", fmt.Sprintf("aa:100,b%d:100,c9:100", number)).status, http.StatusOK)
		}
		asked := time.Now()
		assert.Assert(t, !bringer.entry().HasLoaded("rare", ""))
		late := f.talk(1, "rare-then", "/patient/", "rare", "dd:300")
		assert.Equal(t, late.status, http.StatusOK)
		took := time.Since(asked)
		assert.Assert(t, bringer.entry().HasLoaded("rare", ""), "loaded where the forecast said: %+v", told.Placement)
		assert.Assert(t, took >= nodesettings.Milliseconds(told.LoadEstimate.MinMs) && took < nodesettings.Milliseconds(told.LoadEstimate.MinMs)+4*time.Second, "loaded again in %s, forecast at least %v", took, told.LoadEstimate.MinMs)
	})
}

func TestGivenRequestsInFlightThenTheForecastSaysWhereTheyGoAndWhichAreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, stands := twoRegions(t, 1)
		for _, one := range stands {
			one.lock.Lock()
			one.events = 200
			one.lock.Unlock()
		}
		var group sync.WaitGroup
		ask := func(attempt, path string) {
			group.Add(1)
			go func() {
				defer group.Done()
				f.talk(1, attempt, path, "swift", "aa:300")
			}()
			time.Sleep(50 * time.Millisecond)
		}
		for number := range 6 {
			ask(fmt.Sprint("quick-", number), "/quick/")
			ask(fmt.Sprint("patient-", number), "/patient/")
		}
		inNorth := map[string]int{}
		for _, run := range stands["i-1"].ran() {
			inNorth[run.path]++
		}
		_, told := f.rehearse(1, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Zone: "north"}})
		assert.Equal(t, told.InFlight.Running, 12)
		assert.Equal(t, told.InFlight.OnLostReplicas, inNorth["/quick/"]+inNorth["/patient/"])
		assert.Equal(t, told.InFlight.Resumable, inNorth["/patient/"])
		assert.Equal(t, told.InFlight.Aborted, inNorth["/quick/"])
		moved := 0
		for _, one := range told.Replicas {
			moved += one.Moved
			assert.Equal(t, one.Running, len(stands[one.Replica].ran()))
		}
		assert.Equal(t, moved+told.InFlight.StillWaiting, told.InFlight.OnLostReplicas)
		assert.DeepEqual(t, told.DataPlanesLost, []string{"daemon-" + edgeHost(1)})
		assert.Equal(t, len(told.Control.Lost), 1)
		assert.Assert(t, told.Control.KeepsMajority)
		group.Wait()
	})
}

func TestGivenEdgesThatDoNotAnswerThenTheForecastIsPartialAndNamesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := twoRegions(t, 2)
		f.network.darken(edgeHost(2), true)
		time.Sleep(2 * time.Second)
		_, told := f.rehearse(1, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Zone: "south"}})
		assert.Assert(t, told.Partial)
		assert.DeepEqual(t, told.Missing, []string{"daemon-" + edgeHost(2)})
		assert.DeepEqual(t, told.Answered, []string{"daemon-" + edgeHost(1)})
	})
}

func TestGivenSenselessRehearsalsThenEachIsRefusedWithItsReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := twoRegions(t, 1)
		cases := map[int]drill.Request{
			http.StatusNotFound: {Kind: drill.KindForecast, Scope: drill.Scope{Region: "nowhere"}}, http.StatusBadRequest: {Kind: drill.KindForecast},
		}
		for status, wish := range cases {
			got, _ := f.rehearse(1, wish)
			assert.Equal(t, got.status, status, got.body)
		}
		got, _ := f.rehearse(1, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Zone: "nowhere"}})
		assert.Equal(t, got.status, http.StatusNotFound, got.body)
		got, _ = f.rehearse(1, drill.Request{Kind: "wish", Scope: drill.Scope{Zone: "north"}})
		assert.Equal(t, got.status, http.StatusBadRequest, got.body)
		f.network.darken(edgeHost(1), true)
		answers := make(chan reply, 2)
		for range 2 {
			go func() {
				got, _ := f.rehearse(1, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Region: "far"}})
				answers <- got
			}()
		}
		first, second := <-answers, <-answers
		assert.Equal(t, first.status, http.StatusConflict, "two at once: one is refused")
		assert.Equal(t, second.status, http.StatusOK)
	})
}
