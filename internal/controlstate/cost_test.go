package controlstate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
)

// These tests check that the cost of a change depends on the size of the change, not of the configuration. With 1,500 routes
// and 0.4 cores per control plane, decoding, checking and compressing the whole document twice per call, before and after
// taking ownership of the key, took longer (1115 ms) than the second that an operator waits. The operator's client then sent
// the call to the next control plane, which preempted the first one (2 of 3 prepares), until no change was decided in time.

// documentOfRoutes returns a configuration with the given number of routes.
func documentOfRoutes(routes int) []byte {
	document := configuration.Configuration{Revision: 1, Backends: []configuration.Backend{{Name: "scribes", HealthPath: "/healthz"}}}
	for number := range routes {
		document.Routes = append(document.Routes, configuration.Route{
			Name:       fmt.Sprintf("route-%d", number),
			Hostname:   "shop.example",
			PathPrefix: fmt.Sprintf("/path-%d/", number),
			RouteType:  configuration.Idempotent,
			TimeoutMs:  1000,
			Backend:    "scribes",
			RetryCount: 1,
		})
	}
	content, _ := json.Marshal(document)
	return content
}

// patchAllocations returns the mean number of allocations of a patch of one route in a configuration with the given number of
// routes.
func patchAllocations(t *testing.T, store controlstate.Store, routes int) float64 {
	state := newState(newMemoryStore())
	state.Store = store
	_, err := state.Replace(context.Background(), 0, http.MethodPut, documentOfRoutes(routes))
	assert.NilError(t, err)
	revision := int64(1)
	patchOnce := func() {
		change := fmt.Appendf(nil, `{"revision":%d,"upsert":{"routeTable":[{"name":"route-3","hostname":"shop.example",
			"pathPrefix":"/path-3/","routeType":"idempotent","timeoutMs":%d,"backend":"scribes","retryCount":1}]}}`,
			revision+1, 1000+revision)
		_, err := state.Patch(context.Background(), revision, http.MethodPatch, change)
		assert.NilError(t, err)
		revision++
	}
	return testing.AllocsPerRun(10, patchOnce)
}

func TestState_PatchCostIsIndependentOfConfigurationSize(t *testing.T) {
	few, many := patchAllocations(t, newMemoryStore(), 150), patchAllocations(t, newMemoryStore(), 1500)
	assert.Assert(t, many <= 1.5*few, "a patch of one route allocates %.0f times among 150 routes, %.0f times among 1500", few, many)
}

// decidingTwice is a store that calls decide twice for each change, as keystore.Store does: on the committed value and again
// once it owns the key.
type decidingTwice struct{ *memoryStore }

func (s decidingTwice) Change(ctx context.Context, name string, decide keystore.ChangeFunc) (keystore.Register, error) {
	if _, err := decide(s.registers[name]); err != nil {
		return s.registers[name], err
	}
	return s.memoryStore.Change(ctx, name, decide)
}

func TestState_SecondDecisionOnSameValueIsCheap(t *testing.T) {
	once, twice := patchAllocations(t, newMemoryStore(), 300), patchAllocations(t, decidingTwice{newMemoryStore()}, 300)
	assert.Assert(t, twice <= 1.2*once, "a patch allocates %.0f times with one decision, %.0f times with two", once, twice)
}

func BenchmarkState_Patch(b *testing.B) {
	for _, routes := range []int{350, 1750, 20000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			state := newState(newMemoryStore())
			_, err := state.Replace(context.Background(), 0, http.MethodPut, documentOfRoutes(routes))
			assert.NilError(b, err)
			b.ReportAllocs()
			revision := int64(1)
			for b.Loop() {
				change := fmt.Appendf(nil, `{"revision":%d,"upsert":{"routeTable":[{"name":"route-3","hostname":"shop.example",
					"pathPrefix":"/path-3/","routeType":"idempotent","timeoutMs":%d,"backend":"scribes","retryCount":1}]}}`,
					revision+1, 1000+revision)
				_, err := state.Patch(context.Background(), revision, http.MethodPatch, change)
				assert.NilError(b, err)
				revision++
			}
		})
	}
}
