package controlplane

import (
	"context"
	"strings"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/placement"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

const (
	// cordonLeadTime is how long data planes are given to stop using a model before it is unloaded.
	cordonLeadTime = 220 * time.Millisecond
	// diskLoadTimeShare is the expected share of the load time that a load from the replica's own disk takes.
	diskLoadTimeShare = 0.2
)

// startAction ties the planner's action to what is known of its replica and sends the order, an unload only after the data
// planes had time to stop using the model.
func (s *Scheduler) startAction(ctx context.Context, action placement.Action, now time.Time) {
	tracked := s.tracked[action.Server]
	order, possible := tracked.state.Decide(replicastate.Change{Load: action.Load, Reference: action.Model}, now)
	if !possible {
		return
	}
	tracked.pendingAction = &action
	tracked.startedAt = now
	s.recordOrderedLoad(action, now)
	delay := time.Duration(0)
	if !action.Load {
		s.cordonReferences(tracked, action.Model)
		delay = cordonLeadTime
	}
	address := tracked.listed.Address
	go func() {
		nodesettings.Sleep(ctx, delay)
		status, err := s.sendOrder(ctx, address, action.Server, order)
		s.callbacks <- func() { s.handleOrderResponse(tracked, order, status, err) }
	}()
}

// cordonReferences has the edges stop using what is to be unloaded: the model or adapter, and a
// model's adapters with it.
func (s *Scheduler) cordonReferences(tracked *trackedReplica, unloaded string) {
	tracked.cordoned[tracked.listed.ID+" "+unloaded] = true
	for reference := range tracked.state.Loaded() {
		if strings.HasPrefix(reference, unloaded+"/") {
			tracked.cordoned[tracked.listed.ID+" "+reference] = true
		}
	}
	tracked.unpublished = true
	s.unpublished = true
}

// sendOrder sends an order under the grant that it was decided under, and returns the status of the answer. The
// status is 0 without an error if that grant no longer allows it; then nothing was sent. It runs on a goroutine of its
// own and touches no state of the scheduler but the lease.
func (s *Scheduler) sendOrder(ctx context.Context, address, id string, order replicastate.Order) (int, error) {
	grant := s.currentGrant.Load()
	if !grant.Allows(s.node.clock(), orderLeaseMargin) || grant.Record.Fence != order.Fence {
		return 0, nil
	}
	model, adapter, _ := strings.Cut(order.Reference, "/")
	operation := replica.OperationUnload
	if order.Load {
		operation = replica.OperationLoad
	}
	return s.commander.SendOrder(ctx, address, id, replica.Order{
		Operation:     operation,
		Model:         model,
		Adapter:       adapter,
		LeaseHolder:   grant.Record.Holder,
		Fence:         grant.Record.Fence,
		ExpectedCount: order.Expected,
	})
}
