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
)

// coordinationReply is the body of any answer to an application.
type coordinationReply struct {
	FenceToken uint64
	Value      json.RawMessage
	EntityTag  uint64
	Events     []struct {
		Name, Value string
		EntityTag   uint64
	}
}

// coordinate sends a call of an application to one control plane after the other, beginning with the numbered one, until the
// answer is definite.
func (f *fleet) coordinate(core int, method, path, body string) (reply, coordinationReply) {
	f.t.Helper()
	for attempt := range 40 {
		got := f.call(method, coreHost(1+(core-1+attempt)%f.cores)+":8166", "/ferryspar/"+path, body, nil)
		if got.broken || got.status >= 500 || got.status == http.StatusTooManyRequests {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var decoded coordinationReply
		assert.NilError(f.t, json.Unmarshal([]byte(got.body), &decoded), got.body)
		return got, decoded
	}
	f.t.Fatalf("%s %s is never answered", method, path)
	return reply{}, coordinationReply{}
}

func lockBody(holder string, fence uint64, holdMs int) string {
	return fmt.Sprintf(`{"leaseHolder":%q,"fenceToken":%d,"queueHoldMs":%d}`, holder, fence, holdMs)
}

func (f *fleet) drawNumber(core int) uint64 {
	_, drawn := f.coordinate(core, http.MethodPost, "numbers/n", "{}")
	var value uint64
	assert.NilError(f.t, json.Unmarshal(drawn.Value, &value))
	return value
}

func TestCoordination_CallsAreAnsweredAtEveryControlPlane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 0)
		got, taken := f.coordinate(1, http.MethodPost, "locks/l1", lockBody("a", 0, 3000))
		assert.Equal(t, got.status, http.StatusOK)
		got, _ = f.coordinate(2, http.MethodPost, "locks/l1", lockBody("b", 0, 3000))
		assert.Equal(t, got.status, http.StatusConflict)
		got, _ = f.coordinate(3, http.MethodPut, "locks/l1", lockBody("a", taken.FenceToken, 3000))
		assert.Equal(t, got.status, http.StatusOK)
		got, _ = f.coordinate(1, http.MethodDelete, "locks/l1", lockBody("a", taken.FenceToken, 0))
		assert.Equal(t, got.status, http.StatusOK)
		got, next := f.coordinate(2, http.MethodPost, "locks/l1", lockBody("b", 0, 3000))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, next.FenceToken > taken.FenceToken)
		got, _ = f.coordinate(1, http.MethodPut, "locks/l1", lockBody("a", taken.FenceToken, 3000))
		assert.Equal(t, got.status, http.StatusConflict)
		last := uint64(0)
		for core := 1; core <= 3; core++ {
			number := f.drawNumber(core)
			assert.Assert(t, number > last)
			last = number
		}
		got, _ = f.coordinate(1, http.MethodGet, "cells/g.k", "")
		assert.Equal(t, got.status, http.StatusNotFound)
		got, put := f.coordinate(2, http.MethodPut, "cells/g.k", `{"value":"one","expectedCount":0}`)
		assert.Equal(t, got.status, http.StatusOK)
		got, again := f.coordinate(3, http.MethodPut, "cells/g.k", `{"value":"one","expectedCount":0}`)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, again.EntityTag, put.EntityTag)
		got, conflict := f.coordinate(3, http.MethodPut, "cells/g.k", `{"value":"two","expectedCount":0}`)
		assert.Equal(t, got.status, http.StatusPreconditionFailed)
		assert.Equal(t, conflict.EntityTag, put.EntityTag)
		got, read := f.coordinate(1, http.MethodGet, "cells/g.k", "")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, string(read.Value), `"one"`)
	})
}

func TestCoordination_WatchGetsPutsAtOnceFromAnyControlPlane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 0)
		f.coordinate(1, http.MethodPut, "cells/g.k", `{"value":"one"}`)
		_, present := f.coordinate(1, http.MethodGet, "watch/g.?after=0&waitMs=2000", "")
		assert.Equal(t, present.EntityTag, uint64(1))
		for core := 1; core <= 3; core++ {
			began := time.Now()
			go func() {
				time.Sleep(1300 * time.Millisecond)
				f.coordinate(1, http.MethodPut, "cells/g.other", fmt.Sprintf(`{"value":"v%d"}`, core))
			}()
			_, seen := f.coordinate(core, http.MethodGet, fmt.Sprintf("watch/g.?after=%d&waitMs=2000", core), "")
			assert.Equal(t, len(seen.Events), 1)
			assert.Equal(t, seen.Events[0].Name, "g.other")
			assert.Equal(t, seen.EntityTag, uint64(core+1))
			took := time.Since(began)
			assert.Assert(t, took >= 1300*time.Millisecond && took < 1500*time.Millisecond, "%s", took)
		}
		began := time.Now()
		_, none := f.coordinate(2, http.MethodGet, "watch/g.?after=4&waitMs=2000", "")
		assert.Equal(t, len(none.Events), 0)
		assert.Equal(t, none.EntityTag, uint64(4))
		assert.Equal(t, time.Since(began).Round(100*time.Millisecond), 2*time.Second)
	})
}

func TestCoordination_BadCallsGetClearErrorsAndChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 0)
		f.coordinate(1, http.MethodPost, "numbers/n", "{}")
		for _, call := range [][3]string{
			{http.MethodPost, "locks/l", `{"leaseHolder":"a"}`},
			{http.MethodPost, "locks/l", `{"queueHoldMs":100}`},
			{http.MethodPost, "locks/l", `{"leaseHolder":"a","queueHoldMs":-4}`},
			{http.MethodPost, "locks/l", `{"leaseHolder":"a","queueHoldMs":99999999}`},
			{http.MethodPost, "locks/l", `[`},
			{http.MethodPut, "locks/l", `{"leaseHolder":"a","queueHoldMs":100}`},
			{http.MethodDelete, "locks/l", `{"leaseHolder":"a"}`},
			{http.MethodPost, "locks/a%2Fb", lockBody("a", 0, 100)},
			{http.MethodPut, "cells/g.k", `{}`},
			{http.MethodPut, "cells/g.k", `{"value":3}`},
			{http.MethodPut, "cells/g.k", `{"value":"v","expectedCount":-1}`},
			{http.MethodGet, "watch/g.k?after=0", ""},
			{http.MethodGet, "watch/g.?after=x", ""},
			{http.MethodGet, "watch/g.?after=1&waitMs=x", ""},
		} {
			got := f.call(call[0], coreHost(1)+":8166", "/ferryspar/"+call[1], call[2], nil)
			assert.Equal(t, got.status, http.StatusBadRequest, "%v: %s", call, got.body)
		}
		got := f.call(http.MethodPatch, coreHost(1)+":8166", "/ferryspar/locks/l", "{}", nil)
		assert.Equal(t, got.status, http.StatusMethodNotAllowed)
		got, _ = f.coordinate(1, http.MethodGet, "cells/g.k", "")
		assert.Equal(t, got.status, http.StatusNotFound)
	})
}

// coordinationState is what applications were given before a fault.
type coordinationState struct {
	fence, number, revision uint64
}

func (f *fleet) useCoordination(core int) coordinationState {
	_, taken := f.coordinate(core, http.MethodPost, "locks/l", lockBody("a", 0, 2000))
	f.coordinate(core, http.MethodPut, "cells/g.first", `{"value":"one"}`)
	_, put := f.coordinate(core, http.MethodPut, "cells/g.k", fmt.Sprintf(`{"value":"v%d"}`, time.Now().UnixNano()))
	return coordinationState{fence: taken.FenceToken, number: f.drawNumber(core), revision: put.EntityTag}
}

// checkCoordination expects that fences, numbers and revisions do not go back, and that the holder still has its lock.
func (f *fleet) checkCoordination(core int, before coordinationState) {
	f.t.Helper()
	got, _ := f.coordinate(core, http.MethodPut, "locks/l", lockBody("a", before.fence, 2000))
	assert.Equal(f.t, got.status, http.StatusOK, "the holder keeps its lock")
	got, _ = f.coordinate(core, http.MethodPost, "locks/l", lockBody("b", 0, 100))
	assert.Equal(f.t, got.status, http.StatusConflict)
	assert.Assert(f.t, f.drawNumber(core) > before.number)
	_, read := f.coordinate(core, http.MethodGet, "cells/g.k", "")
	assert.Equal(f.t, read.EntityTag, before.revision)
	_, put := f.coordinate(core, http.MethodPut, "cells/g.other", fmt.Sprintf(`{"value":"w%d"}`, time.Now().UnixNano()))
	assert.Assert(f.t, put.EntityTag > before.revision)
	got, seen := f.coordinate(core, http.MethodGet, fmt.Sprintf("watch/g.?after=%d&waitMs=2000", before.revision-1), "")
	assert.Equal(f.t, got.status, http.StatusOK)
	assert.Equal(f.t, seen.Events[0].EntityTag, before.revision, "a watch continues after its last revision")
	time.Sleep(2500 * time.Millisecond)
	got, next := f.coordinate(core, http.MethodPost, "locks/l", lockBody("b", 0, 100))
	assert.Equal(f.t, got.status, http.StatusOK, "the lock is free soon after its time")
	assert.Assert(f.t, next.FenceToken > before.fence)
	got, _ = f.coordinate(core, http.MethodDelete, "locks/l", lockBody("b", next.FenceToken, 0))
	assert.Equal(f.t, got.status, http.StatusOK)
}

// restartCores stops control planes and starts them again.
func (f *fleet) restartCores(stop func(host string), numbers ...int) {
	for _, number := range numbers {
		stop(coreHost(number))
	}
	time.Sleep(200 * time.Millisecond)
	for _, number := range numbers {
		f.startCore(coreHost(number), false, 1, 2, 3)
	}
}

// coreFaults are the faults that the state of applications must survive, in a control plane of five members.
var coreFaults = map[string]func(f *fleet){
	"all processes are killed": func(f *fleet) { f.restartCores(f.kill, 1, 2, 3, 4, 5) },
	"all machines lose power": func(f *fleet) {
		f.restartCores(func(host string) {
			f.kill(host)
			f.losePower(host)
		}, 1, 2, 3, 4, 5)
	},
	"two disks are lost": func(f *fleet) {
		f.restartCores(func(host string) {
			f.kill(host)
			f.wipe(host)
		}, 2, 4)
	},
	"two machines stay down": func(f *fleet) {
		f.kill(coreHost(1))
		f.kill(coreHost(5))
	},
	"one ends in order": func(f *fleet) { f.terminate(coreHost(3)) },
	"one is cut off from the others": func(f *fleet) {
		for number := 2; number <= 5; number++ {
			f.network.partition(coreHost(1), coreHost(number), true)
		}
	},
	"two cannot reach each other": func(f *fleet) { f.network.partition(coreHost(1), coreHost(2), true) },
}

func TestCoordination_SurvivesFaultsAfterAcknowledgement(t *testing.T) {
	for name, inject := range coreFaults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetOf(t, 5, 2, 0)
				time.Sleep(8 * time.Second) // until the fourth and the fifth member have joined
				for core := 1; core <= 5; core++ {
					before := f.useCoordination(core)
					if core == 3 {
						inject(f)
					}
					f.checkCoordination(1+core%5, before)
				}
			})
		})
	}
}

func TestCoordination_FrozenOwnerIsReplacedAndHarmlessAfterThaw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 0)
		before := f.useCoordination(1)
		for core := 1; core <= 3; core++ {
			f.network.freeze(coreHost(core), true)
			began := time.Now()
			other := 1 + core%3
			f.checkCoordination(other, before)
			assert.Assert(t, time.Since(began) < 8*time.Second, "%s", time.Since(began))
			f.network.freeze(coreHost(core), false)
			time.Sleep(3 * time.Second)
			before = f.useCoordination(core)
		}
	})
}

func TestCoordination_OperatorsSeeItemsAndFreeLocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 0)
		before := f.useCoordination(1)
		for core := 1; core <= 3; core++ {
			list := f.call(http.MethodGet, coreHost(core)+":8166", "/ferryspar/coordination", "", nil)
			assert.Equal(t, list.status, http.StatusOK)
			for _, name := range []string{`"kind":"lock","name":"l"`, `"kind":"number","name":"n"`, `"kind":"group","name":"g."`} {
				assert.Assert(t, strings.Contains(list.body, name), list.body)
			}
			held := f.call(http.MethodGet, coreHost(core)+":8166", "/ferryspar/coordination/lock/l", "", nil)
			assert.Assert(t, strings.Contains(held.body, `"holder":"a"`), held.body)
		}
		unknown := f.call(http.MethodGet, coreHost(1)+":8166", "/ferryspar/coordination/thing/l", "", nil)
		assert.Equal(t, unknown.status, http.StatusNotFound)
		got, freed := f.coordinate(2, http.MethodDelete, "coordination/lock/l", "")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, freed.FenceToken > before.fence)
		got, next := f.coordinate(3, http.MethodPost, "locks/l", lockBody("b", 0, 2000))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, next.FenceToken > freed.FenceToken)
		got, _ = f.coordinate(1, http.MethodPut, "locks/l", lockBody("a", before.fence, 2000))
		assert.Equal(t, got.status, http.StatusConflict)
	})
}
