package integration

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

func TestServing_RequestRunsOnOneReplicaAndStreamsAllEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 2, standIn)
		got := f.request(2, "attempt-1", "/quick/a?b=c", "swift")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, allEvents())
		assert.Equal(t, got.header.Get(replica.HeaderSeal), "seal-i-1")
		assert.Equal(t, got.header.Get(replica.HeaderAttemptID), "attempt-1")
		assert.Equal(t, len(standIn.executed()), 1)
		assert.Equal(t, standIn.executed()[0].path, "/quick/a?b=c")
	})
}

func TestServing_NotReadyWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1)
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.call(http.MethodGet, edgeHost(1)+":8167", "/ferryspar/readyz", "", nil).status, http.StatusServiceUnavailable)
		assert.Equal(t, f.request(1, "attempt", "/quick/", "swift").status, http.StatusServiceUnavailable)
	})
}

func TestServing_RequestBeforeConfigurationWaitsAndIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		for number := 1; number <= 3; number++ {
			f.kill(coreHost(number))
		}
		f.kill(edgeHost(1))
		f.startEdge(edgeHost(1))
		time.Sleep(50 * time.Millisecond)
		done := make(chan reply, 1)
		go func() { done <- f.request(1, "attempt", "/quick/", "swift") }()
		time.Sleep(100 * time.Millisecond)
		for number := 1; number <= 3; number++ {
			f.startCore(coreHost(number), false, 1, 2, 3)
		}
		got := <-done
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, allEvents())
	})
}

func TestServing_BadInputGetsDocumentedErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		assert.Equal(t, f.request(1, "", "/quick/", "swift").status, http.StatusBadRequest)
		assert.Equal(t, f.request(1, "attempt", "/unknown/", "swift").status, http.StatusNotFound)
		large := f.call(
			http.MethodPost,
			edgeHost(1)+":8161",
			"/quick/",
			strings.Repeat("x", 2000),
			map[string]string{"Host": "shop.example", replica.HeaderAttemptID: "a", replica.HeaderModel: "swift"},
		)
		assert.Equal(t, large.status, http.StatusRequestEntityTooLarge)
		head := f.call(
			http.MethodPost,
			edgeHost(1)+":8161",
			"/quick/",
			"x",
			map[string]string{"Host": "shop.example", replica.HeaderAttemptID: "a", "Filler": strings.Repeat("x", 20000)},
		)
		assert.Equal(t, head.status, http.StatusRequestHeaderFieldsTooLarge)
		garbled := f.call(
			http.MethodPost,
			edgeHost(1)+":8161",
			"/quick/",
			"x",
			map[string]string{"Host": "shop.example", replica.HeaderAttemptID: "a", replica.HeaderTokenCount: "many"},
		)
		assert.Equal(t, garbled.status, http.StatusBadRequest)
		assert.Equal(t, f.call(http.MethodGet, coreHost(1)+":8166", "/ferryspar/nothing", "", nil).status, http.StatusNotFound)
		assert.Equal(t, f.call(http.MethodPost, coreHost(1)+":8166", "/ferryspar/config", "", nil).status, http.StatusMethodNotAllowed)
		assert.Equal(t, len(standIn.executed()), 0)
	})
}

func TestServing_UnloadedModelIsPlacedAndServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift", "other")
		f := startSettledFleet(t, 1, standIn)
		got := f.request(1, "attempt-1", "/patient/", "rare")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, allEvents())
		assert.Assert(t, got.duration < 8*time.Second, "took %s", got.duration)
		assert.Assert(t, !standIn.overCapacity, "the replica was ordered beyond its capacity")
		got = f.request(1, "attempt-2", "/patient/", "other")
		assert.Equal(t, got.status, http.StatusOK, "the intent for the first model must have ended")
	})
}

func TestServing_BrokenNonResumableStreamIsVisibleToClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		firstReplica.breakStreamAfter, secondReplica.breakStreamAfter = 2, 2
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
		got := f.request(1, "attempt-1", "/quick/", "swift")
		assert.Assert(t, got.broken, "an answer that ended early must not look complete")
		assert.Equal(t, len(firstReplica.executed())+len(secondReplica.executed()), 1)
	})
}

func TestServing_ResumableStreamContinuesOnAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		firstReplica.breakStreamAfter = 2
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
		got := f.request(1, "attempt-1", "/patient/", "swift")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, allEvents())
		assert.Equal(t, got.header.Get(replica.HeaderSeal), "seal-i-1")
		assert.Equal(t, secondReplica.executed()[0].lastEvent, "2")
	})
}

func TestServing_NotExecutedProofPassedOnWhenNoRetryIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		firstReplica.full, secondReplica.full = true, true
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
		got := f.request(1, "attempt-1", "/quick/", "swift")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Equal(t, len(firstReplica.executed())+len(secondReplica.executed()), 0)
	})
}

func TestServing_DrainedZoneGetsNothingUntilUndrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
		assert.Equal(t, f.call(http.MethodPost, coreHost(2)+":8166", "/ferryspar/drain-zone/north", "", nil).status, http.StatusOK)
		assert.Equal(t, f.call(http.MethodPost, coreHost(2)+":8166", "/ferryspar/drain-zone/nowhere", "", nil).status, http.StatusNotFound)
		for range 5 {
			assert.Equal(t, f.request(1, "attempt", "/quick/", "swift").status, http.StatusOK)
		}
		assert.Equal(t, len(firstReplica.executed()), 0)
		assert.Equal(t, f.call(http.MethodDelete, coreHost(3)+":8166", "/ferryspar/drain-zone/north", "", nil).status, http.StatusOK)
		time.Sleep(time.Second)
		for range 5 {
			assert.Equal(t, f.request(1, "attempt", "/quick/", "swift").status, http.StatusOK)
		}
		assert.Assert(t, len(firstReplica.executed()) > 0, "the zone is used again")
	})
}

func TestServing_AllowedRegionsAreRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		home := newStandInReplica("i-2", "10.4.2.1", "abroad", "swift")
		f := startSettledFleet(t, 1, near, home)
		routed := `,{"name":"homes","hostname":"shop.example","pathPrefix":"/homes/","routeType":"streaming",
	"timeoutMs":20000,"targetLatencyMs":600,"backend":"scribes","retryCount":1,"allowedRegions":["far"]}`
		assert.Equal(t, f.putConfiguration(1, 1, document(2, routed)).status, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
		for range 3 {
			assert.Equal(t, f.request(1, "attempt", "/homes/", "swift").status, http.StatusOK)
		}
		assert.Equal(t, len(near.executed()), 0)
		assert.Equal(t, len(home.executed()), 3)
	})
}

func TestServing_DrainingReplicaGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
		firstReplica.setDraining(true)
		time.Sleep(1500 * time.Millisecond)
		for range 4 {
			assert.Equal(t, f.request(1, "attempt", "/quick/", "swift").status, http.StatusOK)
		}
		assert.Equal(t, len(firstReplica.executed()), 0)
	})
}

func TestServing_UnreachableReplicaIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 1, firstReplica, secondReplica)
		f.network.blackhole("10.1.2.1", true)
		served := 0
		for range 6 {
			if f.request(1, "attempt", "/quick/", "swift").status == http.StatusOK {
				served++
			}
		}
		assert.Assert(t, served >= 5, "served %d of 6", served)
	})
}

func TestServing_WarmingReplicaKeepsItsRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		standIn.listed.WarmUpRemainingMs = 60000
		f := startSettledFleet(t, 2, standIn)
		done := make(chan reply, 20)
		for number := range 20 {
			go func() { done <- f.request(number%2+1, "attempt", "/patient/", "swift") }()
		}
		time.Sleep(3 * time.Second)
		perSecond := map[int64]int{}
		for _, run := range standIn.executed() {
			perSecond[run.at.Unix()]++
		}
		for second, amount := range perSecond {
			assert.Assert(t, amount <= 4, "second %d had %d requests", second, amount)
		}
		assert.Assert(t, len(standIn.executed()) >= 3)
		for range 20 {
			<-done
		}
	})
}

func TestServing_GracefulShutdownFinishesRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		standIn.events = 5
		f := startSettledFleet(t, 1, standIn)
		done := make(chan reply, 1)
		go func() { done <- f.request(1, "attempt", "/quick/", "swift") }()
		time.Sleep(30 * time.Millisecond)
		f.nodes[edgeHost(1)].stop <- syscall.SIGTERM
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, f.call(http.MethodGet, edgeHost(1)+":8167", "/ferryspar/readyz", "", nil).status, http.StatusServiceUnavailable)
		got := <-done
		assert.Equal(t, got.body, allEvents())
		late := f.request(1, "attempt-2", "/patient/", "rare")
		assert.Equal(t, late.status, http.StatusServiceUnavailable)
		assert.Assert(t, late.duration < time.Second, "what cannot be placed is rejected at once")
		assert.NilError(t, <-f.nodes[edgeHost(1)].done)
	})
}
