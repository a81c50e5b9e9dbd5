package controlstate_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/apierror"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
)

func drain(state *controlstate.State, drained bool, deadline time.Time) error {
	_, err := state.DrainZone(context.Background(), "north", drained, deadline)
	return err
}

func TestState_DrainZoneRejectsDelayedCopy(t *testing.T) {
	state := newState(newMemoryStore())
	soon, past := time.Now().Add(time.Minute), time.Now().Add(-time.Millisecond)
	assert.NilError(t, drain(state, true, soon))
	assert.NilError(t, drain(state, false, soon))
	assert.Equal(t, kindOf(drain(state, true, past)), apierror.CallExpired)
	assert.NilError(t, drain(state, false, past), "a call that changes nothing is acknowledged")
}

func TestState_DrainZoneYieldsToConcurrentChange(t *testing.T) {
	store := newMemoryStore()
	state := newState(store)
	soon := time.Now().Add(time.Minute)
	assert.NilError(t, drain(state, true, soon))
	store.interfere = func(store *memoryStore) {
		store.set(keystore.ZonePrefix+"north", json.RawMessage(`{"number":2,"drained":false}`))
		store.set(keystore.ZonePrefix+"north", json.RawMessage(`{"number":3,"drained":true}`))
	}
	assert.Equal(t, kindOf(drain(state, false, soon)), apierror.CallExpired)
}
