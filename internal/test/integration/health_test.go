package integration

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

var replicaZones = []string{"north", "south", "east"}

type streamResult struct {
	served, asked int
}

func (f *fleet) stream(edges int, path string, span time.Duration) streamResult {
	const pause = 40 * time.Millisecond
	f.client.Timeout = 2400 * time.Millisecond
	total := int(span / pause)
	done := make(chan reply, total)
	for number := range total {
		go func() { done <- f.requestNew(number%edges+1, number, path) }()
		time.Sleep(pause)
	}
	seen := streamResult{asked: total}
	for range total {
		if got := <-done; got.status == http.StatusOK && got.body == allEvents() {
			seen.served++
		}
	}
	return seen
}

func (f *fleet) requestNew(edge, number int, path string) reply {
	return f.call(http.MethodPost, edgeHost(edge)+":8161", path, "prompt", map[string]string{
		"Host":                  "shop.example",
		replica.HeaderAttempt:   fmt.Sprintf("attempt-%d", number),
		replica.HeaderModel:     "swift",
		replica.HeaderTokens:    "100,20",
		replica.HeaderPrefix:    fmt.Sprintf("%x:100", time.Now().UnixNano()+int64(number)),
		replica.HeaderRemaining: "20000",
	})
}

func (f *fleet) rush(edges, total int) {
	done := make(chan reply, total)
	for number := range total {
		go func() { done <- f.requestNew(number%edges+1, number, "/quick/") }()
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

func (s *standInReplica) executedSince(from time.Time) int {
	amount := 0
	for _, run := range s.executed() {
		if run.at.After(from) {
			amount++
		}
	}
	return amount
}

func TestHealth_FailingReplicaIsThrottledAndReturns(t *testing.T) {
	for _, how := range []string{"errors", "reset", "hang", "shed"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := fourReplicas()
				f := startSettledFleet(t, 6, replicas...)
				grey := replicas[0]
				f.stream(6, "/quick/", 3*time.Second)
				assert.Assert(t, len(grey.executed()) > 8, "well at first: %d", len(grey.executed()))
				grey.setFailing(how, 2)
				f.stream(6, "/quick/", 3*time.Second)
				late := time.Now()
				seen := f.stream(6, "/quick/", 6*time.Second)
				f.rush(6, 20)
				fairShare := (seen.asked + 20) / len(replicas)
				assert.Assert(t, grey.executedSince(late) <= fairShare/2, "ran %d of a fair %d", grey.executedSince(late), fairShare)
				assert.Assert(t, seen.served >= seen.asked-8, "served %d of %d", seen.served, seen.asked)
				grey.setFailing("", 0)
				f.stream(6, "/quick/", 16*time.Second)
				well := time.Now()
				for range 3 {
					f.rush(6, 28)
				}
				assert.Assert(t, grey.executedSince(well) >= 2, "back in: %d", grey.executedSince(well))
			})
		})
	}
}

func TestHealth_NoEjectionWhenAllReplicasFailAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := fourReplicas()
		f := startSettledFleet(t, 2, replicas...)
		for _, standIn := range replicas {
			standIn.setFailing("errors", 3)
		}
		f.stream(2, "/quick/", 4*time.Second)
		late := time.Now()
		seen := f.stream(2, "/quick/", 4*time.Second)
		assert.Assert(t, seen.served >= seen.asked/2, "served %d of %d", seen.served, seen.asked)
		for _, standIn := range replicas {
			assert.Assert(t, standIn.executedSince(late) > 4, "%s ran %d", standIn.listed.ID, standIn.executedSince(late))
		}
	})
}

func TestHealth_OnlyReplicaOfModelIsNeverEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := fourReplicas()
		f := startSettledFleet(t, 2, replicas[0], newStandInReplica("i-9", "10.3.2.1", "east", "rare", "other"))
		replicas[0].setFailing("errors", 2)
		f.stream(2, "/quick/", 6*time.Second)
		assert.Assert(t, len(replicas[0].executed()) > 100, "ran %d", len(replicas[0].executed()))
		seen := f.stream(2, "/patient/", 3*time.Second)
		assert.Assert(t, seen.served >= seen.asked*4/5, "a second try is served: %d of %d", seen.served, seen.asked)
	})
}

func TestHealth_OutcomesOutweighHealthChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := fourReplicas()
		liar, modest := replicas[0], replicas[1]
		liar.healthy = true
		f := startSettledFleet(t, 6, replicas...)
		liar.setFailing("errors", 1)
		f.stream(6, "/quick/", 3*time.Second)
		late := time.Now()
		seen := f.stream(6, "/quick/", 4*time.Second)
		assert.Assert(t, seen.served >= seen.asked-4, "served %d of %d", seen.served, seen.asked)
		assert.Assert(t, modest.executedSince(late) > 8, "says ill and is well: ran %d", modest.executedSince(late))
		assert.Equal(t, liar.probed+modest.probed, 0)
	})
}

func TestHealth_FlappingReplicaReturnsWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := fourReplicas()
		f := startSettledFleet(t, 6, replicas...)
		flapping := hostOf(replicas[0].listed.Address)
		lost := func(rounds int) int {
			gone := 0
			for range rounds {
				f.network.blackhole(flapping, true)
				seen := f.stream(6, "/quick/", 1400*time.Millisecond)
				f.network.blackhole(flapping, false)
				back := f.stream(6, "/quick/", 1400*time.Millisecond)
				gone += seen.asked + back.asked - seen.served - back.served
			}
			return gone
		}
		lost(1)
		began := f.network.dialed(flapping)
		gone := lost(3)
		assert.Assert(t, gone <= 6, "lost %d", gone)
		assert.Assert(t, f.network.dialed(flapping)-began <= 12, "dialed %d", f.network.dialed(flapping)-began)
	})
}

func TestProxy_NonIdempotentRequestAvoidsDroppedIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		f.network.dropSilently("10.1.2.1", 400*time.Millisecond)
		assert.Equal(t, f.request(1, "a", "/patient/", "swift").body, allEvents())
		time.Sleep(600 * time.Millisecond)
		assert.Assert(t, f.request(1, "b", "/patient/", "swift").status != http.StatusServiceUnavailable)
		for number := range 6 {
			time.Sleep(600 * time.Millisecond)
			assert.Equal(t, f.request(1, fmt.Sprintf("once-%d", number), "/quick/", "swift").body, allEvents())
		}
		dialed := f.network.dialed("10.1.2.1")
		for number := range 6 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, f.request(1, fmt.Sprintf("soon-%d", number), "/quick/", "swift").body, allEvents())
		}
		assert.Assert(t, f.network.dialed("10.1.2.1")-dialed <= 1, "sessions just used are used again")
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
			assert.Assert(t, got.took < 300*time.Millisecond, "took %s", got.took)
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
		f.stream(6, "/quick/", 3*time.Second)
		for _, standIn := range replicas {
			if standIn.listed.Zone == "south" {
				f.network.blackhole(hostOf(standIn.listed.Address), true)
			}
		}
		f.stream(6, "/quick/", 1500*time.Millisecond)
		seen := f.stream(6, "/quick/", 4*time.Second)
		assert.Assert(t, seen.served >= seen.asked-6, "served %d of %d", seen.served, seen.asked)
		fresh := newStandInReplica("i-new", "10.2.2.77", "south", "swift")
		f.add(fresh)
		time.Sleep(1500 * time.Millisecond)
		seen = f.stream(2, "/quick/", 3*time.Second)
		assert.Equal(t, seen.served, seen.asked)
		assert.Assert(t, len(fresh.executed()) > 1, "the new life is used: %d", len(fresh.executed()))
		assert.Assert(t, f.call(http.MethodGet, edgeHost(1)+":8167", "/ferryspar/readyz", "", nil).status == http.StatusOK)
	})
}
