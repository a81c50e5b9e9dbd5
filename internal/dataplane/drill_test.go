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
	// notify hands the state a notice of the drill, and reports whether a drill is in force then.
	notify := func(running bool, zones map[string]peer.ZoneState) bool {
		notice := &drill.Notice{Number: number, Scope: drill.Scope{Zone: "south"}, Share: 1, RemainingMs: 60000, Running: running}
		harness.respond("one", peer.WatchResponse{Linearizable: true, FreshMs: 1000, Drill: notice, Zones: zones})
		return harness.snapshot.Load().Drill != nil
	}
	state := harness.state
	ended := func() string { return state.drills.report(harness.now).EndReason }

	assert.Assert(t, notify(true, nil))
	harness.advance(2 * time.Second)
	assert.Assert(t, notify(true, nil), "in touch")
	harness.advance(contactTimeout)
	assert.Assert(t, !notify(true, nil), "thawed after too long: its own clock ends it before the notice is used")
	assert.Equal(t, ended(), drill.EndedWithoutContact)
	assert.Assert(t, !notify(true, nil), "what ended stays ended")
	assert.Assert(t, !notify(false, nil))
	assert.Assert(t, state.drills.report(harness.now) == nil, "once the end is known there is nothing more to report")

	number = 2
	assert.Assert(t, notify(true, nil))
	number = 1
	assert.Assert(t, notify(false, nil), "an older end says nothing of a newer drill")
	number = 2
	harness.advance(contactTimeout)
	state.checkDrill()
	assert.Assert(t, harness.snapshot.Load().Drill == nil, "without any response as well")

	number = 3
	assert.Assert(t, notify(true, nil))
	assert.Assert(t, !notify(true, map[string]peer.ZoneState{"north": {Version: 1, Drained: true}}))
	assert.Equal(t, ended(), drill.EndedByEvacuation)
	number = 4
	assert.Assert(t, !notify(true, nil), "none while a zone is evacuated")
}
