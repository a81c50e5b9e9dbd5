package controlplane

import (
	"context"
	"maps"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/controlplane/watch"
	"ferryspar/internal/discovery"
	"ferryspar/internal/placement"
	"ferryspar/internal/replicastate"
	"ferryspar/internal/retention"
)

const (
	// evictionTimeout is how long an eviction may take before the next one begins.
	evictionTimeout = 20 * time.Second
	// reloadTimeout is how long an idle replica may be without the evicted model before the eviction
	// counts as over.
	reloadTimeout = time.Second
	// dueAgeShare is the share of the context's life after which a copy is due for eviction.
	dueAgeShare = 0.75
	// forgetWriteInterval is the least time between two writes of a forget item's progress.
	forgetWriteInterval = 300 * time.Millisecond
)

// contextEviction is the work on forgetting context at replicas. A replica's context goes with its
// model's copy, so copies are unloaded and loaded again, one at a time. The scheduler's lock guards
// ages; the rest belongs to the scheduler's goroutine.
type contextEviction struct {
	ages *copyAges
	// cleared holds the pairs done that are not stored yet, as pairKey names them.
	evicted map[string]bool
	// running is the "replica model" being evicted, or empty.
	running   string
	startedAt time.Time
	writtenAt time.Time
	writing   bool
}

// newContextEviction knows of no copies yet.
func newContextEviction() *contextEviction {
	return &contextEviction{ages: newCopyAges(), evicted: map[string]bool{}}
}

// recordCopies takes in a list that changed. Any goroutine may call it.
func (s *Scheduler) recordCopies(replicas []discovery.Replica) {
	now := s.node.clock()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.eviction.ages.update(replicas, now)
}

// planEviction brings the forget items up to date and tells the planner which copies to evict:
// those that items name, then those past their share of the context's life.
func (s *Scheduler) planEviction(ctx context.Context, snapshot *watch.Snapshot, view *placement.View) {
	s.checkRunningEviction(view.Now)
	view.ContextEvictionInProgress = s.eviction.running != ""
	for _, item := range snapshot.Forgets.Purges {
		if !item.HasPendingTargets() {
			continue
		}
		if !item.TargetsListed {
			s.storeItemPairs(ctx, item)
			continue
		}
		s.updateItemProgress(ctx, item)
		for _, pair := range item.Targets {
			if pair.State == retention.Pending && !s.eviction.evicted[pairKey(item.Number, pair)] {
				view.ContextEvictions = append(view.ContextEvictions, placement.ServerModel{Server: pair.Replica, Model: pair.Model})
			}
		}
	}
	view.ContextEvictions = append(view.ContextEvictions, s.dueCopies(snapshot.Retention, view.Now)...)
}

// pairKey names a pair of an item.
func pairKey(number uint64, pair retention.Target) string {
	return strconv.FormatUint(number, 10) + " " + pair.Replica + " " + pair.Model
}

// checkRunningEviction ends the running eviction once its model is back, its replica is gone or its time is
// over.
func (s *Scheduler) checkRunningEviction(now time.Time) {
	if s.eviction.running == "" {
		return
	}
	id, model, _ := strings.Cut(s.eviction.running, " ")
	tracked := s.tracked[id]
	duration := now.Sub(s.eviction.startedAt)
	if tracked == nil || duration > evictionTimeout {
		s.eviction.running = ""
		return
	}
	idle := tracked.state.Phase() == replicastate.Idle && tracked.intent == ""
	if idle && (tracked.state.Loaded()[model] || duration > reloadTimeout) {
		s.eviction.running = ""
	}
}

// dueCopies are the copies that the policy's life makes due, the oldest first.
func (s *Scheduler) dueCopies(policy retention.Policy, now time.Time) []placement.ServerModel {
	if policy.LifetimeMs <= 0 {
		return nil
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.eviction.ages.due(policy.Lifetime(), now)
}

// absentCopies are the copies at replicas that the newest list leaves out and that may still be there.
func (s *Scheduler) absentCopies() []placement.ServerModel {
	now := s.node.clock()
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.eviction.ages.absent(now)
}

// ended tells whether a replica that is not managed is gone for good.
func (s *Scheduler) isRemoved(id string) bool {
	now := s.node.clock()
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.eviction.ages.isRemoved(id, now)
}

// storeItemPairs stores which copies an item concerns, once every replica's holdings are known, with those
// at replicas that the list has just left out; only the scope's models count.
func (s *Scheduler) storeItemPairs(ctx context.Context, item retention.Purge) {
	var pairs []retention.Target
	for id, tracked := range s.tracked {
		if !tracked.state.IsKnown() && tracked.listed.State != discovery.Draining {
			return
		}
		loaded := maps.Clone(tracked.state.Loaded())
		maps.Copy(loaded, tracked.state.PossiblyLoaded())
		for reference := range loaded {
			if !strings.Contains(reference, "/") && item.Scope.CoversModel(reference) {
				pairs = append(pairs, retention.Target{Replica: id, Model: reference, State: retention.Pending})
			}
		}
	}
	for _, modelCopy := range s.absentCopies() {
		if s.tracked[modelCopy.Server] == nil && item.Scope.CoversModel(modelCopy.Model) {
			pairs = append(pairs, retention.Target{Replica: modelCopy.Server, Model: modelCopy.Model, State: retention.Pending})
		}
	}
	sort.Slice(pairs, func(left, right int) bool {
		return pairs[left].Replica+pairs[left].Model < pairs[right].Replica+pairs[right].Model
	})
	s.writeItem(ctx, item.Number, func(next *retention.Purge) bool {
		if next.TargetsListed {
			return false
		}
		next.TargetsListed, next.Targets = true, pairs
		return true
	})
}

// updateItemProgress stores which of an item's copies have been evicted, or are gone with a replica that has
// ended; one that the list has just left out stays pending.
func (s *Scheduler) updateItemProgress(ctx context.Context, item retention.Purge) {
	states := map[retention.Target]string{}
	for _, pair := range item.Targets {
		if pair.State != retention.Pending {
			continue
		}
		tracked := s.tracked[pair.Replica]
		if tracked == nil {
			if s.isRemoved(pair.Replica) {
				states[pair] = retention.Gone
			}
			continue
		}
		if tracked.state.Phase() == replicastate.Idle && !tracked.state.Loaded()[pair.Model] && !tracked.state.PossiblyLoaded()[pair.Model] {
			s.eviction.evicted[pairKey(item.Number, pair)] = true
		}
		if s.eviction.evicted[pairKey(item.Number, pair)] {
			states[pair] = retention.Done
		}
	}
	if len(states) == 0 {
		return
	}
	s.writeItem(ctx, item.Number, func(next *retention.Purge) bool {
		changed := false
		for pair, state := range states {
			changed = next.ResolveTargets(pair.Replica, pair.Model, state) || changed
		}
		return changed
	})
}

// writeItem changes an item in the key store on a goroutine of its own, one change at a time; what
// it leaves out comes again with a later plan.
func (s *Scheduler) writeItem(ctx context.Context, number uint64, change func(item *retention.Purge) bool) {
	now := s.node.clock()
	if s.eviction.writing || now.Sub(s.eviction.writtenAt) < forgetWriteInterval {
		return
	}
	s.eviction.writing, s.eviction.writtenAt = true, now
	go func() {
		stored := s.node.changeForget(ctx, number, change)
		s.callbacks <- func() {
			s.eviction.writing = false
			logrus.WithFields(logrus.Fields{"number": number, "stored": stored}).Info("forgetting goes on")
		}
	}()
}
