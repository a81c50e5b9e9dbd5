package lease_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/lease"
)

func TestGrant_FollowsOwnRestart(t *testing.T) {
	for name, test := range map[string]struct {
		grant lease.Grant
		want  bool
	}{
		"first grant of the lease":            {lease.Grant{Record: lease.Record{Fence: 1}}, false},
		"same incarnation as before":          {lease.Grant{Record: lease.Record{Fence: 3}, ContinuesFence: 2}, false},
		"after another holder":                {lease.Grant{Record: lease.Record{Fence: 3, TakeoverPending: true}}, false},
		"next incarnation of the same holder": {lease.Grant{Record: lease.Record{Fence: 3}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.grant.FollowsOwnRestart(), test.want)
		})
	}
}
