package retention_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ferryspar/internal/retention"
)

func TestRecord_AddKeepsTheLastPurges(t *testing.T) {
	var record retention.Record
	for number := uint64(1); number <= 40; number++ {
		var purge retention.Purge
		record, purge = record.Add(retention.Scope{}, []string{"b", "a"})
		assert.Equal(t, purge.Number, number)
		assert.DeepEqual(t, purge.DataPlanes, []string{"a", "b"})
	}
	assert.Equal(t, record.Number, uint64(40))
	assert.Equal(t, len(record.Purges), 32)
	assert.Equal(t, record.Purges[0].Number, uint64(9))
}

func TestRecord_UpdatePurgeDoesNotModifyReceiver(t *testing.T) {
	target := retention.Target{Replica: "r", Model: "m", State: retention.Pending}
	record := retention.Record{Number: 2, Purges: []retention.Purge{
		{Number: 1},
		{Number: 2, TargetsListed: true, Targets: []retention.Target{target}},
	}}
	resolve := func(purge *retention.Purge) bool { return purge.ResolveTargets("r", "", retention.Done) }
	next, changed := record.UpdatePurge(2, resolve)
	assert.Assert(t, changed)
	assert.Equal(t, next.Purges[1].Targets[0].State, retention.Done)
	assert.Equal(t, record.Purges[1].Targets[0].State, retention.Pending)
	assert.Assert(t, record.Purges[1].HasPendingTargets())
	assert.Assert(t, !next.Purges[1].HasPendingTargets())
	assert.Assert(t, next.Purges[0].HasPendingTargets(), "the targets of the purge are not listed")
	_, changed = next.UpdatePurge(2, resolve)
	assert.Assert(t, !changed, "no target is pending")
	_, changed = record.UpdatePurge(3, resolve)
	assert.Assert(t, !changed, "there is no such purge")
}
