package scheduler

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/configuration"
	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/replica"
)

func TestScheduler_UncordonsModelOnceLostUnloadCannotArrive(t *testing.T) {
	now := testStart
	table := newTestTable(configuration.Runtime{Slots: 12})
	scheduler, _ := newTestScheduler(&now)
	loaded := []discovery.LoadedModel{{Name: "m"}}
	list := []discovery.Replica{{ID: "i-1", Address: "at", Backend: "s", Models: loaded}}
	scheduler.tracker.AdoptList(list, now, now)
	tracked := scheduler.tracker.Replica("i-1")
	cordoned := func() []string {
		scheduler.tracker.PublishObservations()
		_, cordoned := scheduler.observations.Apply(list, now)
		return cordoned
	}
	report := func() {
		due := scheduler.poller.due(table, now)
		assert.Equal(t, len(due), 1)
		assert.Equal(t, due[0], tracked)
		tracked.State().PollStarted(now)
		scheduler.poller.handlePoll(tracked, replica.Report{Phase: "unified", Models: loaded}, now, nil)
	}
	report()
	order, decided := scheduler.tracker.Decide(placement.Action{Server: "i-1", Model: "m"}, now)
	assert.Assert(t, decided)
	scheduler.orders.handleResponse(tracked, order, 0, errors.New("no answer"))
	now = now.Add(replicatracker.UnknownOutcomeDelay)
	report()
	assert.DeepEqual(t, cordoned(), []string{"i-1 m"})
	assert.Equal(t, len(scheduler.poller.due(table, now)), 0, "the unload may still arrive")
	now = now.Add(replicatracker.MaxOrderLifetime - replicatracker.UnknownOutcomeDelay)
	report()
	assert.DeepEqual(t, cordoned(), []string{"i-1 m"})
	now = now.Add(replicatracker.MaxReportAge)
	report()
	assert.Equal(t, len(cordoned()), 0, "an earlier report may have shown the state before the unload")
	assert.Assert(t, tracked.State().CertainlyLoaded()["m"])
}
