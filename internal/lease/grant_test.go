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
		"the first grant ever":                  {lease.Grant{Record: lease.Record{Fence: 1}}, false},
		"the same incarnation again":            {lease.Grant{Record: lease.Record{Fence: 3}, ContinuesFence: 2}, false},
		"another holder before":                 {lease.Grant{Record: lease.Record{Fence: 3, TakeoverPending: true}}, false},
		"the next incarnation, none in between": {lease.Grant{Record: lease.Record{Fence: 3}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.grant.FollowsOwnRestart(), test.want)
		})
	}
}
