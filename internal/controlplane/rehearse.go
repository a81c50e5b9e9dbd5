package controlplane

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/drill"
	"ferryspar/internal/layout"
	"ferryspar/internal/problem"
)

type forecasts struct {
	lock     sync.Mutex
	number   uint64
	answers  map[string]drill.Answer
	gathered chan struct{}
}

const gatherBound = 2 * time.Second

func (f *forecasts) begin(number uint64) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.number != 0 {
		return false
	}
	f.number, f.answers, f.gathered = number, map[string]drill.Answer{}, make(chan struct{}, 1)
	return true
}

func (f *forecasts) end() []drill.Answer {
	f.lock.Lock()
	defer f.lock.Unlock()
	list := make([]drill.Answer, 0, len(f.answers))
	for _, answer := range f.answers {
		list = append(list, answer)
	}
	f.number, f.answers = 0, nil
	return list
}

func (f *forecasts) has(edges map[string]string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	for name := range edges {
		if _, known := f.answers[name]; !known {
			return false
		}
	}
	return true
}

func (d *Daemon) hearForecast(ctx context.Context, answer drill.Answer) struct{} {
	held := &d.forecasts
	held.lock.Lock()
	defer held.lock.Unlock()
	if held.number != 0 && answer.Number == held.number {
		held.answers[answer.Edge] = answer
		select {
		case held.gathered <- struct{}{}:
		default:
		}
	}
	return struct{}{}
}

func (d *Daemon) Forecast(ctx context.Context, scope drill.Scope) (drill.Forecast, error) {
	if err := scope.Check(d.settings.Areas); err != nil {
		return drill.Forecast{}, err
	}
	ground, err := d.ground(scope)
	if err != nil {
		return drill.Forecast{}, err
	}
	question := &drill.Question{Number: nonce(), Scope: scope}
	if !d.forecasts.begin(question.Number) {
		return drill.Forecast{}, problem.New(problem.RehearsalUnderWay, "a forecast is being gathered here")
	}
	ask := func(asked *drill.Question) {
		d.board.Change(func(next *Bulletin) bool {
			next.Question = asked
			return true
		})
	}
	ask(question)
	d.gather(ctx, ground.Edges)
	ask(nil)
	merged := drill.Merge(ground, d.forecasts.end())
	d.addPlan(ctx, &merged, *question)
	logrus.WithFields(logrus.Fields{"scope": scope.String(), "answered": len(merged.Answered), "missing": merged.Missing}).Info("forecast gathered")
	return merged, nil
}

func (d *Daemon) gather(ctx context.Context, edges map[string]string) {
	bounded, cancel := context.WithTimeout(ctx, gatherBound)
	defer cancel()
	for !d.forecasts.has(edges) {
		select {
		case <-d.forecasts.gathered:
		case <-bounded.Done():
			return
		}
	}
}

func (d *Daemon) ground(scope drill.Scope) (drill.Ground, error) {
	bulletin := d.board.Read()
	if !bulletin.Fresh {
		return drill.Ground{}, problem.New(problem.NoMajority, "this daemon's state is not confirmed")
	}
	document, err := layout.Unpack(bulletin.Packed)
	if err != nil || bulletin.Revision == 0 {
		return drill.Ground{}, problem.New(problem.NoLayout, "")
	}
	read, err := layout.Decode(document)
	if err != nil {
		return drill.Ground{}, err
	}
	ground := drill.Ground{
		Scope: scope, Areas: d.settings.Areas, Replicas: bulletin.Replicas, Table: layout.Build(read, nil), Demand: d.warden.demandRates(),
		Members: d.store.Members().Present, MemberAreas: map[string]string{d.self: d.settings.Area}, Holder: bulletin.Holder,
	}
	d.watching.Lock()
	defer d.watching.Unlock()
	ground.Edges = d.edges.Areas(d.clock())
	for name, view := range d.remembered {
		if view.Left {
			delete(ground.Edges, name)
		}
	}
	for address, greeting := range d.joining {
		ground.MemberAreas[address] = greeting.Area
	}
	return ground, nil
}
