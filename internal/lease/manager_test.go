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

// memoryStore is a store of one key without faults.
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

// testDaemons makes managers that share a store and a clock.
type testDaemons struct {
	store memoryStore
	now   time.Time
}

func newTestDaemons() *testDaemons {
	return &testDaemons{now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
}

// start returns the manager of a new incarnation of a daemon.
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

func TestManager_RestartNeedNotWaitAfterWrite(t *testing.T) {
	daemons := newTestDaemons()
	for step, test := range []struct {
		holder string
		waits  bool
		// writes has the holder write a reservation once it may act.
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
		{"the very first", first, 0, 0, 0},
		{"the same incarnation", first, 1, 0, 1},
		{"the next incarnation", daemons.start("a", "1"), 0, 0, 2},
		{"the incarnation before, taken for dead", first, 0, 0, 3},
		{"another daemon", other, 0, time.Minute, 4},
		{"the first once more", first, 0, time.Minute, 5},
		{"the first again, which hasn't waited to the end", first, 6, time.Minute - time.Second, 6},
		{"its next incarnation, which doesn't know since when", daemons.start("a", "1"), 0, time.Minute, 7},
		{"the same name at another address", daemons.start("a", "3"), 0, time.Minute, 8},
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
	past := &lease.Grant{Record: lease.Record{Holder: "a", Address: "1", Fence: 1}}
	err := first.Reserve(t.Context(), past, loadbudget.Reservation{Loads: 50})
	assert.ErrorIs(t, err, lease.ErrSuperseded)
	assert.Error(t, err, `lease "k", fence 1: superseded by a later grant`)
}

func TestManager_RefusesRecordThatCannotBeRead(t *testing.T) {
	for name, damaged := range map[string]string{
		"no JSON":         `{"holder":"a","fence":7`,
		"another type":    `{"fence":"seven"}`,
		"without a fence": `{"holder":"a","address":"here"}`,
		"null":            `null`,
	} {
		t.Run(name, func(t *testing.T) {
			daemons := newTestDaemons()
			daemons.store.value = json.RawMessage(damaged)
			_, err := daemons.start("b", "there").Acquire(t.Context())
			assert.ErrorIs(t, err, lease.ErrUnreadableRecord)
			assert.Equal(t, string(daemons.store.value), damaged, "what a holder used must not be lost")
			assert.Equal(t, daemons.store.releases, 1, "another release that can read it may take the lease")
		})
	}
}
