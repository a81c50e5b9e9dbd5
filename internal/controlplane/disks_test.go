package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

// newDiskScheduler holds the lease and has a replica at an address at which "m" and "n" were held once.
func newDiskScheduler(now *time.Time) (*Scheduler, *trackedReplica) {
	table := configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
		Name: "s",
		Runtime: &configuration.Runtime{
			LoadsPerS: 1,
			Models:    []configuration.Model{{Name: "m", LoadTimeS: 4}, {Name: "n", LoadTimeS: 4}},
		},
	}}}, nil)
	full := loadbudget.Reservation{Loads: 6}
	scheduler := &Scheduler{
		node: &Node{
			clock:    func() time.Time { return *now },
			settings: nodesettings.Settings{TimingBounds: nodesettings.TimingBounds{OriginPeriodS: 5}},
		},
		modelsOnDisk: map[string]map[string]bool{},
		tracked:      map[string]*trackedReplica{},
		observed:     map[string]observedState{},
		table:        table,
	}
	scheduler.currentGrant.Store(&lease.Grant{Record: lease.Record{Fence: 1, Reserved: &full}, GrantedAt: now.Add(-time.Hour)})
	scheduler.recordListedModels(discovery.Replica{ID: "old", Backend: "s", Address: "here", Models: []discovery.LoadedModel{{Name: "m"}, {Name: "n"}}})
	scheduler.adoptReplicaList([]discovery.Replica{{ID: "new", Backend: "s", Address: "here"}, {ID: "other", Backend: "t", Address: "here"}}, *now)
	return scheduler, scheduler.tracked["new"]
}

// countedLoads is how many loads from the store may have begun within the window.
func countedLoads(scheduler *Scheduler, now time.Time) int {
	scheduler.loadTokens(now, scheduler.table)
	return scheduler.loadBudget.budget.Count(now, scheduler.loadBudget.bounds)
}

// startDiskLoad has a replica accept the load of a model that its disk is believed to hold.
func startDiskLoad(t *testing.T, tracked *trackedReplica, now time.Time) {
	t.Helper()
	assert.Assert(t, tracked.state.HandleReport(replicastate.Report{}, now))
	order, decided := tracked.state.Decide(replicastate.Change{Load: true, Reference: "m"}, now)
	assert.Assert(t, decided)
	tracked.state.HandleResponse(order, replicastate.Accepted, now)
	tracked.pendingAction, tracked.startedAt = &placement.Action{Server: "new", Model: "m", Load: true}, now
}

func TestScheduler_CountsSlowDiskLoadAsStoreLoad(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	scheduler, tracked := newDiskScheduler(&now)
	assert.Equal(t, countedLoads(scheduler, now), 0)
	startDiskLoad(t, tracked, now)
	for _, elapsed := range []time.Duration{time.Second, 2 * time.Second, 2300 * time.Millisecond, 3 * time.Second} {
		now = tracked.startedAt.Add(elapsed + time.Second)
		scheduler.verifyDiskLoad(tracked, replica.Report{Busy: true, Sequence: 1}, tracked.startedAt.Add(elapsed))
		counted := 0
		if elapsed > 2*time.Second+reportLag {
			counted = 1
		}
		assert.Equal(t, countedLoads(scheduler, now), counted, "asked %s after its beginning", elapsed)
		assert.Equal(t, scheduler.modelsOnDisk[diskKey(tracked.listed)]["n"], counted == 0)
		assert.Assert(t, scheduler.modelsOnDisk[diskKey(tracked.listed)]["m"], "it holds what it loads now")
	}
}

func TestScheduler_LateReportOfDiskLoadDoesNotCount(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	scheduler, tracked := newDiskScheduler(&now)
	startDiskLoad(t, tracked, now)
	now = now.Add(4 * time.Second)
	scheduler.verifyDiskLoad(tracked, replica.Report{Sequence: 1, Models: []discovery.LoadedModel{{Name: "m"}}}, now)
	scheduler.verifyDiskLoad(tracked, replica.Report{Busy: true, Sequence: 1}, tracked.startedAt.Add(time.Second))
	assert.Equal(t, countedLoads(scheduler, now), 0)
	assert.Assert(t, scheduler.modelsOnDisk[diskKey(tracked.listed)]["n"])
}

func TestScheduler_DiskBelongsToServiceAndAddress(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	scheduler, tracked := newDiskScheduler(&now)
	assert.Equal(t, len(scheduler.modelsOnDisk[diskKey(tracked.listed)]), 2)
	assert.Equal(t, len(scheduler.modelsOnDisk[diskKey(scheduler.tracked["other"].listed)]), 0)
}
