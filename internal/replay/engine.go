package replay

import (
	"container/heap"
	"sync/atomic"
	"time"

	"ferryspar/internal/layout"
	"ferryspar/internal/match"
	"ferryspar/internal/platform"
	"ferryspar/internal/record"
)

type Model struct {
	ReadMsPerThousand float64
	BaseMs            float64
	DecodeMs          float64
}

func DefaultModel() Model { return Model{ReadMsPerThousand: 60, BaseMs: 15, DecodeMs: 1000} }

type moment struct {
	at     time.Time
	number int
	act    func()
}

type agenda []moment

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(left, right int) bool {
	if !a[left].at.Equal(a[right].at) {
		return a[left].at.Before(a[right].at)
	}
	return a[left].number < a[right].number
}
func (a agenda) Swap(left, right int) { a[left], a[right] = a[right], a[left] }
func (a *agenda) Push(one any)        { *a = append(*a, one.(moment)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type waiting struct {
	order *match.Order
	entry record.Entry
}

type Engine struct {
	now      time.Time
	began    time.Time
	model    Model
	agenda   agenda
	number   int
	fleet    atomic.Pointer[match.Fleet]
	matcher  *match.Matcher
	table    *layout.Table
	replicas []platform.Replica
	edges    int
	drained  map[string]bool
	reading  map[string]time.Time
	waiting  []waiting
	wakeAt   time.Time
	Summary  *Summary
}

func NewEngine(parameters match.Parameters, area string, model Model) *Engine {
	engine := &Engine{model: model, reading: map[string]time.Time{}, drained: map[string]bool{}, Summary: newSummary()}
	engine.began = time.Unix(0, 0).UTC()
	engine.now = engine.began
	engine.fleet.Store(&match.Fleet{})
	engine.matcher = match.NewMatcher(parameters, area, func() time.Time { return engine.now }, &engine.fleet)
	return engine
}

func (e *Engine) plan(at time.Time, act func()) {
	e.number++
	heap.Push(&e.agenda, moment{at, e.number, act})
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func (e *Engine) Play(entries []record.Entry) error {
	steps := map[string]func(entry record.Entry){record.KindLayout: e.layout, record.KindFleet: e.setFleet, record.KindOrder: e.order}
	for _, entry := range entries {
		if entry.Kind == record.KindLayout {
			if _, err := layout.Unpack(entry.Packed); err != nil {
				return err
			}
		}
		e.plan(e.began.Add(milliseconds(entry.AtMs)), func() { steps[entry.Kind](entry) })
	}
	for len(e.agenda) > 0 {
		next := heap.Pop(&e.agenda).(moment)
		if next.at.After(e.now) {
			e.now = next.at
		}
		next.act()
		e.collect()
	}
	return nil
}

func (e *Engine) layout(entry record.Entry) {
	document, _ := layout.Unpack(entry.Packed)
	if read, err := layout.Decode(document); err == nil {
		e.table = layout.Build(read, nil)
		e.publish()
	}
}

func (e *Engine) setFleet(entry record.Entry) {
	e.replicas, e.edges, e.drained = entry.Replicas, max(entry.Edges, 1), map[string]bool{}
	for _, area := range entry.Drained {
		e.drained[area] = true
	}
	e.publish()
}

func (e *Engine) publish() {
	fleet := &match.Fleet{Table: e.table, Drained: e.drained, Edges: e.edges, Fetched: e.now}
	for index, listed := range e.replicas {
		fleet.Replicas = append(fleet.Replicas, match.NewReplica(index, listed, e.now, nil))
	}
	e.fleet.Store(fleet)
	e.matcher.Wake()
}

func (e *Engine) order(entry record.Entry) {
	parts, _ := match.ParsePrefix(entry.Prefix)
	order := &match.Order{
		Attempt: entry.Attempt, Backend: entry.Backend, Model: entry.Model, Parts: parts, Dialogues: match.Dialogues(parts), Prompt: entry.Prompt,
		Output: entry.Output, Arrived: e.now, Deadline: e.now.Add(milliseconds(entry.LeftMs)), Excluded: map[string]bool{},
	}
	if e.table != nil {
		for _, route := range e.table.Layout.Routes {
			if route.Name == entry.Route {
				order.Aim, order.Priority, order.Homes = milliseconds(route.TargetLatencyMs), route.Priority, route.AllowedRegions
				order.Returned = entry.LeftMs < route.TimeoutMs-1
			}
		}
	}
	e.waiting = append(e.waiting, waiting{order, entry})
	e.Summary.asked(entry.Route)
	e.matcher.Begin(order)
}

func (e *Engine) collect() {
	kept := e.waiting[:0]
	for _, one := range e.waiting {
		select {
		case command := <-one.order.Answer:
			e.follow(one.order, one.entry, command)
		default:
			kept = append(kept, one)
		}
	}
	e.waiting = kept
	wait, needed := e.matcher.NextWake()
	at := e.now.Add(max(wait, time.Millisecond))
	if !needed || len(e.waiting) == 0 || e.wakeAt.After(e.now) && !at.Before(e.wakeAt) {
		return
	}
	e.wakeAt = at
	e.plan(at, func() { e.matcher.Wake() })
}

func (e *Engine) follow(order *match.Order, entry record.Entry, command match.Command) {
	if command.Problem != nil {
		e.Summary.refused(entry.Route)
		return
	}
	id, ticket := command.Replica.ID, command.Ticket
	start := e.now
	if e.reading[id].After(start) {
		start = e.reading[id]
	}
	first := start.Add(milliseconds(e.model.BaseMs + ticket.Uncached()/1000*e.model.ReadMsPerThousand))
	e.reading[id] = first
	decode := e.model.DecodeMs
	if entry.TookMs > entry.FirstMs && entry.FirstMs > 0 {
		decode = entry.TookMs - entry.FirstMs
	}
	e.Summary.sent(entry.Route, ticket.Kept()/max(1, entry.Prompt))
	e.plan(first, func() {
		e.matcher.Tell(match.Report{Ticket: ticket, Outcome: match.OutcomeFirst, At: e.now})
		e.Summary.served(entry.Route, first.Sub(order.Arrived), order.Aim)
	})
	e.plan(first.Add(milliseconds(decode)), func() {
		e.matcher.Tell(match.Report{Ticket: ticket, Outcome: match.OutcomeServed, At: e.now})
	})
}
