package controlplane

import (
	"context"
	"ferryspar/internal/event"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
	"ferryspar/internal/replica"
	"sort"
	"strings"
	"time"
)

func (w *Warden) follow(listed []platform.Replica) {
	present := map[string]bool{}
	for _, one := range listed {
		present[one.ID] = true
		if w.charges[one.ID] == nil {
			w.charges[one.ID] = &charge{models: references(one.Models), barred: map[string]bool{}}
		}
		w.charges[one.ID].listed = one
		w.notice(one)
	}
	for id := range w.charges {
		if !present[id] {
			delete(w.charges, id)
		}
	}
}

func (w *Warden) notice(listed platform.Replica) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.remember(listed.Address, references(listed.Models))
}

func (w *Warden) showOverlays() {
	shown := map[string]overlay{}
	for id, one := range w.charges {
		next := overlay{at: one.overlayAt, models: held(one.models)}
		for name := range one.barred {
			next.barred = append(next.barred, name)
		}
		shown[id] = next
	}
	w.lock.Lock()
	w.overlays = shown
	w.lock.Unlock()
	w.daemon.publishRoster()
	_ = w.daemon.bus.Publish(event.Placement, len(shown))
}

func held(models map[string]bool) []platform.Held {
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
	var list []platform.Held
	for model, names := range adapters {
		sort.Strings(names)
		list = append(list, platform.Held{Name: model, Revision: 1, Adapters: names})
	}
	sort.Slice(list, func(left, right int) bool { return list[left].Name < list[right].Name })
	return list
}

func (w *Warden) remember(address string, models map[string]bool) {
	if w.heldOnce[address] == nil {
		w.heldOnce[address] = map[string]bool{}
	}
	for reference := range models {
		w.heldOnce[address][reference] = true
	}
}

func (w *Warden) look(ctx context.Context, id string, one *charge, now time.Time) {
	due := !one.known || one.pending != nil
	if one.asking || !due || now.Before(one.lookAt) || now.Before(one.blocked) {
		return
	}
	one.asking = true
	address := one.listed.Address
	go func() {
		state, err := w.commander.Report(ctx, address, id)
		w.results <- func() { w.looked(one, state, err) }
	}()
}

func (w *Warden) looked(one *charge, state replica.State, err error) {
	now := w.daemon.clock()
	one.asking = false
	one.lookAt = now.Add(busyPause)
	if err != nil {
		one.lookAt = now.Add(2 * busyPause)
		return
	}
	if state.Busy || state.Sequence < one.sequence {
		return
	}
	if one.pending != nil && one.pending.Load != references(state.Models)[one.pending.Model] {
		if one.doubts++; one.doubts < doubtsNeeded || now.Sub(one.began) < reportLag {
			return
		}
	}
	one.doubts = 0
	one.models = references(state.Models)
	one.overlayAt = now
	one.sequence = state.Sequence
	one.known = true
	one.pending = nil
	one.barred = map[string]bool{}
	w.lock.Lock()
	w.remember(one.listed.Address, one.models)
	w.lock.Unlock()
	w.showOverlays()
}

func (w *Warden) server(id string, one *charge, now time.Time) *place.Server {
	server := &place.Server{
		ID: id, Backend: one.listed.Backend, Area: one.listed.Area, Draining: one.listed.State == platform.Draining, Lost: w.suspects(id, now), Models: map[string]bool{},
		Held: w.heldOnce[one.listed.Address], Intent: one.intent, Ready: one.known && one.pending == nil && !one.asking && !now.Before(one.blocked),
	}
	for reference := range one.models {
		server.Models[reference] = true
	}
	return server
}

func (w *Warden) suspects(id string, now time.Time) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	suspected, told := 0, 0
	for _, one := range w.told {
		if now.Sub(one.at) > time.Second {
			continue
		}
		told += one.share.Daemons
		suspected += one.share.Suspects[id]
	}
	return suspected >= suspectsNeeded || suspected > 0 && suspected == told
}

func references(models []platform.Held) map[string]bool {
	found := map[string]bool{}
	for _, held := range models {
		found[held.Name] = true
		for _, adapter := range held.Adapters {
			found[place.Reference(held.Name, adapter)] = true
		}
	}
	return found
}
