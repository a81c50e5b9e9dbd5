package integration

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSubscriptions_RareModelServedByDataPlanesOfAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 3, firstReplica, secondReplica)
		for round := range 2 {
			for edge := 1; edge <= 3; edge++ {
				answer := f.request(edge, fmt.Sprintf("attempt-%d-%d", round, edge), "/patient/", "rare")
				assert.Equal(t, answer.status, http.StatusOK)
				assert.Assert(t, answer.duration < 4*time.Second, "round %d edge %d took %s", round, edge, answer.duration)
			}
		}
	})
}

func TestSubscriptions_DrainingReplicaGetsNothingAfterAllMembersRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		firstReplica := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		secondReplica := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
		f := startSettledFleet(t, 3, firstReplica, secondReplica)
		for round := range 12 {
			firstReplica.setDraining(round%2 == 0)
			time.Sleep(time.Second)
			f.request(1+round%3, fmt.Sprint("before-", round), "/quick/", "swift")
		}
		firstReplica.setDraining(false)
		time.Sleep(time.Second)
		for core := 1; core <= 3; core++ {
			f.kill(coreHost(core))
		}
		for core := 1; core <= 3; core++ {
			f.startCore(coreHost(core), false, 1, 2, 3)
		}
		time.Sleep(3 * time.Second)
		for edge := 1; edge <= 3; edge++ {
			assert.Equal(t, f.request(edge, fmt.Sprint("after-", edge), "/quick/", "swift").status, http.StatusOK)
		}
		firstReplica.setDraining(true)
		time.Sleep(2 * time.Second)
		ran := len(firstReplica.executed())
		for edge := 1; edge <= 3; edge++ {
			for number := range 4 {
				assert.Equal(t, f.request(edge, fmt.Sprintf("late-%d-%d", edge, number), "/quick/", "swift").status, http.StatusOK)
			}
		}
		assert.Equal(t, len(firstReplica.executed()), ran, "a draining replica ran requests")
	})
}
