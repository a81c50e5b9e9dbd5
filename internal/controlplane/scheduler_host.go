package controlplane

import (
	"context"
	"slices"
	"time"

	"ferryspar/internal/controlplane/applier"
	"ferryspar/internal/controlplane/scheduler"
	"ferryspar/internal/discovery"
	"ferryspar/internal/drill"
	"ferryspar/internal/eventbus"
	"ferryspar/internal/lease"
	"ferryspar/internal/loadbudget"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/replica"
	"ferryspar/internal/retention"
)

// takeoverMargin is added to leaseMs of the settings to obtain the time that a new lease holder waits.
const takeoverMargin = 100 * time.Millisecond

// newScheduler returns the scheduler of the node.
func (n *Node) newScheduler() *scheduler.Scheduler {
	host := schedulerHost{node: n}
	return scheduler.New(scheduler.Config{
		Settings: scheduler.Settings{
			ListLag: nodesettings.Milliseconds(n.settings.CloudAPI.MaxLagMs),
			StoreLimit: loadbudget.StoreLimit{
				Period:  nodesettings.Seconds(n.settings.TimingBounds.OriginPeriodS),
				Overage: n.settings.TimingBounds.OriginOverage,
			},
			Zones: n.settings.Zones,
		},
		Clock:     n.clock,
		StartedAt: n.startedAt,
		Lease: scheduler.LeaseConfig{
			Manager: &lease.Manager{
				Key:           applier.PlacementLeaseKey,
				Holder:        n.settings.NodeName,
				Address:       n.self,
				TTL:           n.leaseDuration(),
				TakeoverDelay: nodesettings.Milliseconds(n.settings.TimingBounds.LeaseMs) + takeoverMargin,
				Store:         n.store,
				Clock:         n.clock,
			},
			Cluster:  host,
			SeedRank: max(slices.Index(n.settings.SeedPeers(), n.self), 0),
			Leaving:  n.members.Leaving(),
		},
		State:    host,
		Roster:   host,
		Purges:   host,
		Replicas: replica.NewClient(n.network),
	})
}

// schedulerHost implements the interfaces through which the scheduler accesses the node.
type schedulerHost struct{ node *Node }

// State implements scheduler.StateReader.
func (h schedulerHost) State() scheduler.State {
	snapshot := h.node.publisher.Current()
	return scheduler.State{
		Version:             snapshot.Version + snapshot.RosterVersion,
		Revision:            snapshot.Revision,
		PackedConfiguration: snapshot.PackedConfiguration,
		Differences:         snapshot.Differences,
		Zones:               snapshot.Zones,
		RosterAsOf:          snapshot.RosterAsOf,
		Retention:           snapshot.Retention,
		Purges:              snapshot.PurgeRecord.Purges,
	}
}

// Current implements scheduler.Roster.
func (h schedulerHost) Current() ([]discovery.Replica, time.Time) { return h.node.roster.Current() }

// PublishPlacement implements scheduler.Roster.
func (h schedulerHost) PublishPlacement(replicas int) {
	h.node.roster.Publish()
	_ = h.node.bus.Publish(eventbus.TopicPlacementChanged, replicas)
}

// UpdatePurge implements scheduler.PurgeStore.
func (h schedulerHost) UpdatePurge(ctx context.Context, number uint64, change func(purge *retention.Purge) bool) bool {
	return h.node.updatePurge(ctx, number, change)
}

// MayAcquireLease implements scheduler.Cluster.
func (h schedulerHost) MayAcquireLease(now time.Time) bool {
	return h.node.acceptor.LocalState().Voting &&
		h.node.publisher.Current().IsFresh(now) &&
		h.node.store.Membership().Contains(h.node.self)
}

// IsLeaseHolderReachable implements scheduler.Cluster.
func (h schedulerHost) IsLeaseHolderReachable(now time.Time) bool {
	return h.node.members.IsReachable(h.node.publisher.Current().LeaseHolder, now)
}

// handlePlanRequest returns what this node would place and remove as the lease holder. The plan is not valid if this node does
// not hold the lease.
func (n *Node) handlePlanRequest(ctx context.Context, request drill.ForecastRequest) drill.PlacementPlan {
	return n.scheduler.Forecast(ctx, request.Scope)
}
