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

type fault func(f *fleet, draw *rand.Rand) (heal func())

func restart(host func(int) string, hosts int, start func(f *fleet, host string)) fault {
	return func(f *fleet, draw *rand.Rand) func() {
		name := host(1 + draw.IntN(hosts))
		f.kill(name)
		time.Sleep(time.Duration(draw.IntN(1500)) * time.Millisecond)
		start(f, name)
		return func() {}
	}
}

func darken(host func(int) string, hosts int) fault {
	return func(f *fleet, draw *rand.Rand) func() {
		name := host(1 + draw.IntN(hosts))
		f.network.blackhole(name, true)
		return func() { f.network.blackhole(name, false) }
	}
}

var troubles = []fault{
	darken(edgeHost, 2), darken(coreHost, 3),
	restart(edgeHost, 2, (*fleet).startEdge),
	restart(coreHost, 3, func(f *fleet, host string) { f.startCore(host, false, 1, 2, 3) }),
	func(f *fleet, draw *rand.Rand) func() {
		edge, core := edgeHost(1+draw.IntN(2)), coreHost(1+draw.IntN(3))
		f.network.partition(edge, core, true)
		return func() { f.network.partition(edge, core, false) }
	},
	func(f *fleet, draw *rand.Rand) func() {
		name, other := coreHost(1), coreHost(2+draw.IntN(2))
		f.network.partition(name, other, true)
		return func() { f.network.partition(name, other, false) }
	},
	func(f *fleet, draw *rand.Rand) func() {
		f.call(http.MethodDelete, coreHost(1+draw.IntN(3))+":8166", "/ferryspar/rehearsal", "", nil)
		return func() {}
	},
	func(f *fleet, _ *rand.Rand) func() {
		f.lose("10.7.2.1", "i-3")
		return func() {}
	},
}

func TestDrill_EndsInTimeUnderRandomFaults(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			draw := rand.New(rand.NewPCG(seed, 3))
			f, stands := startTwoRegions(t, 2)
			request := southDrill
			request.ForMs = 6000
			f.startDrill(1, request)
			until := time.Now().Add(6500 * time.Millisecond)
			work := f.flow([]int{1, 2}, map[string]string{"/patient/": "swift"})
			var heals []func()
			for time.Until(until) > 2*time.Second {
				heals = append(heals, troubles[draw.IntN(len(troubles))](f, draw))
				time.Sleep(time.Duration(draw.IntN(1200)) * time.Millisecond)
			}
			time.Sleep(time.Until(until))
			from := time.Now()
			probes := f.flow([]int{2}, map[string]string{"/quick/": "swift"})
			time.Sleep(time.Second)
			probes.end()
			reached := runsSince(stands["i-2"], from)["/quick/swift"]
			served := 0
			for _, got := range probes.replies {
				if got.status == http.StatusOK && !got.cut {
					served++
				}
			}
			assert.Assert(t, served == 0 || reached > 0, "seed %d: %d served, none where the drill was", seed, served)
			for _, heal := range heals {
				heal()
			}
			time.Sleep(12 * time.Second)
			last := f.drillState(2, http.MethodGet)
			assert.Assert(t, !last.Running && last.EndReason != "", "seed %d: %+v", seed, last)
			again := f.startDrill(3, request)
			assert.Assert(t, again.Number > last.Number)
			time.Sleep(300 * time.Millisecond)
			assert.Equal(t, f.drillState(1, http.MethodDelete).EndReason, drill.EndedByOperator, "seed %d", seed)
			work.end()
			work.onceEach(t, stands, fmt.Sprint("seed ", seed))
		})
	}
}

func (r *traffic) onceEach(t *testing.T, stands map[string]*standInReplica, name string) {
	begun := map[string]int{}
	for _, stand := range stands {
		for _, run := range stand.executed() {
			if run.lastEvent == "" {
				begun[run.attempt]++
			}
		}
	}
	for attempt, got := range r.replies {
		if got.status == http.StatusOK && !got.cut {
			assert.Equal(t, got.body, allEvents(), "%s %s", name, attempt)
			assert.Equal(t, begun[attempt], 1, "%s %s", name, attempt)
		}
	}
}
