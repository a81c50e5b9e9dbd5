package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestList_AdoptsOlderListOnlyFromSameSender(t *testing.T) {
	old, next := []discovery.Replica{{ID: "old"}}, []discovery.Replica{{ID: "next"}}
	at := func(seconds int) time.Time { return testStart.Add(time.Duration(seconds) * time.Second) }
	state := list{}
	assert.Assert(t, state.set(next, 1, at(5)))
	assert.Assert(t, !state.set(old, 1, at(4)), "a read that started earlier")
	update := peer.RosterUpdate{Member: "a", Replicas: old, Version: "a/1"}
	assert.Equal(t, state.adopt(update, at(4), at(6)), superseded)
	assert.Equal(t, state.replicas[0].ID, "next")
	assert.Equal(t, state.adopt(update, at(6), at(7)), adopted)
	successor := peer.RosterUpdate{Member: "b", Replicas: next}
	assert.Equal(t, state.adopt(successor, at(5), at(8)), superseded, "the next lease holder's list is older")
	diff := peer.RosterUpdate{Member: "a", BaseVersion: "a/1", Removed: []string{"old"}, Version: "a/2"}
	assert.Equal(t, state.adopt(diff, at(5), at(8)), adopted, "updates of one member are applied in order, however long each took")
	assert.Equal(t, state.adopt(diff, at(9), at(9)), baseMismatch)
}

func TestList_KeepsCordonsUntilTheirTTL(t *testing.T) {
	state := list{}
	state.adopt(peer.RosterUpdate{Member: "a", Cordoned: []string{"i-1 swift"}}, testStart, testStart)
	assert.Assert(t, state.set(nil, 1, testStart.Add(time.Second)))
	assert.DeepEqual(t, state.cordonedModels(testStart.Add(cordonTTL)), []string{"i-1 swift"})
	assert.Equal(t, len(state.cordonedModels(testStart.Add(cordonTTL+1))), 0)
}
