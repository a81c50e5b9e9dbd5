package controlplane

import (
	"context"
	"maps"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/place"
	"ferryspar/internal/platform"
	"ferryspar/internal/replicastate"
	"ferryspar/internal/retention"
)

const (
	// evictionPatience is how long an eviction may take before the next one begins.
	evictionPatience = 20 * time.Second
	// reloadPatience is how long an idle replica may be without the evicted model before the eviction
	// counts as over.
	reloadPatience = time.Second
	// dueShare is the share of the context's life after which a copy is due for eviction.
	dueShare = 0.75
	// storeItemEvery is the least time between two writes of a forget item's progress.
	storeItemEvery = 300 * time.Millisecond
)

// contextEviction is the work on forgetting context at replicas. A replica's context goes with its
// model's copy, so copies are unloaded and loaded again, one at a time. The scheduler's lock guards
// ages; the rest belongs to the scheduler's goroutine.
type contextEviction struct {
	ages *copyAges
	// cleared holds the pairs done that are not stored yet, as clearedKey names them.
	cleared map[string]bool
	// running is the "replica model" being evicted, or empty.
	running   string
	startedAt time.Time
	storedAt  time.Time
	storing   bool
}

// newContextEviction knows of no copies yet.
func newContextEviction() *contextEviction {
	return &contextEviction{ages: newCopyAges(), cleared: map[string]bool{}}
}

// noteAges takes in a list that changed. Any goroutine may call it.
func (w *Scheduler) noteAges(replicas []platform.Replica) {
	now := w.daemon.clock()
	w.lock.Lock()
	defer w.lock.Unlock()
	w.eviction.ages.note(replicas, now)
}

// planEviction brings the forget items up to date and tells the planner which copies to evict:
// those that items name, then those past their share of the context's life.
func (w *Scheduler) planEviction(ctx context.Context, snapshot *Snapshot, view *place.View) {
	w.checkRunning(view.Now)
	view.ContextEvictionInProgress = w.eviction.running != ""
	for _, item := range snapshot.Forgets.Purges {
		if !item.HasPendingTargets() {
			continue
		}
		if !item.TargetsListed {
			w.countPairs(ctx, item)
			continue
		}
		w.updateItem(ctx, item)
		for _, pair := range item.Targets {
			if pair.State == retention.Pending && !w.eviction.cleared[clearedKey(item.Number, pair)] {
				view.ContextEvictions = append(view.ContextEvictions, place.ServerModel{Server: pair.Replica, Model: pair.Model})
			}
		}
	}
	view.ContextEvictions = append(view.ContextEvictions, w.dueCopies(snapshot.Retention, view.Now)...)
}

// clearedKey names a pair of an item.
func clearedKey(number uint64, pair retention.Target) string {
	return strconv.FormatUint(number, 10) + " " + pair.Replica + " " + pair.Model
}

// checkRunning ends the running eviction once its model is back, its replica is gone or its time is
// over.
func (w *Scheduler) checkRunning(now time.Time) {
	if w.eviction.running == "" {
		return
	}
	id, model, _ := strings.Cut(w.eviction.running, " ")
	one := w.managed[id]
	took := now.Sub(w.eviction.startedAt)
	if one == nil || took > evictionPatience {
		w.eviction.running = ""
		return
	}
	idle := one.state.Phase() == replicastate.Idle && one.intent == ""
	if idle && (one.state.Held()[model] || took > reloadPatience) {
		w.eviction.running = ""
	}
}

// dueCopies are the copies that the policy's life makes due, the oldest first.
func (w *Scheduler) dueCopies(policy retention.Policy, now time.Time) []place.ServerModel {
	if policy.LifetimeMs <= 0 {
		return nil
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.eviction.ages.due(policy.Lifetime(), now)
}

// absentCopies are the copies at replicas that the newest list leaves out and that may still be there.
func (w *Scheduler) absentCopies() []place.ServerModel {
	now := w.daemon.clock()
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.eviction.ages.absent(now)
}

// ended tells whether a replica that is not managed is gone for good.
func (w *Scheduler) ended(id string) bool {
	now := w.daemon.clock()
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.eviction.ages.ended(id, now)
}

// countPairs stores which copies an item concerns, once every replica's holdings are known, with those
// at replicas that the list has just left out; only the scope's models count.
func (w *Scheduler) countPairs(ctx context.Context, item retention.Purge) {
	var pairs []retention.Target
	for id, one := range w.managed {
		if !one.state.Known() && one.listed.State != platform.Draining {
			return
		}
		held := maps.Clone(one.state.Held())
		maps.Copy(held, one.state.MayHold())
		for reference := range held {
			if !strings.Contains(reference, "/") && item.Scope.CoversModel(reference) {
				pairs = append(pairs, retention.Target{Replica: id, Model: reference, State: retention.Pending})
			}
		}
	}
	for _, copied := range w.absentCopies() {
		if w.managed[copied.Server] == nil && item.Scope.CoversModel(copied.Model) {
			pairs = append(pairs, retention.Target{Replica: copied.Server, Model: copied.Model, State: retention.Pending})
		}
	}
	sort.Slice(pairs, func(left, right int) bool {
		return pairs[left].Replica+pairs[left].Model < pairs[right].Replica+pairs[right].Model
	})
	w.storeItem(ctx, item.Number, func(next *retention.Purge) bool {
		if next.TargetsListed {
			return false
		}
		next.TargetsListed, next.Targets = true, pairs
		return true
	})
}

// updateItem stores which of an item's copies have been evicted, or are gone with a replica that has
// ended; one that the list has just left out stays pending.
func (w *Scheduler) updateItem(ctx context.Context, item retention.Purge) {
	states := map[retention.Target]string{}
	for _, pair := range item.Targets {
		if pair.State != retention.Pending {
			continue
		}
		one := w.managed[pair.Replica]
		if one == nil {
			if w.ended(pair.Replica) {
				states[pair] = retention.Gone
			}
			continue
		}
		if one.state.Phase() == replicastate.Idle && !one.state.Held()[pair.Model] && !one.state.MayHold()[pair.Model] {
			w.eviction.cleared[clearedKey(item.Number, pair)] = true
		}
		if w.eviction.cleared[clearedKey(item.Number, pair)] {
			states[pair] = retention.Done
		}
	}
	if len(states) == 0 {
		return
	}
	w.storeItem(ctx, item.Number, func(next *retention.Purge) bool {
		changed := false
		for pair, state := range states {
			changed = next.ResolveTargets(pair.Replica, pair.Model, state) || changed
		}
		return changed
	})
}

// storeItem changes an item in the key store on a goroutine of its own, one change at a time; what
// it leaves out comes again with a later plan.
func (w *Scheduler) storeItem(ctx context.Context, number uint64, change func(item *retention.Purge) bool) {
	now := w.daemon.clock()
	if w.eviction.storing || now.Sub(w.eviction.storedAt) < storeItemEvery {
		return
	}
	w.eviction.storing, w.eviction.storedAt = true, now
	go func() {
		stored := w.daemon.changeForget(ctx, number, change)
		w.results <- func() {
			w.eviction.storing = false
			logrus.WithFields(logrus.Fields{"number": number, "stored": stored}).Info("forgetting goes on")
		}
	}()
}
