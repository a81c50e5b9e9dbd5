package lease_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"ferryspar/internal/lease"
)

// unreachableStore is a store whose renewals fail after calling renew, which advances the clock.
type unreachableStore struct {
	*memoryStore
	renew func()
}

func (s unreachableStore) Renew(context.Context, string) error {
	s.renew()
	return errors.New("no majority of members reached")
}

func TestManager_RenewLogsLossOfLease(t *testing.T) {
	for _, test := range []struct {
		name string
		// beforeRenew and inRenew are the times that pass before and during the renewal. The TTL is one second.
		beforeRenew, inRenew time.Duration
		lost                 bool
	}{
		{name: "still valid after a failed renewal", beforeRenew: 500 * time.Millisecond, inRenew: 100 * time.Millisecond, lost: false},
		{name: "expires during the renewal", beforeRenew: 500 * time.Millisecond, inRenew: 600 * time.Millisecond, lost: true},
		{name: "expired before the renewal", beforeRenew: 1100 * time.Millisecond, lost: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			log := logtest.NewGlobal()
			defer logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{})
			daemons := newTestDaemons()
			manager := daemons.start("a", "10.0.0.1:7000")
			manager.Store = unreachableStore{&daemons.store, func() { daemons.now = daemons.now.Add(test.inRenew) }}
			grant, err := manager.Acquire(t.Context())
			assert.NilError(t, err)
			daemons.now = daemons.now.Add(test.beforeRenew)
			assert.Equal(t, manager.Renew(t.Context(), grant) == nil, test.lost)
			assert.Equal(t, countWarnings(log, "lease lost"), map[bool]int{false: 0, true: 1}[test.lost])
		})
	}
}

func countWarnings(log *logtest.Hook, message string) int {
	count := 0
	for _, entry := range log.AllEntries() {
		if entry.Level == logrus.WarnLevel && entry.Message == message && entry.Data["lease"] == "k" {
			count++
		}
	}
	return count
}

var _ lease.Store = unreachableStore{}
