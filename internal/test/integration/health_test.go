package integration

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var replicaZones = []string{"north", "south", "east"}

type trafficResult struct {
	served, sent int
}

func (f *fleet) sendSteadily(edges int, path string, span time.Duration) trafficResult {
	const pause = 40 * time.Millisecond
	f.client.Timeout = 2400 * time.Millisecond
	total := int(span / pause)
	done := make(chan reply, total)
	for number := range total {
		go func() { done <- f.requestWithUniquePrefix(number%edges+1, number, path) }()
		time.Sleep(pause)
	}
	result := trafficResult{sent: total}
	for range total {
		if got := <-done; got.status == http.StatusOK && got.body == allEvents() {
			result.served++
		}
	}
	return result
}

func (f *fleet) sendBurst(edges, total int) {
	done := make(chan reply, total)
	for number := range total {
		go func() { done <- f.requestWithUniquePrefix(number%edges+1, number, "/quick/") }()
	}
	for range total {
		<-done
	}
}

func fourReplicas() []*standInReplica {
	var list []*standInReplica
	for number := 1; number <= 4; number++ {
		zone := (number-1)%3 + 1
		standIn := newStandInReplica(fmt.Sprintf("i-%d", number), fmt.Sprintf("10.%d.2.%d", zone, number), replicaZones[zone-1], "swift")
		standIn.listed.Slots = 3
		list = append(list, standIn)
	}
	return list
}

func TestHealth_FailingReplicaIsThrottledAndReturns(t *testing.T) {
	for _, failureMode := range []string{"errors", "reset", "hang", "shed"} {
		t.Run(failureMode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := fourReplicas()
				f := startSettledFleet(t, 6, replicas...)
				failing := replicas[0]
				f.sendSteadily(6, "/quick/", 3*time.Second)
				assert.Assert(t, len(failing.executed()) > 8, "used at first: %d", len(failing.executed()))
				failing.setFailureMode(failureMode, 2)
				f.sendSteadily(6, "/quick/", 3*time.Second)
				ejectedAt := time.Now()
				result := f.sendSteadily(6, "/quick/", 6*time.Second)
				f.sendBurst(6, 20)
				fairShare := (result.sent + 20) / len(replicas)
				assert.Assert(
					t,
					failing.executedSince(ejectedAt) <= fairShare/2,
					"ran %d of a fair %d",
					failing.executedSince(ejectedAt),
					fairShare,
				)
				assert.Assert(t, result.served >= result.sent-8, "served %d of %d", result.served, result.sent)
				failing.setFailureMode("", 0)
				f.sendSteadily(6, "/quick/", 16*time.Second)
				recoveredAt := time.Now()
				for range 3 {
					f.sendBurst(6, 28)
				}
				assert.Assert(t, failing.executedSince(recoveredAt) >= 2, "used again: %d", failing.executedSince(recoveredAt))
			})
		})
	}
}

func TestHealth_NoEjectionWhenAllReplicasFailAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := fourReplicas()
		f := startSettledFleet(t, 2, replicas...)
		for _, standIn := range replicas {
			standIn.setFailureMode("errors", 3)
		}
		f.sendSteadily(2, "/quick/", 4*time.Second)
		late := time.Now()
		result := f.sendSteadily(2, "/quick/", 4*time.Second)
		assert.Assert(t, result.served >= result.sent/2, "served %d of %d", result.served, result.sent)
		for _, standIn := range replicas {
			assert.Assert(t, standIn.executedSince(late) > 4, "%s ran %d", standIn.listed.ID, standIn.executedSince(late))
		}
	})
}

func TestHealth_OnlyReplicaOfModelIsNeverEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := fourReplicas()
		f := startSettledFleet(t, 2, replicas[0], newStandInReplica("i-9", "10.3.2.1", "east", "rare", "other"))
		replicas[0].setFailureMode("errors", 2)
		f.sendSteadily(2, "/quick/", 6*time.Second)
		assert.Assert(t, len(replicas[0].executed()) > 100, "ran %d", len(replicas[0].executed()))
		result := f.sendSteadily(2, "/patient/", 3*time.Second)
		assert.Assert(t, result.served >= result.sent*4/5, "a second try is served: %d of %d", result.served, result.sent)
	})
}

func TestHealth_OutcomesOutweighHealthChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := fourReplicas()
		falselyHealthy, falselyUnhealthy := replicas[0], replicas[1]
		falselyHealthy.healthy = true
		f := startSettledFleet(t, 6, replicas...)
		falselyHealthy.setFailureMode("errors", 1)
		f.sendSteadily(6, "/quick/", 3*time.Second)
		since := time.Now()
		result := f.sendSteadily(6, "/quick/", 4*time.Second)
		assert.Assert(t, result.served >= result.sent-4, "served %d of %d", result.served, result.sent)
		assert.Assert(
			t,
			falselyUnhealthy.executedSince(since) > 8,
			"fails its health checks and serves: ran %d",
			falselyUnhealthy.executedSince(since),
		)
		assert.Equal(t, falselyHealthy.healthChecks+falselyUnhealthy.healthChecks, 0)
	})
}

func TestHealth_FlappingReplicaReturnsWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := fourReplicas()
		f := startSettledFleet(t, 6, replicas...)
		flapping := hostOf(replicas[0].listed.Address)
		flap := func(rounds int) int {
			failed := 0
			for range rounds {
				f.network.blackhole(flapping, true)
				result := f.sendSteadily(6, "/quick/", 1400*time.Millisecond)
				f.network.blackhole(flapping, false)
				back := f.sendSteadily(6, "/quick/", 1400*time.Millisecond)
				failed += result.sent + back.sent - result.served - back.served
			}
			return failed
		}
		flap(1)
		began := f.network.dialCount(flapping)
		failed := flap(3)
		assert.Assert(t, failed <= 6, "lost %d", failed)
		assert.Assert(t, f.network.dialCount(flapping)-began <= 12, "dialed %d", f.network.dialCount(flapping)-began)
	})
}

func TestProxy_NonIdempotentRequestAvoidsDroppedIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		f.network.dropIdleConnections("10.1.2.1", 400*time.Millisecond)
		assert.Equal(t, f.request(1, "a", "/patient/", "swift").body, allEvents())
		time.Sleep(600 * time.Millisecond)
		assert.Assert(t, f.request(1, "b", "/patient/", "swift").status != http.StatusServiceUnavailable)
		for number := range 6 {
			time.Sleep(600 * time.Millisecond)
			assert.Equal(t, f.request(1, fmt.Sprintf("once-%d", number), "/quick/", "swift").body, allEvents())
		}
		dialed := f.network.dialCount("10.1.2.1")
		for number := range 6 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, f.request(1, fmt.Sprintf("soon-%d", number), "/quick/", "swift").body, allEvents())
		}
		assert.Assert(t, f.network.dialCount("10.1.2.1")-dialed <= 1, "connections that were just used are used again")
	})
}

func TestProxy_NonIdempotentRequestRunsOnceAfterIdleResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		for number := range 5 {
			assert.Equal(t, f.request(1, fmt.Sprintf("once-%d", number), "/quick/", "swift").body, allEvents())
			f.network.breakConnections("10.1.2.1")
			got := f.request(1, fmt.Sprintf("next-%d", number), "/quick/", "swift")
			assert.Equal(t, got.body, allEvents())
			assert.Assert(t, got.duration < 300*time.Millisecond, "took %s", got.duration)
		}
		assert.Equal(t, len(standIn.executed()), 10)
	})
}

func TestHealth_ZonePowerLossFailsOverAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var replicas []*standInReplica
		for number := 1; number <= 9; number++ {
			zone := number%3 + 1
			replicas = append(
				replicas,
				newStandInReplica(fmt.Sprintf("i-%d", number), fmt.Sprintf("10.%d.2.%d", zone, number), replicaZones[zone-1], "swift"),
			)
		}
		f := startSettledFleet(t, 6, replicas...)
		f.sendSteadily(6, "/quick/", 3*time.Second)
		for _, standIn := range replicas {
			if standIn.listed.Zone == "south" {
				f.network.blackhole(hostOf(standIn.listed.Address), true)
			}
		}
		f.sendSteadily(6, "/quick/", 1500*time.Millisecond)
		result := f.sendSteadily(6, "/quick/", 4*time.Second)
		assert.Assert(t, result.served >= result.sent-6, "served %d of %d", result.served, result.sent)
		fresh := newStandInReplica("i-new", "10.2.2.77", "south", "swift")
		f.addReplica(fresh)
		time.Sleep(1500 * time.Millisecond)
		result = f.sendSteadily(2, "/quick/", 3*time.Second)
		assert.Equal(t, result.served, result.sent)
		assert.Assert(t, len(fresh.executed()) > 1, "the new replica is used: %d", len(fresh.executed()))
		assert.Assert(t, f.call(http.MethodGet, edgeHost(1)+":8167", "/ferryspar/readyz", "", nil).status == http.StatusOK)
	})
}
