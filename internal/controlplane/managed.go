package controlplane

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"ferryspar/internal/event"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
)

// adoptList follows the replicas of the platform's list: new ones are managed, their reports still
// unknown, and those that are gone are let go. A list seen before is skipped by its identity.
func (w *Scheduler) adoptList(listed []platform.Replica, readAt time.Time) {
	if len(listed) > 0 && w.followed == &listed[0] && len(w.managed) == len(listed) {
		return
	}
	now := w.daemon.clock()
	w.followed = nil
	w.stirred = true
	w.order = w.order[:0]
	present := make(map[string]bool, len(listed))
	for index := range listed {
		one := &listed[index]
		present[one.ID] = true
		w.order = append(w.order, one.ID)
		managed := w.managed[one.ID]
		if managed == nil {
			managed = w.manage(one)
			w.managed[one.ID] = managed
		}
		managed.matched = managed.matched && sameModels(managed.listed.Models, one.Models)
		managed.listed = *one
		w.recheckContradicted(managed, readAt, now)
		w.rememberListed(*one)
	}
	sort.Strings(w.order)
	w.order = slices.Compact(w.order)
	for id, one := range w.managed {
		w.noteAbsence(id, one, present[id], now)
	}
	if len(listed) > 0 {
		w.followed = &listed[0]
	}
}

// noteAbsence lets a replica go that the list has left out for long. For a while it is kept: its order and what is known
// of it belong to it still if a later list shows it again.
func (w *Scheduler) noteAbsence(id string, one *managedReplica, present bool, now time.Time) {
	if present {
		one.absentSince = time.Time{}
		return
	}
	if one.absentSince.IsZero() {
		one.absentSince = now
	}
	if now.Sub(one.absentSince) >= absenceKept {
		delete(w.managed, id)
		w.unshown = true
	}
}

// rememberListed notes that a listed replica's disk holds its models, if any is new. Any
// goroutine may call it.
func (w *Scheduler) rememberListed(listed platform.Replica) {
	w.lock.Lock()
	defer w.lock.Unlock()
	known := w.heldOnce[diskOf(listed)]
	for _, one := range listed.Models {
		if !known[one.Name] {
			w.remember(listed, references(listed.Models))
			return
		}
	}
}

// showOverlays gives the roster what the scheduler knows better than the list: the models reported
// since and the references being unloaded. It then publishes the roster.
func (w *Scheduler) showOverlays() {
	now := w.daemon.clock()
	w.lock.Lock()
	for id := range w.overlays {
		if w.managed[id] == nil {
			delete(w.overlays, id)
		}
	}
	for id, one := range w.managed {
		if _, shown := w.overlays[id]; shown && !one.stale {
			continue
		}
		one.stale = false
		next := overlay{at: one.overlayAt, models: heldModels(one.state.Held())}
		for name := range one.barred {
			next.barred = append(next.barred, name)
		}
		w.overlays[id] = next
	}
	w.lock.Unlock()
	w.unshown, w.shown = false, now
	w.daemon.publishRoster()
	_ = w.daemon.bus.Publish(event.TopicPlacementChanged, len(w.managed))
}

// hideOverlays takes back what showOverlays has given: another daemon may know better.
func (w *Scheduler) hideOverlays() {
	w.lock.Lock()
	shown := len(w.overlays) > 0
	clear(w.overlays)
	w.lock.Unlock()
	if !shown {
		return
	}
	w.unshown = true
	w.daemon.publishRoster()
	_ = w.daemon.bus.Publish(event.TopicPlacementChanged, 0)
}

// heldModels lists a set of references as the platform's list does, ordered by name.
func heldModels(models map[string]bool) []platform.LoadedModel {
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
	var list []platform.LoadedModel
	for model, names := range adapters {
		sort.Strings(names)
		list = append(list, platform.LoadedModel{Name: model, Revision: 1, Adapters: names})
	}
	sort.Slice(list, func(left, right int) bool { return list[left].Name < list[right].Name })
	return list
}

// remember adds models to those that a replica once held, so that its disk may have them; the set
// is replaced, never changed, because planner inputs keep it. The caller holds the lock.
func (w *Scheduler) remember(listed platform.Replica, models map[string]bool) {
	disk := diskOf(listed)
	known := w.heldOnce[disk]
	var next map[string]bool
	for reference := range models {
		if known[reference] || strings.Contains(reference, "/") {
			continue
		}
		if next == nil {
			if next = maps.Clone(known); next == nil {
				next = map[string]bool{}
			}
			w.heldOnce[disk] = next
		}
		next[reference] = true
	}
}

// addServers adds the managed replicas to the planner's input.
func (w *Scheduler) addServers(view *place.View, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, id := range w.order {
		one := w.managed[id]
		if !isPlaced(view.Table, one.listed.Backend) {
			continue
		}
		view.Servers = append(view.Servers, &place.Server{
			ID:          id,
			Backend:     one.listed.Backend,
			Zone:        one.listed.Zone,
			Draining:    one.listed.State == platform.Draining,
			Lost:        w.tally.IsSuspected(id),
			Loaded:      one.state.SurelyHeld(),
			MaybeLoaded: one.state.MayHold(),
			OnDisk:      w.heldOnce[diskOf(one.listed)],
			Intent:      one.intent,
			Ready:       one.state.Ready(now),
		})
	}
}

// references is the set of references of a replica's models and adapters.
func references(models []platform.LoadedModel) map[string]bool {
	found := map[string]bool{}
	for _, held := range models {
		found[held.Name] = true
		for _, adapter := range held.Adapters {
			found[place.Reference(held.Name, adapter)] = true
		}
	}
	return found
}
