package emulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ferryspar/internal/drill"
	"ferryspar/internal/layout"
	"ferryspar/internal/match"
	"ferryspar/internal/partner"
	"ferryspar/internal/place"
	"ferryspar/internal/platform"
)

type Forecast map[string]float64

type Forecaster func(before Snapshot) Forecast

type EdgeState struct {
	Area     string
	Lost     bool
	Pressure partner.Pressure
	Matcher  *match.Matcher
	Fleet    *match.Fleet
}

type Snapshot struct {
	At     time.Time
	Table  *layout.Table
	Lost   map[string]bool
	Listed []platform.Replica
	Edges  []EdgeState
	Demand map[string]*place.Pressure
	Held   map[string]map[string]bool
	Loss   drill.Loss
	View   *place.View
}

func (w *World) snapshot(areas []int, from Loss) Snapshot {
	before := Snapshot{At: w.now(), Table: w.table, Lost: map[string]bool{}, Listed: w.listing(), Demand: w.core.demand.copied(), Held: w.core.held, Loss: w.scope(from), View: w.core.view(w.now())}
	for _, area := range areas {
		before.Lost[w.scenario.Areas[area].Name] = true
	}
	for _, one := range w.edges {
		if one.alive {
			name := w.scenario.Areas[one.area].Name
			before.Edges = append(before.Edges, EdgeState{
				Area: name, Lost: before.Lost[name], Pressure: one.told, Matcher: one.matcher, Fleet: one.fleet.Load(),
			})
		}
	}
	return before
}

func (w *World) noteLoss(areas []int, from Loss) {
	loss := LossResult{AtS: w.elapsed().Seconds(), Warm: map[string]float64{}, MovedTo: map[string]int{}, Moving: make([]int, len(w.scenario.Classes))}
	for name, forecaster := range w.Forecasters {
		if loss.Forecasts == nil {
			loss.Forecasts = map[string]Forecast{}
		}
		loss.Forecasts[name] = forecaster(w.snapshot(areas, from))
	}
	kept, gone := map[string]bool{}, map[string]bool{}
	for _, one := range w.machines {
		if one.up == nil {
			continue
		}
		lost := slices.Contains(areas, one.area)
		for reference := range one.up.held {
			if lost {
				gone[reference] = true
			} else {
				kept[reference] = true
			}
		}
		if !lost {
			loss.Left = append(loss.Left, one.up.id)
			continue
		}
		loss.Running += len(one.up.running)
		loss.Waiting += len(one.up.queue)
		for element := one.up.memory.byAge.Front(); element != nil; element = element.Next() {
			part := element.Value.(*keptPart)
			model, _, _ := strings.Cut(part.part.model, "/")
			loss.Warm[model] += part.tokens
		}
	}
	for _, one := range w.edges {
		if one.alive && slices.Contains(areas, one.area) {
			loss.Waiting += one.matcher.Waiting()
		}
	}
	scope := w.scope(from)
	for _, one := range w.calls {
		if one.caught = one.isCaught(areas); one.caught {
			loss.Caught++
			if scope.Homeless(one.class.Homes) {
				loss.Bound++
			}
		}
		if one.moves(areas) {
			loss.Moving[one.request.Class]++
		}
	}
	maps.DeleteFunc(gone, func(reference string, _ bool) bool { return kept[reference] })
	loss.LastCopy = append([]string{}, slices.Sorted(maps.Keys(gone))...)
	w.observer.losses = append(w.observer.losses, loss)
	w.followCopies(len(w.observer.losses)-1, gone)
	w.followFull(len(w.observer.losses)-1, w.elapsed(), map[string]bool{})
}

func (c *call) moves(areas []int) bool {
	if c.ended || c.pass == nil {
		return false
	}
	if slices.Contains(areas, c.pass.edge.area) {
		return true
	}
	return c.pass.ticket != nil && slices.Contains(areas, c.world.servers[c.pass.chosen].machine.area)
}

const lookForCopies = 200 * time.Millisecond

func (w *World) followCopies(number int, missing map[string]bool) {
	w.agenda.After(lookForCopies, func() {
		loss := &w.observer.losses[number]
		for _, one := range w.machines {
			if one.up == nil {
				continue
			}
			for reference := range one.up.held {
				if missing[reference] {
					delete(missing, reference)
					loss.BackS = w.elapsed().Seconds() - loss.AtS
				}
			}
		}
		if len(missing) > 0 && w.elapsed().Seconds() < w.scenario.LengthS {
			w.followCopies(number, missing)
		}
	})
}
