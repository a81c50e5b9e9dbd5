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

func routeNamed(name string) string { return strings.ReplaceAll(newRoute, "added", name) }

func TestConfiguration_RapidChangesConvergeAndNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(
			t,
			3,
			newStandInReplica("i-1", "10.1.2.1", "north", "swift"),
			newStandInReplica("i-2", "10.2.2.1", "south", "swift"),
		)
		for revision := 2; revision <= 16; revision++ {
			patch := fmt.Sprintf(
				`{"revision":%d,"upsert":{"routeTable":[%s]}}`,
				revision,
				routeNamed(fmt.Sprintf("storm-%d", revision))[1:],
			)
			got := f.call(
				http.MethodPatch,
				coreHost(1+revision%3)+":8166",
				"/ferryspar/config",
				patch,
				map[string]string{"If-Match": fmt.Sprint(revision - 1)},
			)
			assert.Equal(t, got.status, http.StatusOK, "revision %d", revision)
			time.Sleep(150 * time.Millisecond)
			for edge := 1; edge <= 3; edge++ {
				path := fmt.Sprintf("/storm-%d/", revision-1)
				if revision > 2 {
					assert.Equal(
						t,
						f.request(edge, "attempt", path, "swift").status,
						http.StatusOK,
						"edge %d goes back at %d",
						edge,
						revision,
					)
				}
			}
		}
		time.Sleep(time.Second)
		for edge := 1; edge <= 3; edge++ {
			assert.Equal(t, f.request(edge, "attempt", "/storm-16/", "swift").status, http.StatusOK)
		}
	})
}

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
				assert.Assert(t, got.status >= 500 || got.cut, "round %d: %d %s", round, got.status, got.body)
				assert.Assert(t, attempt < 11, "round %d is never taken", round)
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
