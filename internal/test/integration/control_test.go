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

const newRoute = `,{"name":"added","hostname":"shop.example","pathPrefix":"/added/","routeType":"streaming",
	"timeoutMs":20000,"targetLatencyMs":600,"priority":1,"backend":"scribes","retryCount":1}`

func TestConfiguration_ConcurrentPutsOnOneVersionHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		answers := make(chan reply, 2)
		go func() { answers <- f.put(1, 1, 2, document(2, "")) }()
		go func() { answers <- f.put(2, 1, 3, document(3, newRoute)) }()
		first, second := <-answers, <-answers
		won := 0
		for _, answer := range []reply{first, second} {
			if answer.status == http.StatusOK {
				won++
			}
		}
		assert.Equal(t, won, 1, "%d and %d", first.status, second.status)
		assert.Equal(
			t,
			f.put(3, 1, 2, document(2, "")).status+f.put(3, 1, 3, document(3, newRoute)).status,
			http.StatusOK+http.StatusPreconditionFailed,
			"a resend is taken, the loser is not",
		)
	})
}

func TestConfiguration_RejectsInvalidDocumentsWithReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1)
		cases := map[string]string{
			strings.Replace(document(2, ""), `"backend":"scribes"`, `"backend":"nobody"`, 1):                                "nobody",
			strings.Replace(document(2, ""), `"timeoutMs":20000`, `"timeoutMs":0`, 1):                                       "timeoutMs",
			strings.Replace(document(2, ""), `/patient/`, `/quick/`, 1):                                                     "pathPrefix",
			strings.Replace(document(2, ""), `"backend":"scribes"`, `"trafficSplit":[{"backend":"scribes","weight":0}]`, 1): "weights",
			document(1, newRoute):                        "revision",
			document(2, "")[:500]:                        "JSON",
			`{"revision":2,"routeTable":[{"name":"x"}]}`: "hostname",
		}
		for body, reason := range cases {
			got := f.put(2, 1, 2, body)
			assert.Assert(t, got.status >= 400 && got.status < 500, "%s: %d", reason, got.status)
			assert.Assert(t, strings.Contains(got.body, reason), "%s: %s", reason, got.body)
		}
		assert.Equal(t, f.put(1, 7, 8, document(8, "")).status, http.StatusPreconditionFailed)
	})
}

func TestConfiguration_PatchReachesDataPlanes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 2, standIn)
		patch := fmt.Sprintf(`{"revision":5,"upsert":{"routeTable":[%s]},"remove":{"routeTable":["patient"]}}`, newRoute[1:])
		got := f.call(http.MethodPatch, coreHost(2)+":8166", "/ferryspar/config", patch, map[string]string{"If-Match": "1"})
		assert.Equal(t, got.status, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
		for edge := 1; edge <= 2; edge++ {
			assert.Equal(t, f.request(edge, "attempt", "/added/x", "swift").status, http.StatusOK)
			assert.Equal(t, f.request(edge, "attempt", "/patient/", "swift").status, http.StatusNotFound)
		}
		read := f.call(http.MethodGet, coreHost(3)+":8166", "/ferryspar/config", "", nil)
		assert.Equal(t, read.status, http.StatusOK)
		assert.Assert(t, strings.Contains(read.body, `"added"`) && strings.Contains(read.body, `"revision":5`))
	})
}

func TestConfiguration_HundredsOfAddedRoutesAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		var extra strings.Builder
		for number := range 350 {
			extra.WriteString(strings.NewReplacer("added", fmt.Sprintf("added-%d", number)).Replace(newRoute))
		}
		assert.Equal(t, f.put(1, 1, 2, document(2, extra.String())).status, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, f.request(1, "attempt", "/added-349/", "swift").status, http.StatusOK)
	})
}

func TestCluster_PartitionedMemberRejectsAndMajorityContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standIn := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
		f := startSettledFleet(t, 1, standIn)
		f.network.partition(coreHost(1), coreHost(2), true)
		f.network.partition(coreHost(1), coreHost(3), true)
		alone := f.put(1, 1, 2, document(2, newRoute))
		assert.Assert(t, alone.status >= 500 || alone.cut, "no majority: %d", alone.status)
		assert.Equal(t, f.put(2, 1, 3, document(3, newRoute)).status, http.StatusOK)
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, f.request(1, "attempt", "/added/", "swift").status, http.StatusOK)
		f.network.partition(coreHost(1), coreHost(2), false)
		f.network.partition(coreHost(1), coreHost(3), false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.put(1, 1, 2, document(2, newRoute)).status, http.StatusPreconditionFailed)
		read := f.call(http.MethodGet, coreHost(1)+":8166", "/ferryspar/config", "", nil)
		assert.Assert(t, strings.Contains(read.body, `"revision":3`), "%d %s", read.status, read.body)
	})
}

func TestCluster_AcknowledgedStateSurvivesKillOfAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		assert.Equal(t, f.put(2, 1, 4, document(4, newRoute)).status, http.StatusOK)
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
		assert.Equal(t, f.put(1, 1, 2, document(2, newRoute)).status, http.StatusOK)
		f.kill(coreHost(1))
		f.wipe(coreHost(1))
		f.startCore(coreHost(1), false, 1, 2, 3)
		time.Sleep(4 * time.Second)
		f.kill(coreHost(2))
		time.Sleep(time.Second)
		assert.Equal(t, f.put(1, 2, 3, document(3, "")).status, http.StatusOK, "the wiped member votes again")
	})
}

func TestCluster_LostMemberReplacedBySpare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		f.kill(coreHost(1))
		f.startCore(coreHost(4), false, 2, 3, 4)
		time.Sleep(6 * time.Second)
		o, told := newOperators(f, 1, 2, 3), uint64(0)
		for number := 2; number <= 4; number++ {
			if change := o.status(coreHost(number)).MembershipChange; change != nil {
				assert.Assert(t, change.Reason != "")
				told = max(told, change.Version)
			}
		}
		assert.Equal(t, told, o.status(coreHost(3)).MembershipVersion, "who committed the last change tells why")
		f.kill(coreHost(2))
		time.Sleep(time.Second)
		assert.Equal(t, f.put(3, 1, 2, document(2, newRoute)).status, http.StatusOK, "the newcomer counts towards the majority")
		assert.Equal(t, f.put(4, 2, 3, document(3, newRoute)).status, http.StatusOK)
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
		assert.Assert(t, len(all) > len(first), "a successor places again")
		next := all[len(first)]
		assert.Assert(t, next.LeaseHolder != last.LeaseHolder)
		assert.Assert(t, next.Fence > last.Fence)
		assert.Assert(t, next.at.Sub(last.at) >= 3*time.Second, "turns within the lease: %s", next.at.Sub(last.at))
		assert.Assert(t, !standIn.overfull, "%+v", all)
	})
}

func TestCluster_FiveMembersTolerateTwoLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 1, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		f.losses = 2
		for _, number := range []int{4, 5} {
			f.startCore(coreHost(number), true, 1, 2, 3)
		}
		for number := 1; number <= 3; number++ {
			f.kill(coreHost(number))
			f.startCore(coreHost(number), false, 1, 2, 3)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, f.put(5, 0, 1, document(1, "")).status, http.StatusOK)
		f.kill(coreHost(1))
		f.kill(coreHost(2))
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.put(4, 1, 2, document(2, newRoute)).status, http.StatusOK, "three of five are a majority")
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, f.request(1, "attempt", "/added/", "swift").status, http.StatusOK)
	})
}
