package controlstate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/apierror"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
)

// newDocument returns a configuration with the given revision and one route with the given timeout.
func newDocument(revision, timeoutMs int) []byte {
	return fmt.Appendf(nil, `{
		"revision": %d,
		"routeTable": [{
			"name": "one",
			"hostname": "shop.example",
			"pathPrefix": "/one/",
			"routeType": "idempotent",
			"timeoutMs": %d,
			"targetLatencyMs": 600,
			"backend": "scribes",
			"retryCount": 1
		}],
		"backends": [{"name": "scribes", "healthPath": "/healthz"}]
	}`, revision, timeoutMs)
}

func put(state *controlstate.State, baseRevision, revision, timeoutMs int) error {
	_, err := state.Replace(context.Background(), int64(baseRevision), http.MethodPut, newDocument(revision, timeoutMs))
	return err
}

func TestState_ReplaceAppliesOneOfTwoChangesToOneRevision(t *testing.T) {
	state := newState(newMemoryStore())
	assert.NilError(t, put(state, 0, 1, 100))
	assert.NilError(t, put(state, 1, 2, 200))
	assert.Equal(t, kindOf(put(state, 1, 2, 300)), apierror.VersionConflict)
	assert.NilError(t, put(state, 1, 2, 200), "the applied call is acknowledged again")
}

func TestState_ReplaceRejectsSecondInitialConfiguration(t *testing.T) {
	state := newState(newMemoryStore())
	assert.NilError(t, put(state, 0, 1, 100))
	assert.Equal(t, kindOf(put(state, 0, 1, 200)), apierror.VersionConflict)
	assert.NilError(t, put(state, 1, 2, 300))
	assert.Equal(t, kindOf(put(state, 0, 1, 200)), apierror.VersionConflict)
	assert.NilError(t, put(state, 0, 1, 100), "the applied call is acknowledged again")
}

func TestState_ReplaceLeavesEvictedFirstCallOpen(t *testing.T) {
	state := newState(newMemoryStore())
	for revision := 1; revision <= 513; revision++ {
		assert.NilError(t, put(state, revision-1, revision, revision))
	}
	assert.Equal(t, kindOf(put(state, 0, 1, 1)), apierror.CallTooOld)
	assert.NilError(t, put(state, 1, 2, 2))
}

func TestState_ReplaceNeverRejectsAnAppliedCall(t *testing.T) {
	const changes = 1000
	state := newState(newMemoryStore())
	for revision := 1; revision <= changes; revision++ {
		assert.NilError(t, put(state, 3*(revision-1), 3*revision, revision))
	}
	acknowledged := 0
	for revision := 1; revision <= changes; revision++ {
		err := put(state, 3*(revision-1), 3*revision, revision)
		if err == nil {
			acknowledged++
			continue
		}
		assert.Equal(t, kindOf(err), apierror.CallTooOld, "change %d", revision)
		assert.Equal(t, kindOf(err).Status(), http.StatusServiceUnavailable)
	}
	assert.Equal(t, acknowledged, 512)
	another := put(state, 3*(changes-1), 3*changes, 7)
	assert.Equal(t, kindOf(another), apierror.VersionConflict, "another change to the previous revision")
}

func TestState_AppliedCallsStaySmall(t *testing.T) {
	store := newMemoryStore()
	state := newState(store)
	for revision := 1; revision <= 1000; revision++ {
		assert.NilError(t, put(state, 7*(revision-1), 7*revision, revision))
	}
	record, err := controlstate.DecodeConfiguration(store.registers[keystore.ConfigurationKey])
	assert.NilError(t, err)
	assert.Assert(t, len(record.AppliedCalls.Entries) <= 512*10, "%d bytes", len(record.AppliedCalls.Entries))
}

func TestState_ReplaceLeavesCallsOfLegacyRecordOpen(t *testing.T) {
	store := newMemoryStore()
	store.set(keystore.ConfigurationKey, json.RawMessage(`{"revision":9,"packed":"","marks":["x"]}`))
	state := newState(store)
	assert.Equal(t, kindOf(put(state, 5, 9, 100)), apierror.CallTooOld)
	assert.NilError(t, put(state, 9, 10, 100))
}
