package lease_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
)

// memoryStore is an in-memory store of one key that never fails.
type memoryStore struct {
	value    json.RawMessage
	releases int
}

func (s *memoryStore) Acquire(_ context.Context, _ string, decide func(keystore.Register) json.RawMessage) (keystore.Register, error) {
	s.value = decide(keystore.Register{Value: s.value})
	return keystore.Register{Value: s.value}, nil
}

func (s *memoryStore) Update(_ context.Context, _ string, decide keystore.ChangeFunc) error {
	value, err := decide(keystore.Register{Value: s.value})
	if err == nil {
		s.value = value
	}
	return err
}

func (s *memoryStore) Renew(context.Context, string) error { return nil }

func (s *memoryStore) Release(context.Context, string) error {
	s.releases++
	return nil
}

// testDaemons creates managers that share a store and a clock.
type testDaemons struct {
	store memoryStore
	now   time.Time
}

func newTestDaemons() *testDaemons {
	return &testDaemons{now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// start returns the manager of a new incarnation of the named daemon.
func (d *testDaemons) start(name, address string) *lease.Manager {
	return &lease.Manager{
		Key:           "k",
		Holder:        name,
		Address:       address,
		TTL:           time.Second,
		TakeoverDelay: time.Minute,
		Store:         &d.store,
		Clock:         func() time.Time { return d.now },
	}
}

func TestManager_RestartedHolderSkipsTakeoverDelayAfterWrite(t *testing.T) {
	daemons := newTestDaemons()
	for step, test := range []struct {
		holder string
		waits  bool
		// writes makes the holder write a reservation as soon as it may act.
		writes bool
	}{
		{holder: "a"},
		{holder: "b", waits: true},
		{holder: "b", waits: true, writes: true},
		{holder: "b"},
	} {
		manager := daemons.start(test.holder, test.holder)
		grant, err := manager.Acquire(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, grant.EffectiveFrom.After(daemons.now), test.waits, "step %d", step)
		if test.writes {
			daemons.now = grant.EffectiveFrom
			assert.NilError(t, manager.Reserve(t.Context(), grant, loadbudget.Reservation{Loads: 1}))
		}
	}
}

func TestManager_SuccessiveGrants(t *testing.T) {
	daemons := newTestDaemons()
	first, other := daemons.start("a", "1"), daemons.start("b", "2")
	steps := []struct {
		name      string
		manager   *lease.Manager
		continues uint64
		waits     time.Duration
		inherits  int
	}{
		{"first grant of the lease", first, 0, 0, 0},
		{"same incarnation", first, 1, 0, 1},
		{"next incarnation", daemons.start("a", "1"), 0, 0, 2},
		{"previous incarnation, which still runs", first, 0, 0, 3},
		{"another daemon", other, 0, time.Minute, 4},
		{"first daemon after another", first, 0, time.Minute, 5},
		{"first daemon during its takeover delay", first, 6, time.Minute - time.Second, 6},
		{"next incarnation, which does not know when the delay began", daemons.start("a", "1"), 0, time.Minute, 7},
		{"same name at another address", daemons.start("a", "3"), 0, time.Minute, 8},
	}
	for index, step := range steps {
		grant, err := step.manager.Acquire(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, grant.ContinuesFence, step.continues, step.name)
		assert.Equal(t, grant.EffectiveFrom.Sub(daemons.now), step.waits, step.name)
		assert.Equal(t, grant.Record.Reserved.Loads, step.inherits, step.name)
		assert.Equal(t, grant.Record.Fence, uint64(index+1))
		assert.NilError(t, step.manager.Reserve(t.Context(), grant, loadbudget.Reservation{Loads: index + 1}))
		daemons.now = daemons.now.Add(time.Second)
	}
	superseded := &lease.Grant{Record: lease.Record{Holder: "a", Address: "1", Fence: 1}}
	err := first.Reserve(t.Context(), superseded, loadbudget.Reservation{Loads: 50})
	assert.ErrorIs(t, err, lease.ErrSuperseded)
	assert.Error(t, err, `lease "k", fence 1: superseded by a later grant`)
}

func TestManager_AcquireRejectsUnreadableRecord(t *testing.T) {
	for name, damaged := range map[string]string{
		"invalid JSON": `{"holder":"a","fence":7`,
		"wrong type":   `{"fence":"seven"}`,
		"no fence":     `{"holder":"a","address":"here"}`,
		"null":         `null`,
	} {
		t.Run(name, func(t *testing.T) {
			daemons := newTestDaemons()
			daemons.store.value = json.RawMessage(damaged)
			_, err := daemons.start("b", "there").Acquire(t.Context())
			assert.ErrorIs(t, err, lease.ErrUnreadableRecord)
			assert.Equal(t, string(daemons.store.value), damaged, "the record with the reservation must not be lost")
			assert.Equal(t, daemons.store.releases, 1, "a release that can decode the record may acquire the lease")
		})
	}
}
