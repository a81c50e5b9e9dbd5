package lease_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/lease"
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
