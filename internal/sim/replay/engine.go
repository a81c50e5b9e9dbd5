// Package replay replays recorded traffic through the routing code, in simulated time.
//
// It calls no replicas: a simple model of prefill and decode times replaces them. Replays are deterministic: the same record
// gives the same outcomes. Start reading at Engine.Play.
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

// TimingModel holds the processing times of a replica, in ms.
type TimingModel struct {
	PrefillMsPerThousand float64 // for 1000 prompt tokens that are not cached
	BaseMs               float64 // for every request, before its prefill
	DecodeMs             float64 // from the first event to the last, unless the record contains it
}

// DefaultTimingModel returns the processing times of an average replica.
func DefaultTimingModel() TimingModel {
	return TimingModel{PrefillMsPerThousand: 60, BaseMs: 15, DecodeMs: 1000}
}

// pendingRequest is a request that the matcher has not decided yet.
type pendingRequest struct {
	request *routing.Request
	entry   requestlog.Entry
}

// Engine replays one record. It is not safe for concurrent use.
type Engine struct {
	// Summary holds the outcomes of the entries replayed so far.
	Summary *Summary

	startedAt time.Time // in simulated time
	model     TimingModel
	events    *eventqueue.Queue
	matcher   *routing.Matcher
	snapshot  atomic.Pointer[routing.Snapshot]

	// The latest state from the record, from which storeSnapshot builds the snapshots.
	table        *configuration.Table
	replicas     []discovery.Replica
	dataPlanes   int
	drainedZones map[string]bool

	pending      []pendingRequest
	wakeAt       time.Time            // time of the last scheduled wake-up of the matcher
	prefillUntil map[string]time.Time // end of the last prefill, by replica; prefills of a replica run one at a time
}

// NewEngine returns an engine that routes with parameters like a data plane in zone.
func NewEngine(parameters routing.Parameters, zone string, model TimingModel) *Engine {
	startedAt := time.Unix(0, 0).UTC()
	engine := &Engine{
		Summary:      newSummary(),
		startedAt:    startedAt,
		model:        model,
		events:       eventqueue.New(startedAt),
		drainedZones: map[string]bool{},
		prefillUntil: map[string]time.Time{},
	}
	engine.snapshot.Store(&routing.Snapshot{})
	engine.matcher = routing.NewMatcher(parameters, zone, engine.events.Now, &engine.snapshot)
	return engine
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Play replays all entries; Summary then holds the outcomes. It returns an error if a recorded configuration cannot be
// decompressed.
func (e *Engine) Play(entries []requestlog.Entry) error {
	handlers := map[requestlog.Kind]func(entry requestlog.Entry){
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
		e.events.At(e.startedAt.Add(milliseconds(entry.AtMs)), func() { handlers[entry.Kind](entry) })
	}
	for e.events.Step() {
		e.collectDecisions()
	}
	return nil
}

func (e *Engine) setConfiguration(entry requestlog.Entry) {
	document, _ := configuration.Decompress(entry.PackedConfiguration)
	if decoded, err := configuration.Decode(document); err == nil {
		e.table = configuration.NewTable(decoded, nil)
		e.storeSnapshot()
	}
}

func (e *Engine) setFleet(entry requestlog.Entry) {
	e.replicas = entry.Replicas
	e.dataPlanes = max(entry.DataPlaneCount, 1)
	e.drainedZones = map[string]bool{}
	for _, zone := range entry.DrainedZones {
		e.drainedZones[zone] = true
	}
	e.storeSnapshot()
}

// storeSnapshot publishes a snapshot of the latest recorded state and wakes the matcher.
func (e *Engine) storeSnapshot() {
	snapshot := &routing.Snapshot{
		Table:          e.table,
		DrainedZones:   e.drainedZones,
		DataPlaneCount: e.dataPlanes,
		ListedAt:       e.events.Now(),
	}
	for index, listed := range e.replicas {
		replica := routing.NewReplica(index, listed, e.events.Now(), nil)
		snapshot.Replicas = append(snapshot.Replicas, replica)
	}
	e.snapshot.Store(snapshot)
	e.matcher.Wake()
}

func (e *Engine) submitRequest(entry requestlog.Entry) {
	parts, _ := routing.ParsePromptPrefix(entry.Prefix)
	request := &routing.Request{
		AttemptID:        entry.AttemptID,
		Backend:          entry.Backend,
		Model:            entry.Model,
		Parts:            parts,
		PrefixHashes:     routing.HashPrefixes(parts),
		PromptTokens:     entry.PromptTokens,
		OutputTokens:     entry.OutputTokens,
		ArrivedAt:        e.events.Now(),
		Deadline:         e.events.Now().Add(milliseconds(entry.TimeoutMs)),
		ExcludedReplicas: map[string]bool{},
	}
	e.applyRoute(request, entry)
	e.pending = append(e.pending, pendingRequest{request, entry})
	e.Summary.recordRequest(entry.Route)
	e.matcher.Enqueue(request)
}

// applyRoute sets the fields of a request that depend on its route and tenant.
func (e *Engine) applyRoute(request *routing.Request, entry requestlog.Entry) {
	if e.table == nil {
		return
	}
	for _, route := range e.table.Configuration.Routes {
		if route.Name != entry.Route {
			continue
		}
		tenant := e.table.TenantByName(entry.Tenant)
		request.LatencyTarget = milliseconds(route.TargetLatencyMs)
		request.Priority = tenant.PriorityOr(route.Priority)
		request.AllowedRegions = tenant.IntersectRegions(route.AllowedRegions)
	}
}

// collectDecisions applies the decisions made so far and schedules the next wake-up of the matcher.
func (e *Engine) collectDecisions() {
	undecided := e.pending[:0]
	for _, pending := range e.pending {
		select {
		case decision := <-pending.request.Decided:
			e.applyDecision(pending, decision)
		default:
			undecided = append(undecided, pending)
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

// applyDecision counts a decision and, if the request was sent to a replica, schedules the events of the response.
func (e *Engine) applyDecision(pending pendingRequest, decision routing.Decision) {
	request, entry := pending.request, pending.entry
	if decision.Error != nil {
		e.Summary.recordRejection(entry.Route)
		return
	}
	ticket := decision.Ticket
	e.Summary.recordSend(entry.Route, ticket.CachedTokens()/max(1, entry.PromptTokens))
	firstEventAt := e.prefill(decision.Replica.ID, ticket.UncachedTokens())
	e.events.At(firstEventAt, func() {
		e.report(ticket, routing.OutcomeFirstEvent)
		e.Summary.recordServed(entry.Route, firstEventAt.Sub(request.ArrivedAt), request.LatencyTarget)
	})
	e.events.At(firstEventAt.Add(milliseconds(e.decodeMs(entry))), func() {
		e.report(ticket, routing.OutcomeServed)
	})
}

// prefill schedules the prefill of a prompt on a replica and returns its end, the time of the first event.
func (e *Engine) prefill(replica string, uncachedTokens float64) time.Time {
	start := e.events.Now()
	if e.prefillUntil[replica].After(start) {
		start = e.prefillUntil[replica]
	}
	end := start.Add(milliseconds(e.model.BaseMs + uncachedTokens/1000*e.model.PrefillMsPerThousand))
	e.prefillUntil[replica] = end
	return end
}

// decodeMs returns the recorded time from the first event to the last, or that of the timing model if none was recorded.
func (e *Engine) decodeMs(entry requestlog.Entry) float64 {
	if entry.DurationMs > entry.FirstByteMs && entry.FirstByteMs > 0 {
		return entry.DurationMs - entry.FirstByteMs
	}
	return e.model.DecodeMs
}

func (e *Engine) report(ticket *routing.Ticket, outcome routing.Outcome) {
	e.matcher.HandleReport(routing.Report{Ticket: ticket, Outcome: outcome, At: e.events.Now()})
}
