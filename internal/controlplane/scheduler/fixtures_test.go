package scheduler

import (
	"context"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/replica"
	"ferryspar/internal/retention"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeHost implements all dependencies of a scheduler under test on its node.
type fakeHost struct {
	state     State
	list      []discovery.Replica
	published int
}

func (h *fakeHost) State() State { return h.state }

func (h *fakeHost) Current() ([]discovery.Replica, time.Time) { return h.list, h.state.RosterAsOf }

func (h *fakeHost) PublishPlacement(int) { h.published++ }

func (h *fakeHost) UpdatePurge(context.Context, uint64, func(*retention.Purge) bool) bool {
	return false
}

func (h *fakeHost) MayAcquireLease(time.Time) bool { return false }

func (h *fakeHost) IsLeaseHolderReachable(time.Time) bool { return false }

func (h *fakeHost) SendOrder(context.Context, string, string, replica.Order) (int, error) {
	return statusNotSent, nil
}

func (h *fakeHost) FetchReport(context.Context, string, string) (replica.Report, error) {
	return replica.Report{}, context.Canceled
}

// newTestScheduler returns a scheduler without a lease whose clock returns *now. Its list may lag by 800 ms, and its model store
// limits loads over 5 s.
func newTestScheduler(now *time.Time) (*Scheduler, *fakeHost) {
	host := &fakeHost{}
	return New(Config{
		Settings: Settings{ListLag: 800 * time.Millisecond, StoreLimit: loadbudget.StoreLimit{Period: 5 * time.Second, Overage: 1.1}},
		Clock:    func() time.Time { return *now },
		Lease:    LeaseConfig{Manager: &lease.Manager{}, Cluster: host},
		State:    host,
		Roster:   host,
		Purges:   host,
		Replicas: host,
	}), host
}

// newTestTable returns the table of a configuration with one backend "s" that has the given runtime.
func newTestTable(runtime configuration.Runtime) *configuration.Table {
	return configuration.NewTable(configuration.Configuration{
		Backends: []configuration.Backend{{Name: "s", Runtime: &runtime}},
	}, nil)
}
