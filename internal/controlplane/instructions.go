package controlplane

import (
	"context"
	"strings"
	"time"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/place"
	"ferryspar/internal/replica"
)

const (
	// reportLag is how long after an accepted change a report may still tell the state before.
	reportLag = 250 * time.Millisecond
	// mismatchesNeeded is how many reports against a pending change end it.
	mismatchesNeeded = 3
	// unknownPause is the wait for a report after an instruction without a clear answer.
	unknownPause = 1500 * time.Millisecond
	// busyPause is the wait before a replica is asked again.
	busyPause = 250 * time.Millisecond
	// refusedPause is how long a replica that rejects an instruction is left alone.
	refusedPause = 4 * time.Second
	// barTime is how long data planes are given to stop using a model before it is unloaded.
	barTime = 220 * time.Millisecond
	// diskShare is the expected share of the load time that a load from the replica's own disk takes.
	diskShare = 0.2
	// longestChange is when a replica is asked for its report although nothing was heard of a change.
	longestChange = 60 * time.Second
)

// startAction marks a load or unload as pending and sends its instruction, an unload only after the
// data planes had time to stop using the model.
func (w *Scheduler) startAction(ctx context.Context, action place.Action, now time.Time) {
	one := w.managed[action.Server]
	one.pending = &action
	one.began = now
	one.pollAt = now.Add(longestChange)
	w.orderFromStore(action, now)
	pause := time.Duration(0)
	if !action.Load {
		w.barReferences(one, action)
		pause = barTime
	}
	address := one.listed.Address
	go func() {
		nodesettings.Sleep(ctx, pause)
		status, err := w.sendInstruction(ctx, address, action)
		w.results <- func() { w.onAnswer(one, action, status, err) }
	}()
}

// barReferences has the edges stop using what is to be unloaded: the model or adapter, and a
// model's adapters with it.
func (w *Scheduler) barReferences(one *managedReplica, action place.Action) {
	one.barred[action.Server+" "+action.Model] = true
	for reference := range one.models {
		if strings.HasPrefix(reference, action.Model+"/") {
			one.barred[action.Server+" "+reference] = true
		}
	}
	one.stale = true
	w.unshown = true
}

// sendInstruction sends the instruction and returns the status of the answer. The status is 0
// without an error if the lease no longer allows it; then nothing was sent. It runs on a goroutine
// of its own and touches no state of the scheduler but the lease.
func (w *Scheduler) sendInstruction(ctx context.Context, address string, action place.Action) (int, error) {
	hold := w.hold.Load()
	if !hold.Allows(w.daemon.clock(), orderNeeds) {
		return 0, nil
	}
	model, adapter, _ := strings.Cut(action.Model, "/")
	operation := replica.OperationUnload
	if action.Load {
		operation = replica.OperationLoad
	}
	return w.commander.Order(ctx, address, action.Server, replica.Instruction{
		Operation: operation,
		Model:     model,
		Adapter:   adapter,
		Holder:    hold.Record.Holder,
		Fence:     hold.Record.Fence,
	})
}
