package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/lease"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

// newLeaseHoldingScheduler returns a scheduler that holds the lease under the given fence, and a list with one replica "r",
// which it tracks and which has "m" loaded.
func newLeaseHoldingScheduler(now *time.Time, fence uint64) (*Scheduler, []discovery.Replica) {
	scheduler, _ := newTestScheduler(now)
	scheduler.adoptGrant(&lease.Grant{
		Record:    lease.Record{Fence: fence},
		GrantedAt: *now,
		ExpiresAt: now.Add(time.Hour),
	})
	list := []discovery.Replica{{
		ID:      "r",
		Backend: "s",
		Address: "here",
		Models:  []discovery.LoadedModel{{Name: "m"}},
	}}
	scheduler.tracker.AdoptList(list, *now, *now)
	return scheduler, list
}

func TestScheduler_DelaysPollsAfterTakeover(t *testing.T) {
	for fence, waits := range map[uint64]bool{1: false, 2: true} {
		now := testStart
		scheduler, _ := newLeaseHoldingScheduler(&now, fence)
		state := scheduler.tracker.Replica("r").State()
		assert.Equal(t, state.PollDue(now), !waits)
		assert.Assert(t, state.PollDue(now.Add(replicatracker.MaxReportAge)))
	}
}

func TestScheduler_KeepsOrdersWhenExpiredGrantIsRenewed(t *testing.T) {
	now := testStart
	scheduler, _ := newLeaseHoldingScheduler(&now, 1)
	tracked := scheduler.tracker.Replica("r")
	assert.Assert(t, tracked.State().HandleReport(replicastate.Report{Loaded: map[string]bool{"m": true}}, now))
	order, decided := scheduler.tracker.Decide(placement.Action{Server: "r", Load: true, Model: "n"}, now)
	assert.Assert(t, decided)
	renewed := *scheduler.grant
	now = scheduler.grant.ExpiresAt
	scheduler.adoptGrant(scheduler.grant)
	scheduler.adoptGrant(nil)
	tracked.State().HandleResponse(order, replicastate.NoResponse, now)
	renewed.ExpiresAt = now.Add(time.Second)
	scheduler.adoptGrant(&renewed)
	assert.Equal(t, scheduler.tracker.Replica("r"), tracked)
	assert.Assert(t, tracked.State().PossiblyLoaded()["n"])
	assert.Equal(t, scheduler.grant.ExpiresAt, renewed.ExpiresAt)
}

func TestScheduler_ForecastsWithoutReplicasRightAfterTakeover(t *testing.T) {
	now := testStart
	scheduler, host := newTestScheduler(&now)
	scheduler.configuration.table = newTestTable(configuration.Runtime{Slots: 12})
	host.state.Revision = 1
	scheduler.configuration.table.Configuration.Revision = host.state.Revision
	scheduler.adoptGrant(&lease.Grant{Record: lease.Record{Fence: 1}, GrantedAt: now, ExpiresAt: now.Add(time.Hour)})
	scheduler.tracker.AdoptList([]discovery.Replica{{ID: "r", Backend: "s"}}, now, now)
	takenOver := &lease.Grant{Record: lease.Record{Fence: 3}, GrantedAt: now, ExpiresAt: now.Add(time.Hour)}
	scheduler.lease.current.Store(takenOver)
	scheduler.adoptGrant(takenOver)
	plan := scheduler.forecast(drill.Scope{Zone: "north"})
	assert.Assert(t, plan.HoldsLease)
	assert.Equal(t, len(plan.Steps), 0)
}
