package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/retention"
)

func TestCopyAges_SurviveBriefAbsence(t *testing.T) {
	copies := newCopyAges()
	other := discovery.Replica{ID: "i-1"}
	loaded := discovery.Replica{ID: "i-2", Models: []discovery.LoadedModel{{Name: "swift"}}}
	emptied := discovery.Replica{ID: "i-2"}
	policy := retention.Policy{Version: 1, LifetimeMs: 60_000}
	dueAt := func(seconds int, listed ...discovery.Replica) int {
		now := testStart.Add(time.Duration(seconds) * time.Second)
		copies.AdoptList(listed, now)
		return len(copies.due(policy.Lifetime(), now))
	}
	assert.Equal(t, dueAt(0, other), 0)
	assert.Equal(t, dueAt(1, other, loaded), 0)
	assert.Equal(t, dueAt(40, other), 0)
	assert.Equal(t, dueAt(41, other, loaded), 0)
	assert.Equal(t, dueAt(47, other, loaded), 1, "45 of 60 seconds after the copy was first listed")
	assert.Equal(t, dueAt(48, other, emptied), 0, "listed without the model, so its context is gone")
	assert.Equal(t, dueAt(49, other, loaded), 0)
	assert.Equal(t, dueAt(60, other), 0)
	assert.Equal(t, dueAt(66, other), 0)
	assert.Equal(t, dueAt(100, other, loaded), 0, "missing for too long to be the same incarnation")
}
