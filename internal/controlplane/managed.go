package controlplane

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/eventbus"
	"ferryspar/internal/placement"
)

// adoptReplicaList follows the replicas of the platform's list: new ones are managed, their reports still
// unknown, and those that are gone are let go. A list seen before is skipped by its identity.
func (s *Scheduler) adoptReplicaList(listed []discovery.Replica, readAt time.Time) {
	if len(listed) > 0 && s.adoptedList == &listed[0] && len(s.tracked) == len(listed) {
		return
	}
	now := s.node.clock()
	s.adoptedList = nil
	s.dirty = true
	s.sortedIDs = s.sortedIDs[:0]
	present := make(map[string]bool, len(listed))
	for index := range listed {
		listedReplica := &listed[index]
		present[listedReplica.ID] = true
		s.sortedIDs = append(s.sortedIDs, listedReplica.ID)
		known := s.tracked[listedReplica.ID]
		if known == nil {
			known = s.track(listedReplica)
			s.tracked[listedReplica.ID] = known
		}
		known.confirmedByList = known.confirmedByList && sameModels(known.listed.Models, listedReplica.Models)
		known.listed = *listedReplica
		s.recheckContradicted(known, readAt, now)
		s.recordListedModels(*listedReplica)
	}
	sort.Strings(s.sortedIDs)
	s.sortedIDs = slices.Compact(s.sortedIDs)
	for id, tracked := range s.tracked {
		s.recordAbsence(id, tracked, present[id], now)
	}
	if len(listed) > 0 {
		s.adoptedList = &listed[0]
	}
}

// recordAbsence lets a replica go that the list has left out for long. For a while it is kept: its order and what is known
// of it belong to it still if a later list shows it again.
func (s *Scheduler) recordAbsence(id string, tracked *trackedReplica, present bool, now time.Time) {
	if present {
		tracked.absentSince = time.Time{}
		return
	}
	if tracked.absentSince.IsZero() {
		tracked.absentSince = now
	}
	if now.Sub(tracked.absentSince) >= absenceTimeout {
		delete(s.tracked, id)
		s.unpublished = true
	}
}

// recordListedModels notes that a listed replica's disk holds its models, if any is new. Any
// goroutine may call it.
func (s *Scheduler) recordListedModels(listed discovery.Replica) {
	s.lock.Lock()
	defer s.lock.Unlock()
	known := s.modelsOnDisk[diskKey(listed)]
	for _, model := range listed.Models {
		if !known[model.Name] {
			s.recordModelsOnDisk(listed, loadedReferences(listed.Models))
			return
		}
	}
}

// publishObserved gives the roster what the scheduler knows better than the list: the models reported
// since and the references being unloaded. It then publishes the roster.
func (s *Scheduler) publishObserved() {
	now := s.node.clock()
	s.lock.Lock()
	for id := range s.observed {
		if s.tracked[id] == nil {
			delete(s.observed, id)
		}
	}
	for id, tracked := range s.tracked {
		if _, published := s.observed[id]; published && !tracked.unpublished {
			continue
		}
		tracked.unpublished = false
		next := observedState{reportedAt: tracked.reportedAt, models: loadedModels(tracked.state.Loaded())}
		for name := range tracked.cordoned {
			next.cordoned = append(next.cordoned, name)
		}
		s.observed[id] = next
	}
	s.lock.Unlock()
	s.unpublished, s.publishedAt = false, now
	s.node.roster.Publish()
	_ = s.node.bus.Publish(eventbus.TopicPlacementChanged, len(s.tracked))
}

// withdrawObserved takes back what publishObserved has given: another daemon may know better.
func (s *Scheduler) withdrawObserved() {
	s.lock.Lock()
	published := len(s.observed) > 0
	clear(s.observed)
	s.lock.Unlock()
	if !published {
		return
	}
	s.unpublished = true
	s.node.roster.Publish()
	_ = s.node.bus.Publish(eventbus.TopicPlacementChanged, 0)
}

// loadedModels lists a set of references as the platform's list does, ordered by name.
func loadedModels(models map[string]bool) []discovery.LoadedModel {
	adapters := map[string][]string{}
	for reference := range models {
		model, adapter, _ := strings.Cut(reference, "/")
		if adapters[model] == nil {
			adapters[model] = []string{}
		}
		if adapter != "" {
			adapters[model] = append(adapters[model], adapter)
		}
	}
	var list []discovery.LoadedModel
	for model, names := range adapters {
		sort.Strings(names)
		list = append(list, discovery.LoadedModel{Name: model, Revision: 1, Adapters: names})
	}
	sort.Slice(list, func(left, right int) bool { return list[left].Name < list[right].Name })
	return list
}

// remember adds models to those that a replica once held, so that its disk may have them; the set
// is replaced, never changed, because planner inputs keep it. The caller holds the lock.
func (s *Scheduler) recordModelsOnDisk(listed discovery.Replica, models map[string]bool) {
	disk := diskKey(listed)
	known := s.modelsOnDisk[disk]
	var next map[string]bool
	for reference := range models {
		if known[reference] || strings.Contains(reference, "/") {
			continue
		}
		if next == nil {
			if next = maps.Clone(known); next == nil {
				next = map[string]bool{}
			}
			s.modelsOnDisk[disk] = next
		}
		next[reference] = true
	}
}

// addServers adds the managed replicas to the planner's input.
func (s *Scheduler) addServers(view *placement.View, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, id := range s.sortedIDs {
		tracked := s.tracked[id]
		if !isPlacementTarget(view.Table, tracked.listed.Backend) {
			continue
		}
		view.Servers = append(view.Servers, &placement.Server{
			ID:          id,
			Backend:     tracked.listed.Backend,
			Zone:        tracked.listed.Zone,
			Draining:    tracked.listed.State == discovery.Draining,
			Lost:        s.aggregator.IsSuspected(id),
			Loaded:      tracked.state.CertainlyLoaded(),
			MaybeLoaded: tracked.state.PossiblyLoaded(),
			OnDisk:      s.modelsOnDisk[diskKey(tracked.listed)],
			Intent:      tracked.intent,
			Ready:       tracked.state.IsReady(now),
		})
	}
}

// loadedReferences is the set of references of a replica's models and adapters.
func loadedReferences(models []discovery.LoadedModel) map[string]bool {
	found := map[string]bool{}
	for _, model := range models {
		found[model.Name] = true
		for _, adapter := range model.Adapters {
			found[placement.Reference(model.Name, adapter)] = true
		}
	}
	return found
}
