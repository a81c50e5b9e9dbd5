package controlplane

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"ferryspar/internal/apierror"
	"ferryspar/internal/controlplane/coordinator"
	"ferryspar/internal/coordination"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/peer"
)

// historyMargin is how much longer than historyS of the settings puts are kept, because a watch may have received its revision
// from a node that lagged behind, and a caller may resend a put for some seconds.
const historyMargin = 15 * time.Second

// itemsDivisor limits all items together to this fraction of a segment of the write-ahead log, which must hold the whole state.
const itemsDivisor = 4

// coordinationHost implements coordinator.Cluster.
type coordinationHost struct {
	node *Node
}

// Members implements coordinator.Cluster.
func (h coordinationHost) Members() []string { return h.node.store.Membership().Current }

// IsReachable implements coordinator.Cluster.
func (h coordinationHost) IsReachable(address string) bool {
	return h.node.members.IsReachable(address, h.node.clock())
}

// MayOwn implements coordinator.Cluster.
func (h coordinationHost) MayOwn() bool {
	return h.node.acceptor.LocalState().Voting && !h.node.members.IsLeaving()
}

// IsConfirmed implements coordinator.Cluster.
func (h coordinationHost) IsConfirmed() bool {
	return h.node.publisher.Current().IsFresh(h.node.clock())
}

// LastOwner implements coordinator.Cluster.
func (h coordinationHost) LastOwner(key string) string {
	return h.node.acceptor.Durable()[key].Promised.Proposer
}

// openCoordination creates the components that execute coordination calls.
func (n *Node) openCoordination() {
	history := nodesettings.Seconds(n.settings.TimingBounds.HistoryS) + historyMargin
	executor := coordinator.NewExecutor(n.store, coordination.Config{EventRetention: history}, n.clock)
	caller := peer.NewClient(n.network)
	n.coordination = coordinator.NewRouter(n.self, coordinationHost{n}, caller, executor, n.clock)
	n.groupWatcher = coordinator.NewGroupWatcher(n.coordination, n.members.Leaving(), n.clock)
	maxBytes := int(segmentBytes(n.settings.Limits.DiskMb)) / itemsDivisor
	n.itemCapacity = coordinator.NewCapacity(n.acceptor.Durable, maxBytes, n.clock)
}

// coordinationService implements coordinationapi.Service.
type coordinationService struct {
	node *Node
}

// Do implements coordinationapi.Service.
func (s coordinationService) Do(ctx context.Context, call coordination.Call) (coordination.Result, error) {
	if err := s.admit(call); err != nil {
		return coordination.Result{}, err
	}
	result, err := s.node.coordination.Do(ctx, call)
	if err == nil && call.Operation == coordination.OperationForceRelease {
		logrus.WithFields(logrus.Fields{"lock": call.Name, "fence": result.Fence}).Warn("lock force-released by an operator")
	}
	return result, coordinationError(err)
}

// admit returns an error if the item of a call does not exist and the capacity for items is exhausted.
func (s coordinationService) admit(call coordination.Call) error {
	if s.node.itemCapacity.Admits(call) {
		return nil
	}
	return apierror.New(apierror.CoordinationFull, "no room for further names")
}

// Items implements coordinationapi.Service.
func (s coordinationService) Items() []coordination.ItemSummary {
	return coordinator.ItemSummaries(s.node.acceptor.Durable())
}

// WatchCounts implements coordinationapi.Service.
func (s coordinationService) WatchCounts() map[string]int { return s.node.groupWatcher.Counts() }

// Watch implements coordinationapi.Service.
func (s coordinationService) Watch(
	ctx context.Context, group string, after uint64, wait time.Duration,
) (coordination.Result, error) {
	if err := s.admit(coordination.Call{Kind: coordination.KindGroup, Name: group}); err != nil {
		return coordination.Result{}, err
	}
	result, err := s.node.groupWatcher.Watch(ctx, group, after, wait)
	return result, coordinationError(err)
}

// coordinationError translates an error of the coordinator to one of package apierror.
func coordinationError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, coordinator.ErrNotExecuted):
		return apierror.New(apierror.NoMajority, "")
	case errors.Is(err, coordinator.ErrOverloaded):
		return apierror.New(apierror.CoordinationOverloaded, "")
	case errors.Is(err, coordinator.ErrExpired):
		return apierror.New(apierror.HistoryExpired, "")
	}
	return apierror.New(apierror.OutcomeUnknown, "")
}
