package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
)

// capacityOrder is the body of a call that orders replicas.
type capacityOrder struct {
	Backend      string `json:"backend"`
	Zone         string `json:"zone"`
	DesiredCount int    `json:"desiredCount"`
}

// startCapacityFleet starts a fleet that may order from one to five replicas in each zone.
func startCapacityFleet(t *testing.T) *fleet {
	f := startFleetOf(t, 0, 1, 0,
		newStandInReplica("i-1", "10.1.2.1", "north", "swift"), newStandInReplica("i-2", "10.2.2.1", "south", "swift"))
	f.adjustSettings = func(settings *nodesettings.Settings) {
		settings.CloudAPI.Duties = []string{nodesettings.DutyAutoscale}
		settings.CloudAPI.DutyPerS = 50
	}
	f.cores = 3
	for number := 1; number <= f.cores; number++ {
		f.startCore(coreHost(number), true, 1, 2, 3)
	}
	f.startEdge(edgeHost(1))
	time.Sleep(3 * time.Second)
	scaled := strings.Replace(document(1, ""), `"runtime":`,
		`"autoscale":{"minReplicas":1,"maxReplicas":5,"bootTimeS":2},"runtime":`, 1)
	assert.Equal(t, f.putConfiguration(1, 0, scaled).status, http.StatusOK)
	time.Sleep(6 * time.Second)
	return f
}

// lastOrdered returns the last ordered number of replicas of each zone.
func (f *fleet) lastOrdered() map[string]int {
	latest := map[string]int{}
	for _, call := range f.platform.accepted(discovery.PathCapacity) {
		var order capacityOrder
		assert.NilError(f.t, json.Unmarshal([]byte(call.body), &order))
		latest[order.Zone] = order.DesiredCount
	}
	return latest
}

// overloadInterval is the time between two requests of overload: far more than two replicas can serve.
const overloadInterval = 4 * time.Millisecond

// overload sends requests for the duration, so that many wait at the same time.
func (f *fleet) overload(duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(overloadInterval) {
		attempt := fmt.Sprint("busy-", time.Now().UnixNano())
		go f.request(1, attempt, "/quick/", "swift")
	}
}

func TestCapacity_OrderedOnDemandByOneNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCapacityFleet(t)
		assert.Equal(t, len(f.platform.accepted(discovery.PathCapacity)), 0, "no order is sent at rest")
		f.overload(15 * time.Second)
		ordered := f.lastOrdered()
		assert.Assert(t, ordered["north"] > 1 || ordered["south"] > 1, "%v", ordered)
		calls := f.platform.accepted(discovery.PathCapacity)
		for _, call := range calls {
			assert.Equal(t, call.holder, calls[0].holder)
		}
	})
}

func TestCapacity_LastOrderRepeatedAfterUnansweredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCapacityFleet(t)
		f.platform.update(func(p *standInPlatform) { p.dropAnswers = true })
		f.overload(8 * time.Second)
		f.platform.update(func(p *standInPlatform) { p.dropAnswers = false })
		unanswered := f.lastOrdered()
		uncertain := len(f.platform.accepted(discovery.PathCapacity))
		assert.Assert(t, uncertain > 0)
		f.overload(5 * time.Second)
		time.Sleep(16 * time.Second)
		repeated := map[string]int{}
		calls := f.platform.accepted(discovery.PathCapacity)
		for _, call := range calls[uncertain:] {
			var order capacityOrder
			assert.NilError(t, json.Unmarshal([]byte(call.body), &order))
			repeated[order.Zone]++
		}
		for zone := range unanswered {
			assert.Assert(t, repeated[zone] >= 2, "each order is acknowledged, and repeated once no earlier call can be late: %v", repeated)
		}
	})
}

func TestCapacity_RestartOfAllMembersOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCapacityFleet(t)
		f.restartCores(f.kill, 1, 2, 3)
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(f.platform.accepted(discovery.PathCapacity)), 0)
	})
}
