package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/discovery"
	"ferryspar/internal/eventbus"
	"ferryspar/internal/lease"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

// newPlacingScheduler holds the lease by a grant of the fence given and manages one replica that holds "m".
func newPlacingScheduler(now *time.Time, fence uint64) (*Scheduler, []discovery.Replica) {
	settings := nodesettings.Settings{CloudAPI: nodesettings.CloudAPI{MaxLagMs: 800}}
	scheduler := &Scheduler{
		node:         &Node{clock: func() time.Time { return *now }, settings: settings, publisher: watch.NewPublisher(), endpoints: watch.NewEndpointPublisher()},
		modelsOnDisk: map[string]map[string]bool{},
		tracked:      map[string]*trackedReplica{},
		observed:     map[string]observedState{},
		sizes:        placement.NewSizeHistory(),
	}
	scheduler.trackedGrant = &lease.Grant{Record: lease.Record{Fence: fence}, GrantedAt: *now, ExpiresAt: now.Add(time.Hour)}
	listed := []discovery.Replica{{ID: "r", Backend: "s", Address: "here", Models: []discovery.LoadedModel{{Name: "m"}}}}
	scheduler.adoptReplicaList(listed, *now)
	return scheduler, listed
}

func TestScheduler_KeepsOrderOfReplicaMissingFromSomeLists(t *testing.T) {
	now := testStart
	scheduler, listed := newPlacingScheduler(&now, 1)
	tracked := scheduler.tracked["r"]
	assert.Assert(t, tracked.state.HandleReport(replicastate.Report{Loaded: map[string]bool{"m": true}}, now))
	_, decided := tracked.state.Decide(replicastate.Change{Load: true, Reference: "n"}, now)
	assert.Assert(t, decided)
	scheduler.adoptReplicaList(nil, now)
	now = now.Add(absenceTimeout - time.Millisecond)
	scheduler.adoptReplicaList(listed, now)
	assert.Equal(t, scheduler.tracked["r"], tracked)
	assert.Equal(t, tracked.state.Phase(), replicastate.Ordered)
	scheduler.adoptReplicaList(nil, now)
	now = now.Add(absenceTimeout)
	scheduler.adoptReplicaList(nil, now)
	assert.Equal(t, len(scheduler.tracked), 0)
}

func TestScheduler_PollsAgainWhenListContradictsReport(t *testing.T) {
	now := testStart
	scheduler, listed := newPlacingScheduler(&now, 1)
	tracked := scheduler.tracked["r"]
	assert.Assert(t, tracked.state.HandleReport(replicastate.Report{Loaded: map[string]bool{"n": true}}, now))
	tracked.reportedAt = now
	for range 3 {
		now = now.Add(time.Second)
		assert.Assert(t, !tracked.state.PollDue(now), "the list may lag")
		scheduler.adoptReplicaList(append([]discovery.Replica{}, listed...), now)
	}
	assert.Assert(t, tracked.state.PollDue(now))
}

func TestScheduler_DelaysPollsAfterTakeover(t *testing.T) {
	for fence, waits := range map[uint64]bool{1: false, 2: true} {
		now := testStart
		scheduler, _ := newPlacingScheduler(&now, fence)
		assert.Equal(t, scheduler.tracked["r"].state.PollDue(now), !waits)
		assert.Assert(t, scheduler.tracked["r"].state.PollDue(now.Add(maxReportAge)))
	}
}

func TestScheduler_KeepsOrdersWhenExpiredGrantIsRenewed(t *testing.T) {
	now := testStart
	scheduler, _ := newPlacingScheduler(&now, 1)
	tracked := scheduler.tracked["r"]
	assert.Assert(t, tracked.state.HandleReport(replicastate.Report{Loaded: map[string]bool{"m": true}}, now))
	order, decided := tracked.state.Decide(replicastate.Change{Load: true, Reference: "n"}, now)
	assert.Assert(t, decided)
	scheduler.node.scheduler, scheduler.node.bus = scheduler, eventbus.New()
	renewed := *scheduler.trackedGrant
	now = scheduler.trackedGrant.ExpiresAt
	scheduler.adoptGrant(scheduler.trackedGrant)
	scheduler.adoptGrant(nil)
	tracked.state.HandleResponse(order, replicastate.NoAnswer, now)
	renewed.ExpiresAt = now.Add(time.Second)
	scheduler.adoptGrant(&renewed)
	assert.Equal(t, scheduler.tracked["r"], tracked)
	assert.Assert(t, scheduler.tracked["r"].state.PossiblyLoaded()["n"])
	assert.Equal(t, scheduler.trackedGrant.ExpiresAt, renewed.ExpiresAt)
}
