// Package replay plays a record again through the matching code, in simulated time.
//
// It talks to no replica: a simple model of reading and decoding times stands in for them. Start
// reading at Engine.Play.
package replay

import (
	"sync/atomic"
	"time"

	"ferryspar/internal/configuration"
	"ferryspar/internal/discovery"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
	"ferryspar/internal/sim/emulator/eventqueue"
)

// TimingModel is how long a replica takes: to read 1000 prompt tokens, before anything else, and to
// decode where the record doesn't say. All are milliseconds.
type TimingModel struct {
	PrefillMsPerThousand float64
	BaseMs               float64
	DecodeMs             float64
}

// DefaultTimingModel returns the times of a middling replica.
func DefaultTimingModel() TimingModel {
	return TimingModel{PrefillMsPerThousand: 60, BaseMs: 15, DecodeMs: 1000}
}

type pendingRequest struct {
	request *routing.Request
	entry   requestlog.Entry
}

// Engine plays one record. It is not safe for concurrent use.
type Engine struct {
	startedAt    time.Time
	model        TimingModel
	events       *eventqueue.Queue
	snapshot     atomic.Pointer[routing.Snapshot]
	matcher      *routing.Matcher
	table        *configuration.Table
	replicas     []discovery.Replica
	dataPlanes   int
	drainedZones map[string]bool
	prefillUntil map[string]time.Time
	pending      []pendingRequest
	wakeAt       time.Time
	Summary      *Summary
}

// NewEngine returns an engine that matches with parameters as a data plane in zone does.
func NewEngine(parameters routing.Parameters, zone string, model TimingModel) *Engine {
	engine := &Engine{model: model, prefillUntil: map[string]time.Time{}, drainedZones: map[string]bool{}, Summary: newSummary()}
	engine.startedAt = time.Unix(0, 0).UTC()
	engine.events = eventqueue.New(engine.startedAt)
	engine.snapshot.Store(&routing.Snapshot{})
	engine.matcher = routing.NewMatcher(parameters, zone, engine.events.Now, &engine.snapshot)
	return engine
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Play plays all entries to their end; Summary then holds the outcome.
func (e *Engine) Play(entries []requestlog.Entry) error {
	steps := map[requestlog.Kind]func(entry requestlog.Entry){
		requestlog.KindConfiguration: e.setConfiguration,
		requestlog.KindFleet:         e.setFleet,
		requestlog.KindRequest:       e.submitRequest,
	}
	for _, entry := range entries {
		if entry.Kind == requestlog.KindConfiguration {
			if _, err := configuration.Decompress(entry.PackedConfiguration); err != nil {
				return err
			}
		}
		e.events.At(e.startedAt.Add(milliseconds(entry.AtMs)), func() { steps[entry.Kind](entry) })
	}
	for e.events.Step() {
		e.collectDecisions()
	}
	return nil
}

func (e *Engine) setConfiguration(entry requestlog.Entry) {
	document, _ := configuration.Decompress(entry.PackedConfiguration)
	if read, err := configuration.Decode(document); err == nil {
		e.table = configuration.NewTable(read, nil)
		e.storeSnapshot()
	}
}

func (e *Engine) setFleet(entry requestlog.Entry) {
	e.replicas, e.dataPlanes, e.drainedZones = entry.Replicas, max(entry.EdgeCount, 1), map[string]bool{}
	for _, zone := range entry.DrainedZones {
		e.drainedZones[zone] = true
	}
	e.storeSnapshot()
}

func (e *Engine) storeSnapshot() {
	fleet := &routing.Snapshot{Table: e.table, DrainedZones: e.drainedZones, DataPlanes: e.dataPlanes, ListedAt: e.events.Now()}
	for index, listed := range e.replicas {
		fleet.Replicas = append(fleet.Replicas, routing.NewReplica(index, listed, e.events.Now(), nil))
	}
	e.snapshot.Store(fleet)
	e.matcher.Wake()
}

func (e *Engine) submitRequest(entry requestlog.Entry) {
	parts, _ := routing.ParsePrefix(entry.Prefix)
	request := &routing.Request{
		Attempt:          entry.AttemptID,
		Backend:          entry.Backend,
		Model:            entry.Model,
		Parts:            parts,
		PrefixHashes:     routing.HashPrefixes(parts),
		PromptTokens:     entry.PromptTokens,
		OutputTokens:     entry.OutputTokens,
		Arrived:          e.events.Now(),
		Deadline:         e.events.Now().Add(milliseconds(entry.TimeoutMs)),
		ExcludedReplicas: map[string]bool{},
	}
	if e.table != nil {
		for _, route := range e.table.Configuration.Routes {
			if route.Name == entry.Route {
				request.LatencyTarget = milliseconds(route.TargetLatencyMs)
				tenant := e.table.TenantByName(entry.Tenant)
				request.Priority = tenant.PriorityOr(route.Priority)
				request.AllowedRegions = tenant.IntersectRegions(route.AllowedRegions)
				request.ClientRetry = entry.TimeoutMs < route.TimeoutMs-1
			}
		}
	}
	e.pending = append(e.pending, pendingRequest{request, entry})
	e.Summary.recordRequest(entry.Route)
	e.matcher.Enqueue(request)
}

func (e *Engine) collectDecisions() {
	undecided := e.pending[:0]
	for _, entry := range e.pending {
		select {
		case decision := <-entry.request.Decided:
			e.applyDecision(entry.request, entry.entry, decision)
		default:
			undecided = append(undecided, entry)
		}
	}
	e.pending = undecided
	wait, needed := e.matcher.NextWake()
	at := e.events.Now().Add(max(wait, time.Millisecond))
	if !needed || len(e.pending) == 0 || e.wakeAt.After(e.events.Now()) && !at.Before(e.wakeAt) {
		return
	}
	e.wakeAt = at
	e.events.At(at, func() { e.matcher.Wake() })
}

func (e *Engine) applyDecision(request *routing.Request, entry requestlog.Entry, decision routing.Decision) {
	if decision.Error != nil {
		e.Summary.recordRejection(entry.Route)
		return
	}
	id, ticket := decision.Replica.ID, decision.Ticket
	start := e.events.Now()
	if e.prefillUntil[id].After(start) {
		start = e.prefillUntil[id]
	}
	first := start.Add(milliseconds(e.model.BaseMs + ticket.UncachedTokens()/1000*e.model.PrefillMsPerThousand))
	e.prefillUntil[id] = first
	decode := e.model.DecodeMs
	if entry.DurationMs > entry.FirstByteMs && entry.FirstByteMs > 0 {
		decode = entry.DurationMs - entry.FirstByteMs
	}
	e.Summary.recordSend(entry.Route, ticket.CachedTokens()/max(1, entry.PromptTokens))
	e.events.At(first, func() {
		e.matcher.HandleReport(routing.Report{Ticket: ticket, Outcome: routing.OutcomeFirstEvent, At: e.events.Now()})
		e.Summary.recordServed(entry.Route, first.Sub(request.Arrived), request.LatencyTarget)
	})
	e.events.At(first.Add(milliseconds(decode)), func() {
		e.matcher.HandleReport(routing.Report{Ticket: ticket, Outcome: routing.OutcomeServed, At: e.events.Now()})
	})
}
