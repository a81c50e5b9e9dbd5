package scheduler

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/placement"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

// newDiskScheduler returns a scheduler that holds the lease and a replica at an address where "m" and "n" were loaded earlier.
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
	scheduler.disks.RecordList([]discovery.Replica{{
		ID:      "old",
		Backend: "s",
		Address: "here",
		Models:  []discovery.LoadedModel{{Name: "m"}, {Name: "n"}},
	}}, *now)
	scheduler.tracker.AdoptList([]discovery.Replica{
		{ID: "new", Backend: "s", Address: "here"},
		{ID: "other", Backend: "t", Address: "here"},
	}, *now, *now)
	return scheduler, scheduler.tracker.Replica("new")
}

// countedLoads returns how many loads from the store may have started within the window.
func countedLoads(scheduler *Scheduler, now time.Time) int {
	scheduler.budget.available(now, scheduler.configuration.table, scheduler)
	return scheduler.budget.budget.Count(now, scheduler.budget.bounds)
}

// startDiskLoad has a replica accept the load of a model that is certainly on its disk.
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
		onDisk := scheduler.disks.Possible(tracked.Listed())
		assert.Equal(t, onDisk["n"], counted == 0)
		assert.Assert(t, onDisk["m"], "the model being loaded will be on the disk")
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
	assert.Assert(t, scheduler.disks.Possible(tracked.Listed())["n"])
}

// startPossibleDiskLoad has a replica accept the load of a model that an earlier incarnation at its address had loaded.
func startPossibleDiskLoad(t *testing.T, scheduler *Scheduler, tracked *replicatracker.Replica, now time.Time) {
	t.Helper()
	assert.Assert(t, tracked.State().HandleReport(replicastate.Report{}, now))
	action := placement.Action{Server: "new", Model: "m", Load: true, FromStore: true, MaybeFromDisk: true}
	order, decided := scheduler.tracker.Decide(action, now)
	assert.Assert(t, decided)
	scheduler.budget.recordOrdered(action, now)
	scheduler.orders.handleResponse(tracked, order, http.StatusAccepted, nil)
}

func TestScheduler_CountsLoadThatMayComeFromDisk(t *testing.T) {
	t.Run("from before its start until it turns out to come from the disk", func(t *testing.T) {
		now := testStart
		scheduler, tracked := newDiskScheduler(&now)
		assert.Equal(t, countedLoads(scheduler, now), 0)
		startPossibleDiskLoad(t, scheduler, tracked, now)
		assert.Equal(t, countedLoads(scheduler, now), 1)
		now = now.Add(1900 * time.Millisecond)
		done := replica.Report{Sequence: 1, Models: []discovery.LoadedModel{{Name: "m"}}}
		scheduler.poller.handlePoll(tracked, done, now, nil)
		assert.Equal(t, countedLoads(scheduler, now), 0)
		assert.Assert(t, scheduler.disks.Certain(tracked.Listed())["m"])
		assert.Assert(t, !scheduler.disks.Certain(tracked.Listed())["n"], "one load proves nothing about other models")
	})
	t.Run("like any store load if it ends too late for a disk load", func(t *testing.T) {
		now := testStart
		scheduler, tracked := newDiskScheduler(&now)
		startPossibleDiskLoad(t, scheduler, tracked, now)
		now = now.Add(2100 * time.Millisecond)
		scheduler.poller.handlePoll(tracked, replica.Report{Sequence: 1, Models: []discovery.LoadedModel{{Name: "m"}}}, now, nil)
		assert.Equal(t, countedLoads(scheduler, now), 1)
	})
	t.Run("once if it still runs when a disk load would be long done", func(t *testing.T) {
		now := testStart
		scheduler, tracked := newDiskScheduler(&now)
		startPossibleDiskLoad(t, scheduler, tracked, now)
		now = now.Add(2500 * time.Millisecond)
		scheduler.poller.handlePoll(tracked, replica.Report{Sequence: 1, Busy: true}, now, nil)
		assert.Equal(t, countedLoads(scheduler, now), 1)
		assert.Assert(t, !scheduler.disks.Possible(tracked.Listed())["n"], "the disk is no longer assumed to be the old one")
		assert.Assert(t, !tracked.State().PollDue(testStart.Add(4*time.Second)), "polled when a load from the store is done")
		assert.Assert(t, tracked.State().PollDue(testStart.Add(4200*time.Millisecond)))
	})
}

func TestScheduler_FailedPollDoesNotReclassifyDiskLoad(t *testing.T) {
	now := testStart
	scheduler, tracked := newDiskScheduler(&now)
	startDiskLoad(t, scheduler, tracked, now)
	now = now.Add(3 * time.Second)
	scheduler.poller.handlePoll(tracked, replica.Report{Sequence: 1, Busy: true}, now, errors.New("no report"))
	assert.Equal(t, countedLoads(scheduler, now), 0)
}
