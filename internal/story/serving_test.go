package story

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

func settled(t *testing.T, edges int, replicas ...*standInReplica) *fleet {
	f := startFleet(t, edges, replicas...)
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.put(1, 0, 1, document(1, "")).status, http.StatusOK)
	time.Sleep(1500 * time.Millisecond)
	return f
}

func TestGivenALayoutWhenAClientAsksThenOneReplicaRunsItAndAllEventsPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := settled(t, 2, one)
		got := f.ask(2, "attempt-1", "/quick/a?b=c", "swift")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, allEvents())
		assert.Equal(t, got.header.Get(replica.HeaderSeal), "seal-i-1")
		assert.Equal(t, got.header.Get(replica.HeaderAttempt), "attempt-1")
		assert.Equal(t, len(one.ran()), 1)
		assert.Equal(t, one.ran()[0].path, "/quick/a?b=c")
	})
}

func TestGivenNoControlPlaneConfigurationThenAnEdgeIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1)
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.call(http.MethodGet, edgeHost(1)+":8167", "/ferryspar/readyz", "", nil).status, http.StatusServiceUnavailable)
		assert.Equal(t, f.ask(1, "attempt", "/quick/", "swift").status, http.StatusServiceUnavailable)
	})
}

func TestGivenAnEdgeThatStartsWhenARequestComesBeforeItsConfigurationThenItWaitsAndIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := settled(t, 1, one)
		for number := 1; number <= 3; number++ {
			f.kill(coreHost(number))
		}
		f.kill(edgeHost(1))
		f.startEdge(edgeHost(1))
		time.Sleep(50 * time.Millisecond)
		done := make(chan reply, 1)
		go func() { done <- f.ask(1, "attempt", "/quick/", "swift") }()
		time.Sleep(100 * time.Millisecond)
		for number := 1; number <= 3; number++ {
			f.startCore(coreHost(number), false, 1, 2, 3)
		}
		got := <-done
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, allEvents())
	})
}

func TestGivenBadInputThenTheTableOfErrorsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := settled(t, 1, one)
		assert.Equal(t, f.ask(1, "", "/quick/", "swift").status, http.StatusBadRequest)
		assert.Equal(t, f.ask(1, "attempt", "/unknown/", "swift").status, http.StatusNotFound)
		large := f.call(http.MethodPost, edgeHost(1)+":8161", "/quick/", strings.Repeat("x", 2000), map[string]string{"Host": "shop.example", replica.HeaderAttempt: "a", replica.HeaderModel: "swift"})
		assert.Equal(t, large.status, http.StatusRequestEntityTooLarge)
		head := f.call(http.MethodPost, edgeHost(1)+":8161", "/quick/", "x", map[string]string{"Host": "shop.example", replica.HeaderAttempt: "a", "Filler": strings.Repeat("x", 20000)})
		assert.Equal(t, head.status, http.StatusRequestHeaderFieldsTooLarge)
		garbled := f.call(http.MethodPost, edgeHost(1)+":8161", "/quick/", "x", map[string]string{"Host": "shop.example", replica.HeaderAttempt: "a", replica.HeaderTokens: "many"})
		assert.Equal(t, garbled.status, http.StatusBadRequest)
		assert.Equal(t, f.call(http.MethodGet, coreHost(1)+":8166", "/ferryspar/nothing", "", nil).status, http.StatusNotFound)
		assert.Equal(t, f.call(http.MethodPost, coreHost(1)+":8166", "/ferryspar/config", "", nil).status, http.StatusMethodNotAllowed)
		assert.Equal(t, len(one.ran()), 0)
	})
}

func TestGivenAModelNowhereLoadedWhenAskedForThenItIsPlacedAndServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newStandInReplica("i-1", "10.1.2.1", "north", "swift", "other")
		f := settled(t, 1, one)
		got := f.ask(1, "attempt-1", "/patient/", "rare")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, allEvents())
		assert.Assert(t, got.took < 8*time.Second, "took %s", got.took)
		assert.Assert(t, !one.overfull, "the replica was ordered beyond its room")
		got = f.ask(1, "attempt-2", "/patient/", "other")
		assert.Equal(t, got.status, http.StatusOK, "the intent for the first model must have ended")
	})
}

func TestGivenAStreamThatMayNotRepeatWhenItsReplicaBreaksOffThenTheClientSeesTheCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		one.cutAfter, two.cutAfter = 2, 2
		f := settled(t, 1, one, two)
		got := f.ask(1, "attempt-1", "/quick/", "swift")
		assert.Assert(t, got.cut, "an answer that ended early must not look whole")
		assert.Equal(t, len(one.ran())+len(two.ran()), 1)
	})
}

func TestGivenAResumableStreamWhenItsReplicaBreaksOffThenAnotherGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		one.cutAfter = 2
		f := settled(t, 1, one, two)
		got := f.ask(1, "attempt-1", "/patient/", "swift")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, allEvents())
		assert.Equal(t, got.header.Get(replica.HeaderSeal), "seal-i-1")
		assert.Equal(t, two.ran()[0].lastEvent, "2")
	})
}

func TestGivenAReplicaThatRefusesWhenOnlyOneMayBeTriedThenThePromiseGoesToTheClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		one.full, two.full = true, true
		f := settled(t, 1, one, two)
		got := f.ask(1, "attempt-1", "/quick/", "swift")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, got.header.Get("Retry-After") != "")
		assert.Equal(t, len(one.ran())+len(two.ran()), 0)
	})
}

func TestGivenADrainedZoneThenItsReplicasGetNothingUntilItIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := settled(t, 1, one, two)
		assert.Equal(t, f.call(http.MethodPost, coreHost(2)+":8166", "/ferryspar/drain-zone/north", "", nil).status, http.StatusOK)
		assert.Equal(t, f.call(http.MethodPost, coreHost(2)+":8166", "/ferryspar/drain-zone/nowhere", "", nil).status, http.StatusNotFound)
		for range 5 {
			assert.Equal(t, f.ask(1, "attempt", "/quick/", "swift").status, http.StatusOK)
		}
		assert.Equal(t, len(one.ran()), 0)
		assert.Equal(t, f.call(http.MethodDelete, coreHost(3)+":8166", "/ferryspar/drain-zone/north", "", nil).status, http.StatusOK)
		time.Sleep(time.Second)
		for range 5 {
			assert.Equal(t, f.ask(1, "attempt", "/quick/", "swift").status, http.StatusOK)
		}
		assert.Assert(t, len(one.ran()) > 0, "the zone is near and open again")
	})
}

func TestGivenARouteWithHomesThenOnlyReplicasThereRunIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, home := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.4.2.1", "abroad", "swift")
		f := settled(t, 1, near, home)
		routed := `,{"name":"homes","hostname":"shop.example","pathPrefix":"/homes/","routeType":"streaming","timeoutMs":20000,"targetLatencyMs":600,"backend":"scribes","retryCount":1,"allowedRegions":["far"]}`
		assert.Equal(t, f.put(1, 1, 2, document(2, routed)).status, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
		for range 3 {
			assert.Equal(t, f.ask(1, "attempt", "/homes/", "swift").status, http.StatusOK)
		}
		assert.Equal(t, len(near.ran()), 0)
		assert.Equal(t, len(home.ran()), 3)
	})
}

func TestGivenADrainingReplicaThenNothingNewReachesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := settled(t, 1, one, two)
		one.drain(true)
		time.Sleep(1500 * time.Millisecond)
		for range 4 {
			assert.Equal(t, f.ask(1, "attempt", "/quick/", "swift").status, http.StatusOK)
		}
		assert.Equal(t, len(one.ran()), 0)
	})
}

func TestGivenADarkReplicaThenOrdersGoElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := settled(t, 1, one, two)
		f.network.darken("10.1.2.1", true)
		served := 0
		for range 6 {
			if f.ask(1, "attempt", "/quick/", "swift").status == http.StatusOK {
				served++
			}
		}
		assert.Assert(t, served >= 5, "served %d of 6", served)
	})
}

func TestGivenAColdReplicaThenItsRateIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		one.listed.WarmUpRemainingMs = 60000
		f := settled(t, 2, one)
		done := make(chan reply, 20)
		for number := range 20 {
			go func() { done <- f.ask(number%2+1, "attempt", "/patient/", "swift") }()
		}
		time.Sleep(3 * time.Second)
		perSecond := map[int64]int{}
		for _, run := range one.ran() {
			perSecond[run.at.Unix()]++
		}
		for second, amount := range perSecond {
			assert.Assert(t, amount <= 4, "second %d carried %d", second, amount)
		}
		assert.Assert(t, len(one.ran()) >= 3)
		for range 20 {
			<-done
		}
	})
}

func TestGivenATerminationWhenARequestRunsThenItIsFinishedAndTheEdgeIsUnready(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		one.events = 5
		f := settled(t, 1, one)
		done := make(chan reply, 1)
		go func() { done <- f.ask(1, "attempt", "/quick/", "swift") }()
		time.Sleep(30 * time.Millisecond)
		f.daemons[edgeHost(1)].stop <- syscall.SIGTERM
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, f.call(http.MethodGet, edgeHost(1)+":8167", "/ferryspar/readyz", "", nil).status, http.StatusServiceUnavailable)
		got := <-done
		assert.Equal(t, got.body, allEvents())
		late := f.ask(1, "attempt-2", "/patient/", "rare")
		assert.Equal(t, late.status, http.StatusServiceUnavailable)
		assert.Assert(t, late.took < time.Second, "what cannot be placed is refused at once")
		assert.NilError(t, <-f.daemons[edgeHost(1)].done)
	})
}
