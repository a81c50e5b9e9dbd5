package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
)

// newDiskScheduler holds the lease and tracks a replica at an address at which "m" and "n" were loaded once.
func newDiskScheduler(now *time.Time) (*Scheduler, *replicatracker.Replica) {
	scheduler, _ := newTestScheduler(now)
	scheduler.configuration.table = newTestTable(configuration.Runtime{
		LoadsPerS: 1,
		Models:    []configuration.Model{{Name: "m", LoadTimeS: 4}, {Name: "n", LoadTimeS: 4}},
	})
	full := loadbudget.Reservation{Loads: 6}
	scheduler.lease.current.Store(&lease.Grant{
		Record:    lease.Record{Fence: 1, Reserved: &full},
		GrantedAt: now.Add(-time.Hour),
	})
	scheduler.disks.RecordListed(discovery.Replica{
		ID:      "old",
		Backend: "s",
		Address: "here",
		Models:  []discovery.LoadedModel{{Name: "m"}, {Name: "n"}},
	})
	scheduler.tracker.AdoptList([]discovery.Replica{
		{ID: "new", Backend: "s", Address: "here"},
		{ID: "other", Backend: "t", Address: "here"},
	}, *now, *now)
	return scheduler, scheduler.tracker.Replica("new")
}

// countedLoads is how many loads from the store may have started within the window.
func countedLoads(scheduler *Scheduler, now time.Time) int {
	scheduler.budget.available(now, scheduler.configuration.table, scheduler.mayStart)
	return scheduler.budget.budget.Count(now, scheduler.budget.bounds)
}

// startDiskLoad has a replica accept the load of a model that its disk is taken to hold.
func startDiskLoad(t *testing.T, scheduler *Scheduler, tracked *replicatracker.Replica, now time.Time) {
	t.Helper()
	assert.Assert(t, tracked.State().HandleReport(replicastate.Report{}, now))
	order, decided := scheduler.tracker.Decide(placement.Action{Server: "new", Model: "m", Load: true}, now)
	assert.Assert(t, decided)
	scheduler.tracker.HandleResponse(tracked, order, replicastate.Accepted, now)
}

func TestScheduler_CountsSlowDiskLoadAsStoreLoad(t *testing.T) {
	now := testStart
	scheduler, tracked := newDiskScheduler(&now)
	assert.Equal(t, countedLoads(scheduler, now), 0)
	startDiskLoad(t, scheduler, tracked, now)
	startedAt := tracked.StartedAt()
	for _, elapsed := range []time.Duration{time.Second, 2 * time.Second, 2300 * time.Millisecond, 3 * time.Second} {
		now = startedAt.Add(elapsed + time.Second)
		scheduler.poller.verifyDiskLoad(tracked, replicastate.Report{Busy: true, Sequence: 1}, startedAt.Add(elapsed))
		counted := 0
		if elapsed > 2*time.Second+replicatracker.ReportLag {
			counted = 1
		}
		assert.Equal(t, countedLoads(scheduler, now), counted, "polled %s after its start", elapsed)
		onDisk := scheduler.disks.Models(tracked.Listed())
		assert.Equal(t, onDisk["n"], counted == 0)
		assert.Assert(t, onDisk["m"], "it has what it loads now")
	}
}

func TestScheduler_LateReportOfDiskLoadDoesNotCount(t *testing.T) {
	now := testStart
	scheduler, tracked := newDiskScheduler(&now)
	startDiskLoad(t, scheduler, tracked, now)
	startedAt := tracked.StartedAt()
	now = now.Add(4 * time.Second)
	done := replicastate.Report{Sequence: 1, Loaded: map[string]bool{"m": true}}
	scheduler.poller.verifyDiskLoad(tracked, done, now)
	scheduler.poller.verifyDiskLoad(tracked, replicastate.Report{Busy: true, Sequence: 1}, startedAt.Add(time.Second))
	assert.Equal(t, countedLoads(scheduler, now), 0)
	assert.Assert(t, scheduler.disks.Models(tracked.Listed())["n"])
}
