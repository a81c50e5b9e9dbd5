package dataplane

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/drill"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

func TestFleetState_FollowsDrillToItsEndOnce(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var fleet atomic.Pointer[routing.Snapshot]
	state := NewFleetState(nodesettings.Settings{}, func() time.Time { return now }, &fleet, func() {})
	number := uint64(1)
	notify := func(running bool, zones map[string]peer.ZoneState) bool {
		notice := &drill.Notice{Number: number, Scope: drill.Scope{Zone: "south"}, Share: 1, LeftMs: 60000, Running: running}
		if state.handleWatchResult(watchResult{address: "one", sentAt: now, receivedAt: now, response: peer.WatchResponse{Linearizable: true, FreshMs: 1000, Drill: notice, Zones: zones}}) {
			state.publish()
		}
		return fleet.Load().Drill != nil
	}
	ended := func() string { return state.drills.report(now).Ended }

	assert.Assert(t, notify(true, nil))
	now = now.Add(2 * time.Second)
	assert.Assert(t, notify(true, nil), "in touch")
	now = now.Add(contactTimeout)
	assert.Assert(t, !notify(true, nil), "thawed after too long: its own clock ends it before the news is heard")
	assert.Equal(t, ended(), drill.EndedWithoutContact)
	assert.Assert(t, !notify(true, nil), "what ended stays ended")
	assert.Assert(t, !notify(false, nil))
	assert.Assert(t, state.drills.report(now) == nil, "once the end is known there is nothing more to tell")

	number = 2
	assert.Assert(t, notify(true, nil))
	number = 1
	assert.Assert(t, notify(false, nil), "an older end says nothing of a newer drill")
	number = 2
	now = now.Add(contactTimeout)
	state.checkDrill()
	assert.Assert(t, fleet.Load().Drill == nil, "without any news as well")

	number = 3
	assert.Assert(t, notify(true, nil))
	assert.Assert(t, !notify(true, map[string]peer.ZoneState{"north": {Version: 1, Drained: true}}))
	assert.Equal(t, ended(), drill.EndedByEvacuation)
	number = 4
	assert.Assert(t, !notify(true, nil), "none while a zone is evacuated")
}
