package controlplane

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"time"

	"ferryspar/internal/env"
	"ferryspar/internal/layout"
	"ferryspar/internal/place"
	"ferryspar/internal/replica"
)

const (
	reportLag     = 250 * time.Millisecond
	doubtsNeeded  = 3
	unknownPause  = 1500 * time.Millisecond
	busyPause     = 250 * time.Millisecond
	refusedPause  = 4 * time.Second
	barTime       = 220 * time.Millisecond
	diskShare     = 0.2
	longestExpect = 60 * time.Second
)

func (w *Warden) currentTable(bulletin *Bulletin) *layout.Table {
	if bulletin.Revision == 0 {
		return nil
	}
	if w.table == nil || w.table.Layout.Revision != bulletin.Revision {
		document, err := layout.Unpack(bulletin.Packed)
		if err != nil {
			return w.table
		}
		if read, err := layout.Decode(document); err == nil {
			w.table = layout.Build(read, nil)
		}
	}
	return w.table
}

func (w *Warden) step(ctx context.Context) {
	now := w.daemon.clock()
	bulletin := w.daemon.board.Read()
	table := w.currentTable(bulletin)
	if table == nil || bulletin.RosterAt.IsZero() || now.Sub(bulletin.RosterAt) > 3*time.Second {
		return
	}
	w.follow(w.daemon.roster.listed())
	for id, one := range w.charges {
		if w.runs(table, one) {
			w.look(ctx, id, one, now)
		}
	}
	view := w.view(bulletin, table, now)
	w.cleanse(ctx, bulletin, view)
	for _, action := range place.Plan(view) {
		if action.Why == place.CleanseReason {
			w.cleanser.running, w.cleanser.began = action.Server+" "+action.Model, now
		}
		w.begin(ctx, action, now)
	}
	for _, server := range view.Servers {
		w.charges[server.ID].intent = server.Intent
	}
	w.explain(view, now)
}

func (w *Warden) runs(table *layout.Table, one *charge) bool {
	backend, _, found := table.Backend(one.listed.Backend)
	return found && backend.Runtime != nil
}

func (w *Warden) view(bulletin *Bulletin, table *layout.Table, now time.Time) *place.View {
	view := &place.View{Now: now, Table: table, Pressure: w.copyDemand(), Loading: map[string]int{}, Drained: map[string]bool{}, Tokens: w.tokens(now, table), Learned: w.learned(now)}
	for area, state := range bulletin.Areas {
		view.Drained[area] = state.Drained
	}
	for id, one := range w.charges {
		if !w.runs(table, one) {
			continue
		}
		if one.pending != nil && one.pending.Load {
			view.Loading[place.Key(one.listed.Backend, one.pending.Model)]++
		}
		view.Servers = append(view.Servers, w.server(id, one, now))
	}
	sort.Slice(view.Servers, func(left, right int) bool { return view.Servers[left].ID < view.Servers[right].ID })
	return view
}

const explainEvery = 2 * time.Second

const suspectsNeeded = 2

func (w *Warden) copyDemand() map[string]*place.Pressure {
	w.lock.Lock()
	defer w.lock.Unlock()
	copied := make(map[string]*place.Pressure, len(w.demand))
	for name, demand := range w.demand {
		one := *demand
		copied[name] = &one
	}
	return copied
}

func (w *Warden) tokens(now time.Time, table *layout.Table) float64 {
	span := env.Seconds(w.daemon.settings.TimingBounds.OriginPeriodS)
	kept := w.loads[:0]
	for _, at := range w.loads {
		if now.Sub(at) < span+time.Second {
			kept = append(kept, at)
		}
	}
	w.loads = kept
	rate := 0.0
	for _, backend := range table.Layout.Backends {
		if backend.Runtime != nil {
			rate = max(rate, backend.Runtime.LoadsPerS)
		}
	}
	return rate*span.Seconds() + 1 - float64(len(w.loads))
}

func (w *Warden) begin(ctx context.Context, action place.Action, now time.Time) {
	one := w.charges[action.Server]
	one.pending = &action
	one.began = now
	one.lookAt = now.Add(longestExpect)
	if action.Load && action.Stored && !strings.Contains(action.Model, "/") {
		w.loads = append(w.loads, now)
	}
	pause := time.Duration(0)
	if !action.Load {
		one.barred[action.Server+" "+action.Model] = true
		for reference := range one.models {
			if strings.HasPrefix(reference, action.Model+"/") {
				one.barred[action.Server+" "+reference] = true
			}
		}
		w.showOverlays()
		pause = barTime
	}
	address := one.listed.Address
	go func() {
		env.Sleep(ctx, pause)
		hold := w.hold.Load()
		if !hold.Allows(w.daemon.clock(), orderNeeds) {
			w.results <- func() { w.ordered(one, action, 0, nil) }
			return
		}
		model, adapter, _ := strings.Cut(action.Model, "/")
		operation := replica.OperationUnload
		if action.Load {
			operation = replica.OperationLoad
		}
		status, err := w.commander.Order(ctx, address, action.Server, replica.Instruction{
			Operation: operation, Model: model, Adapter: adapter, Holder: hold.Record.Holder, Fence: hold.Record.Fence,
		})
		w.results <- func() { w.ordered(one, action, status, err) }
	}()
}

type consequence func(w *Warden, one *charge, action place.Action, now time.Time)

var consequences = map[int]consequence{
	http.StatusAccepted: (*Warden).accepted,
	http.StatusOK: func(w *Warden, one *charge, action place.Action, now time.Time) {
		one.lookAt = now.Add(reportLag)
	},
	http.StatusConflict: func(w *Warden, one *charge, action place.Action, now time.Time) {
		one.pending, one.known, one.lookAt = nil, false, now.Add(busyPause)
	},
	http.StatusPreconditionFailed: func(w *Warden, one *charge, action place.Action, now time.Time) {
		one.pending, one.blocked = nil, now.Add(refusedPause)
	},
	http.StatusBadRequest: func(w *Warden, one *charge, action place.Action, now time.Time) {
		one.pending, one.known, one.blocked = nil, false, now.Add(refusedPause)
	},
	http.StatusMisdirectedRequest: func(w *Warden, one *charge, action place.Action, now time.Time) {
		one.pending, one.known, one.blocked = nil, false, now.Add(refusedPause)
	},
	0: func(w *Warden, one *charge, action place.Action, now time.Time) {
		one.pending, one.known, one.lookAt = nil, false, now.Add(unknownPause)
	},
}

func (w *Warden) ordered(one *charge, action place.Action, status int, err error) {
	w.log(action, status, err)
	if err != nil {
		status = 0
	}
	follow, known := consequences[status]
	if !known {
		follow = consequences[0]
	}
	follow(w, one, action, w.daemon.clock())
}

func (w *Warden) accepted(one *charge, action place.Action, now time.Time) {
	one.sequence++
	one.began = now
	model, adapter, _ := strings.Cut(action.Model, "/")
	expected := reportLag
	if found, ok := w.modelOf(one.listed.Backend, model); ok && adapter == "" && action.Load {
		expected = env.Seconds(found.LoadTimeS)
		if !action.Stored {
			expected = time.Duration(float64(expected) * diskShare)
		}
		expected += 100 * time.Millisecond
	}
	one.lookAt = now.Add(max(expected, reportLag))
}

func (w *Warden) modelOf(backend, name string) (*layout.Model, bool) {
	_, index, found := w.table.Backend(backend)
	if !found {
		return nil, false
	}
	return w.table.Model(index, name)
}
