package scheduler

import (
	"context"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/replicatracker"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
	"ferryspar/internal/retention"
)

const (
	// evictionTimeout is the maximum duration of an eviction; after it the next one may start.
	evictionTimeout = 20 * time.Second
	// reloadTimeout is how long the evicted model may be missing from an idle replica before the eviction counts as finished.
	reloadTimeout = time.Second
	// purgeWriteInterval is the minimum interval between two writes of purge progress.
	purgeWriteInterval = 300 * time.Millisecond
)

// purgeTarget is one copy of a model that is covered by a purge.
type purgeTarget struct {
	purge   uint64
	replica string
	model   string
}

func targetOf(purge uint64, target retention.Target) purgeTarget {
	return purgeTarget{purge: purge, replica: target.Replica, model: target.Model}
}

// contextEviction evicts cached context from replicas. The context of a model is freed only by unloading the model, so copies
// are unloaded and reloaded, one at a time. It is used only by the planning loop.
type contextEviction struct {
	tracker    *replicatracker.Tracker
	copies     *CopyAges
	purges     PurgeStore
	clock      func() time.Time
	background *background

	// evicted holds the evicted targets whose state has not been stored yet.
	evicted map[purgeTarget]bool
	// running is the copy being evicted since startedAt; empty if there is none.
	running   placement.ModelCopy
	startedAt time.Time
	// writing is true while a purge is being written; writtenAt is when the last write started.
	writing   bool
	writtenAt time.Time
}

// plan updates the progress of the purges and tells the planner which copies to evict: first those named by purges, then those
// past dueAgeShare of the context lifetime.
func (e *contextEviction) plan(ctx context.Context, state *State, view *placement.View) {
	e.checkRunning(view.Now)
	view.ContextEvictionInProgress = e.isRunning()
	for _, purge := range state.Purges {
		if !purge.HasPendingTargets() {
			continue
		}
		if !purge.TargetsListed {
			e.storeTargets(ctx, purge)
			continue
		}
		e.updateProgress(ctx, purge)
		for _, target := range purge.Targets {
			if target.State == retention.Pending && !e.evicted[targetOf(purge.Number, target)] {
				evicted := placement.ModelCopy{Server: target.Replica, Model: target.Model}
				view.ContextEvictions = append(view.ContextEvictions, evicted)
			}
		}
	}
	view.ContextEvictions = append(view.ContextEvictions, e.copies.due(state.Retention.Lifetime(), view.Now)...)
}

// recordAction records an action that starts the eviction of a copy.
func (e *contextEviction) recordAction(action placement.Action, now time.Time) {
	if action.Reason != placement.ContextEvictionReason {
		return
	}
	e.running = placement.ModelCopy{Server: action.Server, Model: action.Model}
	e.startedAt = now
}

func (e *contextEviction) isRunning() bool { return e.running != placement.ModelCopy{} }

// checkRunning ends the running eviction when its model is loaded again, its replica is gone or it has timed out.
func (e *contextEviction) checkRunning(now time.Time) {
	if !e.isRunning() {
		return
	}
	tracked := e.tracker.Replica(e.running.Server)
	elapsed := now.Sub(e.startedAt)
	if tracked == nil || elapsed > evictionTimeout {
		e.running = placement.ModelCopy{}
		return
	}
	if tracked.IsIdle() && (tracked.State().Loaded()[e.running.Model] || elapsed > reloadTimeout) {
		e.running = placement.ModelCopy{}
	}
}

// storeTargets stores the copies that a purge covers, as soon as the loaded models of every replica are known. It includes
// copies on replicas that are briefly missing from the list.
func (e *contextEviction) storeTargets(ctx context.Context, purge retention.Purge) {
	var targets []retention.Target
	add := func(replica, model string) {
		if purge.Scope.CoversModel(model) {
			targets = append(targets, retention.Target{Replica: replica, Model: model, State: retention.Pending})
		}
	}
	for tracked := range e.tracker.All() {
		if !tracked.State().IsKnown() && !tracked.IsDraining() {
			return
		}
		for _, model := range tracked.PossibleModels() {
			add(tracked.ID(), model)
		}
	}
	for _, modelCopy := range e.copies.absent(e.clock()) {
		if e.tracker.Replica(modelCopy.Server) == nil {
			add(modelCopy.Server, modelCopy.Model)
		}
	}
	sort.Slice(targets, func(left, right int) bool {
		return targets[left].Replica+targets[left].Model < targets[right].Replica+targets[right].Model
	})
	e.write(ctx, purge.Number, func(next *retention.Purge) bool {
		if next.TargetsListed {
			return false
		}
		next.TargetsListed, next.Targets = true, targets
		return true
	})
}

// updateProgress stores which of a purge's copies have been evicted or have disappeared with a removed replica. Copies on a
// replica that is briefly missing from the list stay pending.
func (e *contextEviction) updateProgress(ctx context.Context, purge retention.Purge) {
	states := map[retention.Target]retention.State{}
	for _, target := range purge.Targets {
		if target.State != retention.Pending {
			continue
		}
		tracked := e.tracker.Replica(target.Replica)
		if tracked == nil {
			if e.copies.IsRemoved(target.Replica, e.clock()) {
				states[target] = retention.Gone
			}
			continue
		}
		key := targetOf(purge.Number, target)
		if tracked.State().Phase() == replicastate.Idle && !tracked.MayHaveLoaded(target.Model) {
			e.evicted[key] = true
		}
		if e.evicted[key] {
			states[target] = retention.Done
		}
	}
	if len(states) == 0 {
		return
	}
	e.write(ctx, purge.Number, func(next *retention.Purge) bool {
		changed := false
		for target, state := range states {
			changed = next.ResolveTargets(target.Replica, target.Model, state) || changed
		}
		return changed
	})
}

// write updates a purge in the key store in the background, one update at a time. An update that is skipped is made by a later
// plan.
func (e *contextEviction) write(ctx context.Context, number uint64, change func(purge *retention.Purge) bool) {
	now := e.clock()
	if e.writing || now.Sub(e.writtenAt) < purgeWriteInterval {
		return
	}
	e.writing, e.writtenAt = true, now
	e.background.run(func() func() {
		stored := e.purges.UpdatePurge(ctx, number, change)
		return func() {
			e.writing = false
			logrus.WithFields(logrus.Fields{"purge": number, "stored": stored}).Info("purge progress written")
		}
	})
}
