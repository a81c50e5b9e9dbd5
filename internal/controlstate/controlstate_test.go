package controlstate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/apierror"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
)

// memoryStore is a register that one daemon owns; interfere stands in for another daemon that
// changes the key between two looks of a decision.
type memoryStore struct {
	registers map[string]keystore.Register
	interfere func(store *memoryStore)
}

func newMemoryStore() *memoryStore { return &memoryStore{registers: map[string]keystore.Register{}} }

func (m *memoryStore) Read(_ context.Context, name string) (keystore.Register, error) {
	return m.registers[name], nil
}

func (m *memoryStore) Change(_ context.Context, name string, decide keystore.Decide) (keystore.Register, error) {
	value, err := decide(m.registers[name])
	if err == nil && m.interfere != nil {
		interfere := m.interfere
		m.interfere = nil
		interfere(m)
		value, err = decide(m.registers[name])
	}
	if err != nil {
		return m.registers[name], err
	}
	m.set(name, value)
	return m.registers[name], nil
}

func (m *memoryStore) set(name string, value json.RawMessage) {
	m.registers[name] = keystore.Register{Key: name, Sequence: m.registers[name].Sequence + 1, Value: value}
}

func stateOver(store *memoryStore) *controlstate.State {
	return &controlstate.State{Store: store, Zones: map[string]string{"north": "land"}, Clock: time.Now}
}

func document(revision int, timeout int) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"routeTable":[{"name":"one","hostname":"shop.example","pathPrefix":"/one/","routeType":"idempotent",`+
		`"timeoutMs":%d,"targetLatencyMs":600,"backend":"scribes","retryCount":1}],"backends":[{"name":"scribes","healthPath":"/healthz"}]}`, revision, timeout)
}

func kindOf(err error) apierror.Kind { return apierror.From(err).Kind }

func put(state *controlstate.State, baseRevision, revision, timeout int) error {
	_, err := state.Replace(context.Background(), int64(baseRevision), http.MethodPut, document(revision, timeout))
	return err
}

func TestState_ReplaceAppliesOneOfTwoChangesOfARevision(t *testing.T) {
	state := stateOver(newMemoryStore())
	assert.NilError(t, put(state, 0, 1, 100))
	assert.NilError(t, put(state, 1, 2, 200))
	assert.Equal(t, kindOf(put(state, 1, 2, 300)), apierror.VersionConflict)
	assert.NilError(t, put(state, 1, 2, 200), "the one that was taken is acknowledged again")
}

func TestState_ReplaceRejectsSecondInitialConfiguration(t *testing.T) {
	state := stateOver(newMemoryStore())
	assert.NilError(t, put(state, 0, 1, 100))
	assert.Equal(t, kindOf(put(state, 0, 1, 200)), apierror.VersionConflict)
	assert.NilError(t, put(state, 1, 2, 300))
	assert.Equal(t, kindOf(put(state, 0, 1, 200)), apierror.VersionConflict)
	assert.NilError(t, put(state, 0, 1, 100), "the one that was taken is acknowledged again")
}

func TestState_ReplaceLeavesForgottenFirstCallOpen(t *testing.T) {
	state := stateOver(newMemoryStore())
	for revision := 1; revision <= 513; revision++ {
		assert.NilError(t, put(state, revision-1, revision, revision))
	}
	assert.Equal(t, kindOf(put(state, 0, 1, 1)), apierror.CallTooOld)
	assert.NilError(t, put(state, 1, 2, 2))
}

func TestState_ReplaceNeverRejectsAnAppliedCall(t *testing.T) {
	const changes = 1000
	state := stateOver(newMemoryStore())
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
	assert.Equal(t, kindOf(put(state, 3*(changes-1), 3*changes, 7)), apierror.VersionConflict, "another change under the newest number")
}

func TestState_AppliedCallsStaySmall(t *testing.T) {
	store := newMemoryStore()
	state := stateOver(store)
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
	state := stateOver(store)
	assert.Equal(t, kindOf(put(state, 5, 9, 100)), apierror.CallTooOld)
	assert.NilError(t, put(state, 9, 10, 100))
}

func drain(state *controlstate.State, drained bool, deadline time.Time) error {
	_, err := state.DrainZone(context.Background(), "north", drained, deadline)
	return err
}

func TestState_DrainZoneIgnoresLateCopy(t *testing.T) {
	state := stateOver(newMemoryStore())
	soon, gone := time.Now().Add(time.Minute), time.Now().Add(-time.Millisecond)
	assert.NilError(t, drain(state, true, soon))
	assert.NilError(t, drain(state, false, soon))
	assert.Equal(t, kindOf(drain(state, true, gone)), apierror.CallExpired)
	assert.NilError(t, drain(state, false, gone), "what is so already is acknowledged")
}

func TestState_DrainZoneYieldsToConcurrentChange(t *testing.T) {
	store := newMemoryStore()
	state := stateOver(store)
	soon := time.Now().Add(time.Minute)
	assert.NilError(t, drain(state, true, soon))
	store.interfere = func(store *memoryStore) {
		store.set(keystore.ZonePrefix+"north", json.RawMessage(`{"number":2,"drained":false}`))
		store.set(keystore.ZonePrefix+"north", json.RawMessage(`{"number":3,"drained":true}`))
	}
	assert.Equal(t, kindOf(drain(state, false, soon)), apierror.CallExpired)
}

func TestTranslate(t *testing.T) {
	for _, err := range []error{keystore.ErrNoMajority, keystore.ErrContended, keystore.ErrUncertain, errors.Wrap(keystore.ErrUncertain, "x")} {
		assert.Equal(t, kindOf(controlstate.Translate(err)).Status(), http.StatusServiceUnavailable)
	}
	assert.NilError(t, controlstate.Translate(nil))
}
