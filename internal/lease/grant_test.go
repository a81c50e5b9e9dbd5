package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
)

func TestGrant_FollowsOwnRestart(t *testing.T) {
	for name, action := range map[string]struct {
		grant lease.Grant
		want  bool
	}{
		"the first grant ever":    {lease.Grant{Record: lease.Record{Fence: 1}}, false},
		"the same life again":     {lease.Grant{Record: lease.Record{Fence: 3}, ContinuesFence: 2}, false},
		"another holder before":   {lease.Grant{Record: lease.Record{Fence: 3, TakeoverPending: true}}, false},
		"the next life, at peace": {lease.Grant{Record: lease.Record{Fence: 3}}, true},
	} {
		assert.Equal(t, action.grant.FollowsOwnRestart(), action.want, name)
	}
}

func TestManager_RestartNeedNotWaitAfterWrite(t *testing.T) {
	store, now := &memoryStore{}, time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for life, name := range []string{"a", "b", "b", "b"} {
		manager := &lease.Manager{
			Key: "k", Holder: name, Address: name, TTL: time.Second, TakeoverDelay: time.Minute,
			Store: store, Clock: func() time.Time { return now },
		}
		grant, err := manager.Acquire(t.Context())
		assert.NilError(t, err)
		waits := life == 1 || life == 2
		assert.Equal(t, grant.EffectiveFrom.After(now), waits, "life %d", life)
		if life == 2 {
			now = grant.EffectiveFrom
			assert.NilError(t, manager.Reserve(t.Context(), grant, loadbudget.Reservation{Loads: 1}))
		}
	}
}
