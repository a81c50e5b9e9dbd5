package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

// diskScheduler holds the lease and has a replica at an address at which "m" and "n" were held once.
func diskScheduler(now *time.Time) (*Scheduler, *managedReplica) {
	table := configuration.NewTable(configuration.Configuration{Backends: []configuration.Backend{{
		Name: "s",
		Runtime: &configuration.Runtime{
			LoadsPerS: 1,
			Models:    []configuration.Model{{Name: "m", LoadTimeS: 4}, {Name: "n", LoadTimeS: 4}},
		},
	}}}, nil)
	full := loadbudget.Reservation{Loads: 6}
	w := &Scheduler{
		daemon: &Node{
			clock:    func() time.Time { return *now },
			settings: nodesettings.Settings{TimingBounds: nodesettings.TimingBounds{OriginPeriodS: 5}},
		},
		heldOnce: map[string]map[string]bool{},
		managed:  map[string]*managedReplica{},
		overlays: map[string]overlay{},
		table:    table,
	}
	w.hold.Store(&lease.Grant{Record: lease.Record{Fence: 1, Reserved: &full}, GrantedAt: now.Add(-time.Hour)})
	w.rememberListed(platform.Replica{ID: "old", Backend: "s", Address: "here", Models: []platform.LoadedModel{{Name: "m"}, {Name: "n"}}})
	w.adoptList([]platform.Replica{{ID: "new", Backend: "s", Address: "here"}, {ID: "other", Backend: "t", Address: "here"}}, *now)
	return w, w.managed["new"]
}

// countedLoads is how many loads from the store may have begun within the window.
func countedLoads(w *Scheduler, now time.Time) int {
	w.loadTokens(now, w.table)
	return w.store.budget.Count(now, w.store.bounds)
}

// startFromDisk has a replica accept the load of a model that its disk is believed to hold.
func startFromDisk(t *testing.T, one *managedReplica, now time.Time) {
	t.Helper()
	assert.Assert(t, one.state.Reported(replicastate.Report{}, now))
	order, decided := one.state.Decide(replicastate.Change{Load: true, Reference: "m"}, now)
	assert.Assert(t, decided)
	one.state.Answer(order, replicastate.Accepted, now)
	one.pending, one.began = &place.Action{Server: "new", Model: "m", Load: true}, now
}

func TestGivenALoadThatRunsTooLongForADiskThenItCountsAndTheDiskIsNoLongerBelieved(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w, one := diskScheduler(&now)
	assert.Equal(t, countedLoads(w, now), 0)
	startFromDisk(t, one, now)
	for _, asked := range []time.Duration{time.Second, 2 * time.Second, 2300 * time.Millisecond, 3 * time.Second} {
		now = one.began.Add(asked + time.Second)
		w.checkDisk(one, replica.Report{Busy: true, Sequence: 1}, one.began.Add(asked))
		counted := 0
		if asked > 2*time.Second+reportLag {
			counted = 1
		}
		assert.Equal(t, countedLoads(w, now), counted, "asked %s after its beginning", asked)
		assert.Equal(t, w.heldOnce[diskOf(one.listed)]["n"], counted == 0)
		assert.Assert(t, w.heldOnce[diskOf(one.listed)]["m"], "it holds what it loads now")
	}
}

func TestGivenALoadFromTheDiskOfWhichIsHeardLateThenItDoesNotCount(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w, one := diskScheduler(&now)
	startFromDisk(t, one, now)
	now = now.Add(4 * time.Second)
	w.checkDisk(one, replica.Report{Sequence: 1, Models: []platform.LoadedModel{{Name: "m"}}}, now)
	w.checkDisk(one, replica.Report{Busy: true, Sequence: 1}, one.began.Add(time.Second))
	assert.Equal(t, countedLoads(w, now), 0)
	assert.Assert(t, w.heldOnce[diskOf(one.listed)]["n"])
}

func TestGivenAnAddressThatAnotherServiceGetsThenNothingIsBelievedOfItsDisk(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w, one := diskScheduler(&now)
	assert.Equal(t, len(w.heldOnce[diskOf(one.listed)]), 2)
	assert.Equal(t, len(w.heldOnce[diskOf(w.managed["other"].listed)]), 0)
}
