package integration

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestConfiguration_DataPlanesFollowByDifferences changes routes one after the other while one data plane is partitioned, then
// restarts all control planes and changes more, and expects every data plane to serve the configuration in force.
func TestConfiguration_DataPlanesFollowByDifferences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSettledFleet(t, 3, newStandInReplica("i-1", "10.1.2.1", "north", "swift"))
		o := newOperators(f, 1, 1, 2, 3)
		version := 1
		send := func(change operatorChange) {
			t.Helper()
			assert.Equal(t, o.send(change, 8*time.Second), acknowledged)
			version++
		}
		for number := range 5 {
			send(addRoute(version, version+1, fmt.Sprint("kept-", number)))
		}
		for member := 1; member <= 3; member++ {
			f.network.partition(edgeHost(2), coreHost(member), true)
		}
		for number := range 80 {
			send(addRoute(version, version+1, fmt.Sprint("storm-", number)))
		}
		for member := 1; member <= 3; member++ {
			f.network.partition(edgeHost(2), coreHost(member), false)
			f.kill(coreHost(member))
		}
		time.Sleep(time.Second)
		for member := 1; member <= 3; member++ {
			f.startCore(coreHost(member), false, 1, 2, 3)
		}
		time.Sleep(5 * time.Second)
		for number := range 10 {
			send(replaceRoute(version, version+1, fmt.Sprint("late-", number), fmt.Sprint("storm-", number)))
		}
		time.Sleep(2 * time.Second)
		for edge := 1; edge <= 3; edge++ {
			for path, status := range map[string]int{
				"/kept-4/":   http.StatusOK,
				"/storm-79/": http.StatusOK,
				"/late-9/":   http.StatusOK,
				"/storm-9/":  http.StatusNotFound,
			} {
				got := f.request(edge, fmt.Sprint(edge, path), path, "swift")
				assert.Equal(t, got.status, status, "data plane %d, %s", edge, path)
			}
		}
	})
}
