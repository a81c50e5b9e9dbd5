package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/drill"
)

type clusterFault func(f *fleet, rng *rand.Rand) (heal func())

func restartFault(host func(int) string, hosts int, start func(f *fleet, host string)) clusterFault {
	return func(f *fleet, rng *rand.Rand) func() {
		name := host(1 + rng.IntN(hosts))
		f.kill(name)
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		start(f, name)
		return func() {}
	}
}

func blackholeFault(host func(int) string, hosts int) clusterFault {
	return func(f *fleet, rng *rand.Rand) func() {
		name := host(1 + rng.IntN(hosts))
		f.network.blackhole(name, true)
		return func() { f.network.blackhole(name, false) }
	}
}

var clusterFaults = []clusterFault{
	blackholeFault(edgeHost, 2), blackholeFault(coreHost, 3),
	restartFault(edgeHost, 2, (*fleet).startEdge),
	restartFault(coreHost, 3, func(f *fleet, host string) { f.startCore(host, false, 1, 2, 3) }),
	func(f *fleet, rng *rand.Rand) func() {
		edge, core := edgeHost(1+rng.IntN(2)), coreHost(1+rng.IntN(3))
		f.network.partition(edge, core, true)
		return func() { f.network.partition(edge, core, false) }
	},
	func(f *fleet, rng *rand.Rand) func() {
		name, other := coreHost(1), coreHost(2+rng.IntN(2))
		f.network.partition(name, other, true)
		return func() { f.network.partition(name, other, false) }
	},
	func(f *fleet, rng *rand.Rand) func() {
		f.call(http.MethodDelete, coreHost(1+rng.IntN(3))+":8166", "/ferryspar/rehearsal", "", nil)
		return func() {}
	},
	func(f *fleet, _ *rand.Rand) func() {
		f.loseReplicas("10.7.2.1", "i-3")
		return func() {}
	},
}

func TestDrill_EndsInTimeUnderRandomFaults(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			f, replicas := startTwoRegionFleet(t, 2)
			request := southDrill
			request.DurationMs = 6000
			f.startDrill(1, request)
			until := time.Now().Add(6500 * time.Millisecond)
			work := f.startTraffic([]int{1, 2}, map[string]string{"/patient/": "swift"})
			var heals []func()
			for time.Until(until) > 2*time.Second {
				heals = append(heals, clusterFaults[rng.IntN(len(clusterFaults))](f, rng))
				time.Sleep(time.Duration(rng.IntN(1200)) * time.Millisecond)
			}
			time.Sleep(time.Until(until))
			from := time.Now()
			probes := f.startTraffic([]int{2}, map[string]string{"/quick/": "swift"})
			time.Sleep(time.Second)
			probes.close()
			reached := runsSince(replicas["i-2"], from)["/quick/swift"]
			served := 0
			for _, got := range probes.replies {
				if got.status == http.StatusOK && !got.broken {
					served++
				}
			}
			assert.Assert(t, served == 0 || reached > 0, "seed %d: %d served, none in the drilled zone", seed, served)
			for _, heal := range heals {
				heal()
			}
			time.Sleep(12 * time.Second)
			last := f.drillStatus(2, http.MethodGet)
			assert.Assert(t, !last.Running && last.EndReason != "", "seed %d: %+v", seed, last)
			again := f.startDrill(3, request)
			assert.Assert(t, again.Number > last.Number)
			time.Sleep(300 * time.Millisecond)
			assert.Equal(t, f.drillStatus(1, http.MethodDelete).EndReason, drill.EndedByOperator, "seed %d", seed)
			work.close()
			work.checkRanOnce(t, replicas, fmt.Sprint("seed ", seed))
		})
	}
}
