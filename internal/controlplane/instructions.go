package controlplane

import (
	"context"
	"strings"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/place"
	"ferryspar/internal/replica"
	"ferryspar/internal/replicastate"
)

const (
	// barTime is how long data planes are given to stop using a model before it is unloaded.
	barTime = 220 * time.Millisecond
	// diskShare is the expected share of the load time that a load from the replica's own disk takes.
	diskShare = 0.2
)

// startAction ties the planner's action to what is known of its replica and sends the order, an unload only after the data
// planes had time to stop using the model.
func (w *Scheduler) startAction(ctx context.Context, action place.Action, now time.Time) {
	one := w.managed[action.Server]
	order, possible := one.state.Decide(replicastate.Change{Load: action.Load, Reference: action.Model}, now)
	if !possible {
		return
	}
	one.pending = &action
	one.began = now
	w.orderFromStore(action, now)
	pause := time.Duration(0)
	if !action.Load {
		w.barReferences(one, action.Model)
		pause = barTime
	}
	address := one.listed.Address
	go func() {
		nodesettings.Sleep(ctx, pause)
		status, err := w.sendInstruction(ctx, address, action.Server, order)
		w.results <- func() { w.onAnswer(one, order, status, err) }
	}()
}

// barReferences has the edges stop using what is to be unloaded: the model or adapter, and a
// model's adapters with it.
func (w *Scheduler) barReferences(one *managedReplica, unloaded string) {
	one.barred[one.listed.ID+" "+unloaded] = true
	for reference := range one.state.Held() {
		if strings.HasPrefix(reference, unloaded+"/") {
			one.barred[one.listed.ID+" "+reference] = true
		}
	}
	one.stale = true
	w.unshown = true
}

// sendInstruction sends an order under the grant that it was decided under, and returns the status of the answer. The
// status is 0 without an error if that grant no longer allows it; then nothing was sent. It runs on a goroutine of its
// own and touches no state of the scheduler but the lease.
func (w *Scheduler) sendInstruction(ctx context.Context, address, id string, order replicastate.Order) (int, error) {
	grant := w.hold.Load()
	if !grant.Allows(w.daemon.clock(), orderNeeds) || grant.Record.Fence != order.Fence {
		return 0, nil
	}
	model, adapter, _ := strings.Cut(order.Reference, "/")
	operation := replica.OperationUnload
	if order.Load {
		operation = replica.OperationLoad
	}
	return w.commander.SendOrder(ctx, address, id, replica.Order{
		Operation:     operation,
		Model:         model,
		Adapter:       adapter,
		LeaseHolder:   grant.Record.Holder,
		Fence:         grant.Record.Fence,
		ExpectedCount: order.Expected,
	})
}
