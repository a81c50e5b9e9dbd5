// Package replay plays a record again through the matching code, in simulated time.
//
// It talks to no replica: a simple model of reading and decoding times stands in for them. Start
// reading at Engine.Play.
package replay

import (
	"sync/atomic"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/emulator/eventqueue"
	"ferryspar/internal/match"
	"ferryspar/internal/platform"
	"ferryspar/internal/record"
)

// Model is how long a replica takes: to read 1000 prompt tokens, before anything else, and to
// decode where the record doesn't say. All are milliseconds.
type Model struct {
	ReadMsPerThousand float64
	BaseMs            float64
	DecodeMs          float64
}

// DefaultModel returns the times of a middling replica.
func DefaultModel() Model { return Model{ReadMsPerThousand: 60, BaseMs: 15, DecodeMs: 1000} }

type waiting struct {
	request *match.Request
	entry   record.Entry
}

// Engine plays one record. It is not safe for concurrent use.
type Engine struct {
	began    time.Time
	model    Model
	agenda   *eventqueue.Queue
	fleet    atomic.Pointer[match.Fleet]
	matcher  *match.Matcher
	table    *configuration.Table
	replicas []platform.Replica
	edges    int
	drained  map[string]bool
	reading  map[string]time.Time
	waiting  []waiting
	wakeAt   time.Time
	Summary  *Summary
}

// NewEngine returns an engine that matches with parameters as a data plane in zone does.
func NewEngine(parameters match.Parameters, zone string, model Model) *Engine {
	engine := &Engine{model: model, reading: map[string]time.Time{}, drained: map[string]bool{}, Summary: newSummary()}
	engine.began = time.Unix(0, 0).UTC()
	engine.agenda = eventqueue.New(engine.began)
	engine.fleet.Store(&match.Fleet{})
	engine.matcher = match.NewMatcher(parameters, zone, engine.agenda.Now, &engine.fleet)
	return engine
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Play plays all entries to their end; Summary then holds the outcome.
func (e *Engine) Play(entries []record.Entry) error {
	steps := map[string]func(entry record.Entry){
		record.KindConfiguration: e.setConfiguration,
		record.KindFleet:         e.setFleet,
		record.KindRequest:       e.begin,
	}
	for _, entry := range entries {
		if entry.Kind == record.KindConfiguration {
			if _, err := configuration.Unpack(entry.Packed); err != nil {
				return err
			}
		}
		e.agenda.At(e.began.Add(milliseconds(entry.AtMs)), func() { steps[entry.Kind](entry) })
	}
	for e.agenda.Step() {
		e.collect()
	}
	return nil
}

func (e *Engine) setConfiguration(entry record.Entry) {
	document, _ := configuration.Unpack(entry.Packed)
	if read, err := configuration.Decode(document); err == nil {
		e.table = configuration.NewTable(read, nil)
		e.publish()
	}
}

func (e *Engine) setFleet(entry record.Entry) {
	e.replicas, e.edges, e.drained = entry.Replicas, max(entry.Edges, 1), map[string]bool{}
	for _, zone := range entry.Drained {
		e.drained[zone] = true
	}
	e.publish()
}

func (e *Engine) publish() {
	fleet := &match.Fleet{Table: e.table, Drained: e.drained, Edges: e.edges, Fetched: e.agenda.Now()}
	for index, listed := range e.replicas {
		fleet.Replicas = append(fleet.Replicas, match.NewReplica(index, listed, e.agenda.Now(), nil))
	}
	e.fleet.Store(fleet)
	e.matcher.Wake()
}

func (e *Engine) begin(entry record.Entry) {
	parts, _ := match.ParsePrefix(entry.Prefix)
	request := &match.Request{
		Attempt:   entry.Attempt,
		Backend:   entry.Backend,
		Model:     entry.Model,
		Parts:     parts,
		Dialogues: match.Dialogues(parts),
		Prompt:    entry.Prompt,
		Output:    entry.Output,
		Arrived:   e.agenda.Now(),
		Deadline:  e.agenda.Now().Add(milliseconds(entry.LeftMs)),
		Excluded:  map[string]bool{},
	}
	if e.table != nil {
		for _, route := range e.table.Configuration.Routes {
			if route.Name == entry.Route {
				request.Aim = milliseconds(route.TargetLatencyMs)
				tenant := e.table.TenantNamed(entry.Tenant)
				request.Priority = tenant.PriorityOr(route.Priority)
				request.Homes = tenant.RegionsWithin(route.AllowedRegions)
				request.Returned = entry.LeftMs < route.TimeoutMs-1
			}
		}
	}
	e.waiting = append(e.waiting, waiting{request, entry})
	e.Summary.asked(entry.Route)
	e.matcher.Begin(request)
}

func (e *Engine) collect() {
	kept := e.waiting[:0]
	for _, one := range e.waiting {
		select {
		case command := <-one.request.Answer:
			e.follow(one.request, one.entry, command)
		default:
			kept = append(kept, one)
		}
	}
	e.waiting = kept
	wait, needed := e.matcher.NextWake()
	at := e.agenda.Now().Add(max(wait, time.Millisecond))
	if !needed || len(e.waiting) == 0 || e.wakeAt.After(e.agenda.Now()) && !at.Before(e.wakeAt) {
		return
	}
	e.wakeAt = at
	e.agenda.At(at, func() { e.matcher.Wake() })
}

func (e *Engine) follow(request *match.Request, entry record.Entry, command match.Command) {
	if command.Error != nil {
		e.Summary.refused(entry.Route)
		return
	}
	id, ticket := command.Replica.ID, command.Ticket
	start := e.agenda.Now()
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
	e.agenda.At(first, func() {
		e.matcher.Tell(match.Report{Ticket: ticket, Outcome: match.OutcomeFirst, At: e.agenda.Now()})
		e.Summary.served(entry.Route, first.Sub(request.Arrived), request.Aim)
	})
	e.agenda.At(first.Add(milliseconds(decode)), func() {
		e.matcher.Tell(match.Report{Ticket: ticket, Outcome: match.OutcomeServed, At: e.agenda.Now()})
	})
}
