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

// A configuration of 1,500 routes was changed by operators while the control planes had 0.4 of a core each. Every call
// read, checked and packed the whole document, and did so twice: before it knew whether it owned the key, and after. That
// took longer than the second for which an operator waits ("duration_ms":1115, "caller_waits":false, "outcome of the write
// not known"); the call was then sent to the next control plane, which did the same and preempted the first
// ("prepares":3, "preempted":2), until no member answered the change in time. So what is held here is that a change costs
// what it changes.

// documentOfRoutes is a configuration with so many routes.
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

// patchAllocations is how much a patch of one route allocates, as the mean of some, on a configuration of so many routes.
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

func TestState_PatchCostsWhatItChanges(t *testing.T) {
	few, many := patchAllocations(t, newMemoryStore(), 150), patchAllocations(t, newMemoryStore(), 1500)
	assert.Assert(t, many <= 1.5*few, "a patch of one route allocates %.0f times among 150 routes, %.0f times among 1500", few, many)
}

// decidingTwice is a store that has a change decided on the committed value, takes the key and has it decided once more.
type decidingTwice struct{ *memoryStore }

func (s decidingTwice) Change(ctx context.Context, name string, decide keystore.ChangeFunc) (keystore.Register, error) {
	if _, err := decide(s.registers[name]); err != nil {
		return s.registers[name], err
	}
	return s.memoryStore.Change(ctx, name, decide)
}

func TestState_SecondDecisionOnTheSameValueCostsLittle(t *testing.T) {
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
