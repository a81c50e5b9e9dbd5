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

// historyMargin is how much longer than the settings' historyS puts are kept: a watch may have been given a revision by a node that
// was behind, and a caller may send a put again for some seconds.
const historyMargin = 15 * time.Second

// itemsDivisor: the values of all items together take this part of a segment of the write-ahead log, which must hold everything.
const itemsDivisor = 4

// coordinationFleet is a node as its coordinator.Router sees it.
type coordinationFleet struct {
	node *Node
}

// Members implements coordinator.Fleet.
func (f coordinationFleet) Members() []string { return f.node.store.Membership().Current }

// IsReachable implements coordinator.Fleet.
func (f coordinationFleet) IsReachable(address string) bool {
	return f.node.members.IsReachable(address, f.node.clock())
}

// MayOwn implements coordinator.Fleet.
func (f coordinationFleet) MayOwn() bool {
	return f.node.acceptor.LocalState().Voting && !f.node.members.IsLeaving()
}

// IsConfirmed implements coordinator.Fleet.
func (f coordinationFleet) IsConfirmed() bool {
	return f.node.publisher.Current().IsFresh(f.node.clock())
}

// LastOwner implements coordinator.Fleet.
func (f coordinationFleet) LastOwner(key string) string {
	return f.node.acceptor.Durable()[key].Promised.Proposer
}

// openCoordination makes the parts that carry out calls of applications.
func (n *Node) openCoordination() {
	history := nodesettings.Seconds(n.settings.TimingBounds.HistoryS) + historyMargin
	executor := coordinator.NewExecutor(n.store, coordination.Config{EventRetention: history}, n.clock)
	caller := peer.NewClient(n.network)
	n.coordination = coordinator.NewRouter(n.self, coordinationFleet{n}, caller, executor, n.clock)
	n.watches = coordinator.NewWatches(n.coordination, n.members.Leaving(), n.clock)
	maxBytes := int(segmentBytes(n.settings.Limits.DiskMb)) / itemsDivisor
	n.itemCapacity = coordinator.NewCapacity(n.acceptor.Durable, maxBytes, n.clock)
}

// coordinationService is a node as coordinationapi sees it.
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
		logrus.WithFields(logrus.Fields{"lock": call.Name, "fence": result.Fence}).Warn("lock taken from its holder by an operator")
	}
	return result, coordinationError(err)
}

// admit returns an error if the item of a call is new and there is no room for it.
func (s coordinationService) admit(call coordination.Call) error {
	if s.node.itemCapacity.Admits(call) {
		return nil
	}
	return apierror.New(apierror.CoordinationFull, "no room for further names")
}

// Items implements coordinationapi.Service.
func (s coordinationService) Items() []coordination.ItemSummary {
	return coordinator.Summaries(s.node.acceptor.Durable())
}

// WatchCounts implements coordinationapi.Service.
func (s coordinationService) WatchCounts() map[string]int { return s.node.watches.Counts() }

// Watch implements coordinationapi.Service.
func (s coordinationService) Watch(
	ctx context.Context, group string, after uint64, wait time.Duration,
) (coordination.Result, error) {
	if err := s.admit(coordination.Call{Kind: coordination.KindGroup, Name: group}); err != nil {
		return coordination.Result{}, err
	}
	result, err := s.node.watches.Watch(ctx, group, after, wait)
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
