package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/drill"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

func TestFleetState_FollowsDrillToItsEndOnce(t *testing.T) {
	harness := newStateHarness(t, nodesettings.Settings{})
	number := uint64(1)
	// notify delivers a notice of the drill to the state, and reports whether a drill is in progress afterwards.
	notify := func(running bool, zones map[string]peer.ZoneState) bool {
		notice := &drill.Notice{Number: number, Scope: drill.Scope{Zone: "south"}, Share: 1, LeftMs: 60000, Running: running}
		harness.respond("one", peer.WatchResponse{Linearizable: true, FreshMs: 1000, Drill: notice, Zones: zones})
		return harness.snapshot.Load().Drill != nil
	}
	state := harness.state
	ended := func() string { return state.drills.report(harness.now).Ended }

	assert.Assert(t, notify(true, nil))
	harness.advance(2 * time.Second)
	assert.Assert(t, notify(true, nil), "within the contact timeout")
	harness.advance(contactTimeout)
	assert.Assert(t, !notify(true, nil), "after a long suspension the node's own clock ends the drill before the notice is applied")
	assert.Equal(t, ended(), drill.EndedWithoutContact)
	assert.Assert(t, !notify(true, nil), "an ended drill is not joined again")
	assert.Assert(t, !notify(false, nil))
	assert.Assert(t, state.drills.report(harness.now) == nil, "nothing is reported once the control plane knows of the end")

	number = 2
	assert.Assert(t, notify(true, nil))
	number = 1
	assert.Assert(t, notify(false, nil), "the end of an older drill does not end a newer one")
	number = 2
	harness.advance(contactTimeout)
	state.checkDrill()
	assert.Assert(t, harness.snapshot.Load().Drill == nil, "the drill also ends without a response")

	number = 3
	assert.Assert(t, notify(true, nil))
	assert.Assert(t, !notify(true, map[string]peer.ZoneState{"north": {Version: 1, Drained: true}}))
	assert.Equal(t, ended(), drill.EndedByEvacuation)
	number = 4
	assert.Assert(t, !notify(true, nil), "no drill is joined while a zone is evacuated")
}
