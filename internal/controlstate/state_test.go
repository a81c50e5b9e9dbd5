package controlstate_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/apierror"
	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
)

// memoryStore is an in-memory Store. If interfere is set, it runs once between two decisions on a change, in place of another
// daemon that changes the key.
type memoryStore struct {
	registers map[string]keystore.Register
	interfere func(store *memoryStore)
}

func newMemoryStore() *memoryStore { return &memoryStore{registers: map[string]keystore.Register{}} }

func (s *memoryStore) Read(_ context.Context, name string) (keystore.Register, error) {
	return s.registers[name], nil
}

func (s *memoryStore) ReadCommitted(_ context.Context, name string) (keystore.Register, bool) {
	register, known := s.registers[name]
	return register, known
}

func (s *memoryStore) Change(_ context.Context, name string, decide keystore.ChangeFunc) (keystore.Register, error) {
	value, err := decide(s.registers[name])
	if err == nil && s.interfere != nil {
		interfere := s.interfere
		s.interfere = nil
		interfere(s)
		value, err = decide(s.registers[name])
	}
	if err != nil {
		return s.registers[name], err
	}
	s.set(name, value)
	return s.registers[name], nil
}

func (s *memoryStore) set(name string, value json.RawMessage) {
	s.registers[name] = keystore.Register{Key: name, Sequence: s.registers[name].Sequence + 1, Value: value}
}

func newState(store *memoryStore) *controlstate.State {
	return &controlstate.State{Store: store, Zones: map[string]string{"north": "land"}, Clock: time.Now}
}

func kindOf(err error) apierror.Kind { return apierror.From(err).Kind }

func TestToAPIError(t *testing.T) {
	for _, err := range []error{
		keystore.ErrNoMajority,
		keystore.ErrContended,
		keystore.ErrUncertain,
		errors.Wrap(keystore.ErrUncertain, "x"),
	} {
		t.Run(err.Error(), func(t *testing.T) {
			assert.Equal(t, kindOf(controlstate.ToAPIError(err)).Status(), http.StatusServiceUnavailable)
		})
	}
	assert.NilError(t, controlstate.ToAPIError(nil))
}
