package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
	"ferryspar/internal/platform"
)

var rosterStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestGivenAnOlderListThanTheOneHeldThenItIsAdoptedFromNobodyButThePresentHolder(t *testing.T) {
	old, next := []platform.Replica{{ID: "old"}}, []platform.Replica{{ID: "next"}}
	at := func(seconds int) time.Time { return rosterStart.Add(time.Duration(seconds) * time.Second) }
	state := rosterState{}
	assert.Assert(t, state.set(next, at(5)))
	assert.Assert(t, !state.set(old, at(4)), "a question that began before")
	share := peer.RosterUpdate{Member: "a", Replicas: old, Version: "a/1"}
	assert.Equal(t, state.adopt(share, at(4), at(6)), overtaken)
	assert.Equal(t, state.listed()[0].ID, "next")
	assert.Equal(t, state.adopt(share, at(6), at(7)), adopted)
	assert.Equal(t, state.adopt(peer.RosterUpdate{Member: "b", Replicas: next}, at(5), at(8)), overtaken, "the next holder's list is older")
	further := peer.RosterUpdate{Member: "a", BaseVersion: "a/1", Removed: []string{"old"}, Version: "a/2"}
	assert.Equal(t, state.adopt(further, at(5), at(8)), adopted, "shares of one member come in order, whatever their way took")
	assert.Equal(t, state.adopt(further, at(9), at(9)), unfounded)
}

func TestGivenAListOfItsOwnThenAMemberKeepsWhatTheHolderBarredForItsTime(t *testing.T) {
	state := rosterState{}
	state.adopt(peer.RosterUpdate{Member: "a", Cordoned: []string{"i-1 swift"}}, rosterStart, rosterStart)
	assert.Assert(t, state.set(nil, rosterStart.Add(time.Second)))
	assert.DeepEqual(t, state.bars(rosterStart.Add(barLife)), []string{"i-1 swift"})
	assert.Equal(t, len(state.bars(rosterStart.Add(barLife+1))), 0)
}
