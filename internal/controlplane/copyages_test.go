package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/retention"
)

func TestScheduler_CopyAgeSurvivesBriefAbsence(t *testing.T) {
	now := rosterTestStart
	scheduler := &Scheduler{node: &Node{clock: func() time.Time { return now }}, eviction: newContextEviction()}
	other := discovery.Replica{ID: "i-1"}
	loaded := discovery.Replica{ID: "i-2", Models: []discovery.LoadedModel{{Name: "swift"}}}
	emptied := discovery.Replica{ID: "i-2"}
	policy := retention.Policy{Version: 1, LifetimeMs: 60_000}
	at := func(seconds int, listed ...discovery.Replica) int {
		now = rosterTestStart.Add(time.Duration(seconds) * time.Second)
		scheduler.recordCopies(listed)
		return len(scheduler.dueCopies(policy, now))
	}
	assert.Equal(t, at(0, other), 0)
	assert.Equal(t, at(1, other, loaded), 0)
	assert.Equal(t, at(40, other), 0)
	assert.Equal(t, at(41, other, loaded), 0)
	assert.Equal(t, at(47, other, loaded), 1, "45 of 60 seconds after the copy was first listed")
	assert.Equal(t, at(48, other, emptied), 0, "listed without the model: its context is gone")
	assert.Equal(t, at(49, other, loaded), 0)
	assert.Equal(t, at(60, other), 0)
	assert.Equal(t, at(66, other), 0)
	assert.Equal(t, at(100, other, loaded), 0, "left out for too long to be the same life")
}
