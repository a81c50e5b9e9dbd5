package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
)

func TestGivenAGrantThenItTellsWhetherItFollowsAnEarlierLifeOfItsHolder(t *testing.T) {
	for name, one := range map[string]struct {
		grant lease.Grant
		want  bool
	}{
		"the first grant ever":    {lease.Grant{Record: lease.Record{Fence: 1}}, false},
		"the same life again":     {lease.Grant{Record: lease.Record{Fence: 3}, Continues: 2}, false},
		"another holder before":   {lease.Grant{Record: lease.Record{Fence: 3, Settling: true}}, false},
		"the next life, at peace": {lease.Grant{Record: lease.Record{Fence: 3}}, true},
	} {
		assert.Equal(t, one.grant.FollowsFormerLife(), one.want, name)
	}
}

func TestGivenAHolderThatWroteAfterItsWaitThenItsNextLifeNeedNotWait(t *testing.T) {
	store, now := &register{}, time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for life, name := range []string{"a", "b", "b", "b"} {
		keeper := &lease.Lease{
			Key: "k", Holder: name, Address: name, Length: time.Second, Settle: time.Minute,
			Store: store, Clock: func() time.Time { return now },
		}
		grant, err := keeper.Acquire(t.Context())
		assert.NilError(t, err)
		waits := life == 1 || life == 2
		assert.Equal(t, grant.ActsFrom.After(now), waits, "life %d", life)
		if life == 2 {
			now = grant.ActsFrom
			assert.NilError(t, keeper.Reserve(t.Context(), grant, loadbudget.Reservation{Loads: 1}))
		}
	}
}
