package integration

import (
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
)

func findRoute(t *testing.T, forecast drill.Forecast, name string) drill.RouteForecast {
	for _, route := range forecast.Routes {
		if route.Name == name {
			return route
		}
	}
	t.Fatalf("no route %s in %+v", name, forecast)
	return drill.RouteForecast{}
}

const demandPropagation = 1500 * time.Millisecond

func TestForecast_MatchesRealLossOfRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, replicas := startTwoRegionFleet(t, 2)
		for round := range 4 {
			for number := range 8 {
				edge := number%2 + 1
				assert.Equal(
					t,
					f.requestWithPrefix(
						edge,
						fmt.Sprint("warm-", round, "-", number),
						"/quick/",
						"swift",
						fmt.Sprintf("aa:100,b%d:100,c%d:100", number, round),
					).status,
					http.StatusOK,
				)
			}
		}
		for number := range 6 {
			assert.Equal(t, f.requestWithPrefix(1, fmt.Sprint("rare-", number), "/quick/", "rare", "dd:300").status, http.StatusOK)
			assert.Equal(t, f.requestWithPrefix(2, fmt.Sprint("bound-", number), "/bound/", "swift", "ee:300").status, http.StatusOK)
		}
		time.Sleep(demandPropagation)
		got, forecast := f.postRehearsal(2, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Region: "far"}})
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Assert(t, !forecast.Partial && len(forecast.Answered) == 2, got.body)
		assert.DeepEqual(t, forecast.ReplicasLost, []string{"i-3"})
		assert.Equal(t, forecast.ReplicasLeft, 2)
		assert.Equal(t, len(forecast.LostModels), 1)
		assert.Equal(t, forecast.LostModels[0].Model, "rare")
		assert.Assert(t, forecast.LostModels[0].RatePerS > 0)
		assert.Equal(t, forecast.LoadEstimate.MinMs, 2000.0)
		index := slices.IndexFunc(forecast.Placement, func(step drill.PlacementStep) bool { return step.Load && step.Model == "rare" })
		assert.Assert(t, index >= 0, "%+v", forecast.Placement)
		target := replicas[forecast.Placement[index].Replica]
		assert.Assert(t, forecast.Control.KeepsMajority && len(forecast.Control.Lost) == 0)
		quick, bound := findRoute(t, forecast, "quick"), findRoute(t, forecast, "bound")
		assert.Equal(t, quick.Sampled, 38)
		assert.Equal(t, quick.ModelNotLoaded, 6)
		assert.Equal(t, quick.NotMoved+quick.Moved, 32)
		assert.Equal(t, bound.Sampled, 6)
		assert.Equal(t, bound.AllRegionsLost, 6)
		assert.Assert(t, quick.FirstTokenNow.Count == 38 && quick.FirstTokenAfterLoss.Count == 32, "%+v", quick)
		assert.Assert(
			t,
			forecast.Cached["rare"].Lost == 300 && forecast.Cached["rare"].OnlyInScope == 300 && forecast.Cached["rare"].Kept == 0,
			"%+v",
			forecast.Cached,
		)

		f.loseReplicas("10.7.2.1", "i-3")
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(
			t,
			f.requestWithPrefix(2, "bound-then", "/bound/", "swift", "ee:300").status,
			http.StatusServiceUnavailable,
			"all allowed regions are lost: rejected, as forecast",
		)
		for number := range 8 {
			assert.Equal(
				t,
				f.requestWithPrefix(
					number%2+1,
					fmt.Sprint("then-", number),
					"/quick/",
					"swift",
					fmt.Sprintf("aa:100,b%d:100,c9:100", number),
				).status,
				http.StatusOK,
			)
		}
		began := time.Now()
		assert.Assert(t, !target.listEntry().HasLoaded("rare", ""))
		late := f.requestWithPrefix(1, "rare-then", "/patient/", "rare", "dd:300")
		assert.Equal(t, late.status, http.StatusOK)
		duration := time.Since(began)
		assert.Assert(t, target.listEntry().HasLoaded("rare", ""), "not loaded at the forecast replica: %+v", forecast.Placement)
		estimate := nodesettings.Milliseconds(forecast.LoadEstimate.MinMs)
		assert.Assert(
			t,
			duration >= estimate && duration < estimate+4*time.Second,
			"loaded again in %s, forecast at least %v",
			duration,
			forecast.LoadEstimate.MinMs,
		)
	})
}

func TestForecast_ReportsOutcomesOfRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, replicas := startTwoRegionFleet(t, 1)
		for _, standIn := range replicas {
			standIn.lock.Lock()
			standIn.events = 200
			standIn.lock.Unlock()
		}
		var group sync.WaitGroup
		sendRequest := func(attempt, path string) {
			group.Add(1)
			go func() {
				defer group.Done()
				f.requestWithPrefix(1, attempt, path, "swift", "aa:300")
			}()
			time.Sleep(50 * time.Millisecond)
		}
		for number := range 6 {
			sendRequest(fmt.Sprint("quick-", number), "/quick/")
			sendRequest(fmt.Sprint("patient-", number), "/patient/")
		}
		inNorth := map[string]int{}
		for _, run := range replicas["i-1"].executed() {
			inNorth[run.path]++
		}
		_, forecast := f.postRehearsal(1, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Zone: "north"}})
		assert.Equal(t, forecast.InFlight.Running, 12)
		assert.Equal(t, forecast.InFlight.OnLostReplicas, inNorth["/quick/"]+inNorth["/patient/"])
		assert.Equal(t, forecast.InFlight.Resumable, inNorth["/patient/"])
		assert.Equal(t, forecast.InFlight.Aborted, inNorth["/quick/"])
		moved := 0
		for _, forecast := range forecast.Replicas {
			moved += forecast.Moved
			assert.Equal(t, forecast.Running, len(replicas[forecast.Replica].executed()))
		}
		assert.Equal(t, moved+forecast.InFlight.StillWaiting, forecast.InFlight.OnLostReplicas)
		assert.DeepEqual(t, forecast.DataPlanesLost, []string{"daemon-" + edgeHost(1)})
		assert.Equal(t, len(forecast.Control.Lost), 1)
		assert.Assert(t, forecast.Control.KeepsMajority)
		group.Wait()
	})
}

func TestForecast_PartialWhenDataPlanesDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := startTwoRegionFleet(t, 2)
		f.network.blackhole(edgeHost(2), true)
		time.Sleep(2 * time.Second)
		_, forecast := f.postRehearsal(1, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Zone: "south"}})
		assert.Assert(t, forecast.Partial)
		assert.DeepEqual(t, forecast.Missing, []string{"daemon-" + edgeHost(2)})
		assert.DeepEqual(t, forecast.Answered, []string{"daemon-" + edgeHost(1)})
	})
}

func TestForecast_RejectsInvalidScopes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := startTwoRegionFleet(t, 1)
		cases := map[int]drill.Request{
			http.StatusNotFound: {
				Kind:  drill.KindForecast,
				Scope: drill.Scope{Region: "nowhere"},
			}, http.StatusBadRequest: {Kind: drill.KindForecast},
		}
		for status, request := range cases {
			got, _ := f.postRehearsal(1, request)
			assert.Equal(t, got.status, status, got.body)
		}
		got, _ := f.postRehearsal(1, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Zone: "nowhere"}})
		assert.Equal(t, got.status, http.StatusNotFound, got.body)
		got, _ = f.postRehearsal(1, drill.Request{Kind: "wish", Scope: drill.Scope{Zone: "north"}})
		assert.Equal(t, got.status, http.StatusBadRequest, got.body)
		f.network.blackhole(edgeHost(1), true)
		answers := make(chan reply, 2)
		for range 2 {
			go func() {
				got, _ := f.postRehearsal(1, drill.Request{Kind: drill.KindForecast, Scope: drill.Scope{Region: "far"}})
				answers <- got
			}()
		}
		first, second := <-answers, <-answers
		assert.Equal(t, first.status, http.StatusConflict, "two at once: one is rejected")
		assert.Equal(t, second.status, http.StatusOK)
	})
}
