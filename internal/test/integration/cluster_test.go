package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestCluster_PartialPartitionKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(
			t,
			2,
			newStandInReplica("i-1", "10.1.2.1", "north", "swift"),
			newStandInReplica("i-2", "10.2.2.1", "south", "swift"),
		)
		f.network.partition(coreHost(1), coreHost(2), true)
		f.network.partition(edgeHost(1), coreHost(2), true)
		f.network.partition(edgeHost(2), coreHost(1), true)
		current := 1
		for round := range 6 {
			revision := current + 1
			patch := fmt.Sprintf(`{"revision":%d,"upsert":{"routeTable":[%s]}}`, revision, routeNamed(fmt.Sprintf("bridge-%d", round))[1:])
			for attempt := range 12 {
				got := f.call(
					http.MethodPatch,
					coreHost(1+(round+attempt)%3)+":8166",
					"/ferryspar/config",
					patch,
					map[string]string{"If-Match": fmt.Sprint(current)},
				)
				if got.status == http.StatusOK {
					break
				}
				assert.Assert(t, got.status >= 500 || got.broken, "round %d: %d %s", round, got.status, got.body)
				assert.Assert(t, attempt < 11, "round %d is never acknowledged", round)
			}
			current = revision
			time.Sleep(2500 * time.Millisecond)
			for edge := 1; edge <= 2; edge++ {
				assert.Equal(
					t,
					f.request(edge, "attempt", fmt.Sprintf("/bridge-%d/", round), "swift").status,
					http.StatusOK,
					"edge %d",
					edge,
				)
			}
		}
		f.network.partition(coreHost(1), coreHost(2), false)
		time.Sleep(3 * time.Second)
		for core := 1; core <= 3; core++ {
			read := f.call(http.MethodGet, coreHost(core)+":8166", "/ferryspar/config", "", nil)
			assert.Assert(t, strings.Contains(read.body, fmt.Sprintf(`"revision":%d`, current)), "core %d", core)
		}
	})
}

func TestCluster_AddedDataPlanesServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(
			t,
			1,
			newStandInReplica("i-1", "10.1.2.1", "north", "swift"),
			newStandInReplica("i-2", "10.2.2.1", "south", "swift"),
		)
		for added := 2; added <= 5; added++ {
			f.startEdge(edgeHost(added))
		}
		time.Sleep(2 * time.Second)
		for edge := 1; edge <= 5; edge++ {
			ready := f.call(http.MethodGet, edgeHost(edge)+":8167", "/ferryspar/readyz", "", nil)
			assert.Equal(t, ready.status, http.StatusOK)
			assert.Equal(t, f.request(edge, fmt.Sprintf("attempt-%d", edge), "/quick/", "swift").status, http.StatusOK)
		}
	})
}

func TestCluster_PartitionedMemberRejectsAndMajorityContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		f.network.partition(coreHost(1), coreHost(2), true)
		f.network.partition(coreHost(1), coreHost(3), true)
		minority := f.putConfiguration(1, 1, document(2, newRoute))
		assert.Assert(t, minority.status >= 500 || minority.broken, "no majority: %d", minority.status)
		assert.Equal(t, f.putConfiguration(2, 1, document(3, newRoute)).status, http.StatusOK)
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, f.request(1, "attempt", "/added/", "swift").status, http.StatusOK)
		f.network.partition(coreHost(1), coreHost(2), false)
		f.network.partition(coreHost(1), coreHost(3), false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.putConfiguration(1, 1, document(2, newRoute)).status, http.StatusPreconditionFailed)
		read := f.call(http.MethodGet, coreHost(1)+":8166", "/ferryspar/config", "", nil)
		assert.Assert(t, strings.Contains(read.body, `"revision":3`), "%d %s", read.status, read.body)
	})
}

func TestCluster_AcknowledgedStateSurvivesKillOfAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		assert.Equal(t, f.putConfiguration(2, 1, document(4, newRoute)).status, http.StatusOK)
		assert.Equal(t, f.call(http.MethodPost, coreHost(2)+":8166", "/ferryspar/drain-zone/south", "", nil).status, http.StatusOK)
		for number := 1; number <= 3; number++ {
			f.kill(coreHost(number))
		}
		f.kill(edgeHost(1))
		time.Sleep(time.Second)
		for number := 1; number <= 3; number++ {
			f.startCore(coreHost(number), false, 1, 2, 3)
		}
		f.startEdge(edgeHost(1))
		time.Sleep(3 * time.Second)
		read := f.call(http.MethodGet, coreHost(1)+":8166", "/ferryspar/config", "", nil)
		assert.Assert(t, strings.Contains(read.body, `"revision":4`), "%d %s", read.status, read.body)
		assert.Equal(t, f.request(1, "attempt", "/added/", "swift").status, http.StatusOK)
	})
}

func TestCluster_WipedMemberCatchesUpBeforeVoting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1)
		assert.Equal(t, f.putConfiguration(1, 1, document(2, newRoute)).status, http.StatusOK)
		f.kill(coreHost(1))
		f.wipe(coreHost(1))
		f.startCore(coreHost(1), false, 1, 2, 3)
		time.Sleep(4 * time.Second)
		f.kill(coreHost(2))
		time.Sleep(time.Second)
		assert.Equal(t, f.putConfiguration(1, 2, document(3, "")).status, http.StatusOK, "the wiped member votes again")
	})
}

func TestCluster_LostMemberReplacedBySpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		f.kill(coreHost(1))
		f.startCore(coreHost(4), false, 2, 3, 4)
		time.Sleep(6 * time.Second)
		o, version := newOperators(f, 1, 2, 3), uint64(0)
		for number := 2; number <= 4; number++ {
			if change := o.status(coreHost(number)).MembershipChange; change != nil {
				assert.Assert(t, change.Reason != "")
				version = max(version, change.Version)
			}
		}
		assert.Equal(t, version, o.status(coreHost(3)).MembershipVersion, "the member that committed the last change reports its reason")
		f.kill(coreHost(2))
		time.Sleep(time.Second)
		assert.Equal(t, f.putConfiguration(3, 1, document(2, newRoute)).status, http.StatusOK, "the newcomer counts towards the majority")
		assert.Equal(t, f.putConfiguration(4, 2, document(3, newRoute)).status, http.StatusOK)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, f.request(1, "attempt", "/added/", "swift").status, http.StatusOK)
	})
}

func TestCluster_NextLeaseHolderWaitsOutTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift", "other")
		f := startSettledFleet(t, 1, standIn)
		assert.Equal(t, f.request(1, "attempt-1", "/patient/", "rare").status, http.StatusOK)
		first := standIn.receivedOrders()
		last := first[len(first)-1]
		f.kill(strings.TrimPrefix(last.LeaseHolder, "daemon-"))
		go f.request(1, "attempt-2", "/patient/", "other")
		time.Sleep(12 * time.Second)
		all := standIn.receivedOrders()
		assert.Assert(t, len(all) > len(first), "the next lease holder sends orders")
		next := all[len(first)]
		assert.Assert(t, next.LeaseHolder != last.LeaseHolder)
		assert.Assert(t, next.Fence > last.Fence)
		assert.Assert(
			t,
			next.receivedAt.Sub(last.receivedAt) >= 3*time.Second,
			"the lease holder changed within the lease: %s",
			next.receivedAt.Sub(last.receivedAt),
		)
		assert.Assert(t, !standIn.overCapacity, "%+v", all)
	})
}

func TestCluster_FiveMembersTolerateTwoLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		f.machineLoss = 2
		for _, number := range []int{4, 5} {
			f.startCore(coreHost(number), true, 1, 2, 3)
		}
		for number := 1; number <= 3; number++ {
			f.kill(coreHost(number))
			f.startCore(coreHost(number), false, 1, 2, 3)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, f.putConfiguration(5, 0, document(1, "")).status, http.StatusOK)
		f.kill(coreHost(1))
		f.kill(coreHost(2))
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.putConfiguration(4, 1, document(2, newRoute)).status, http.StatusOK, "three of five are a majority")
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, f.request(1, "attempt", "/added/", "swift").status, http.StatusOK)
	})
}
