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
	// evictionTimeout is how long an eviction may take before the next one begins.
	evictionTimeout = 20 * time.Second
	// reloadTimeout is how long an idle replica may be without the evicted model before the eviction counts as over.
	reloadTimeout = time.Second
	// purgeWriteInterval is the least time between two writes of a purge's progress.
	purgeWriteInterval = 300 * time.Millisecond
)

// purgeTarget is one copy of a model that a purge concerns.
type purgeTarget struct {
	purge   uint64
	replica string
	model   string
}

func targetOf(purge uint64, target retention.Target) purgeTarget {
	return purgeTarget{purge: purge, replica: target.Replica, model: target.Model}
}

// contextEviction is the work on purging cached context at replicas. A replica's context goes with its copy of the model, so
// copies are unloaded and loaded again, one at a time. The planning loop alone uses it.
type contextEviction struct {
	tracker    *replicatracker.Tracker
	copies     *CopyAges
	purges     PurgeStore
	clock      func() time.Time
	background *background

	// evicted holds the targets evicted whose state is not stored yet.
	evicted map[purgeTarget]bool
	// running is the copy being evicted, started at startedAt; empty if there is none.
	running   placement.ModelCopy
	startedAt time.Time
	// writing is set while a purge is being written, the last time from writtenAt on.
	writing   bool
	writtenAt time.Time
}

// plan brings the purges up to date and tells the planner which copies to evict: those that purges name, then those past
// their share of the context's lifetime.
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

// recordAction notes an action that begins the eviction of a copy.
func (e *contextEviction) recordAction(action placement.Action, now time.Time) {
	if action.Reason != placement.ContextEvictionReason {
		return
	}
	e.running = placement.ModelCopy{Server: action.Server, Model: action.Model}
	e.startedAt = now
}

func (e *contextEviction) isRunning() bool { return e.running != placement.ModelCopy{} }

// checkRunning ends the running eviction once its model is back, its replica is gone or its time is over.
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

// storeTargets stores which copies a purge concerns, once it is known of every replica what it has loaded: those of its
// scope's models, also at replicas that the list has just left out.
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

// updateProgress stores which of a purge's copies have been evicted, or are gone with a removed replica; one that the list
// has just left out stays pending.
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

// write changes a purge in the key store in the background, one change at a time; what it leaves out comes again with a
// later plan.
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
