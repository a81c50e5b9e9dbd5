// Package proxy is the side of a data plane that clients see: it reads their requests, has a replica chosen for each,
// passes the answer on, and refuses what can't be served.
package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/replica"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

// Handler serves clients: it takes a request, has a replica chosen for it, forwards it and passes the answer on.
type Handler struct {
	fleet        *atomic.Pointer[routing.Snapshot]
	matcher      *routing.Matcher
	forwarder    *replica.Forwarder
	retryBudgets *RetryBudgets
	clock        func() time.Time
	random       func() float64
	draining     atomic.Bool
	inFlight     atomic.Int64

	// Recorder, if set before the first request, writes down how each request went.
	Recorder *requestlog.Writer
	// Freshness, if set before the first request, tells how new the configuration is. Without it, it counts as the newest.
	Freshness Freshness
	// Quota, if set before the first request, may turn away requests of tenants beyond their limit.
	Quota Quota
	// Rejections counts what was answered with an error of this data plane's own.
	Rejections Rejections
}

// NewHandler returns a handler that reads the fleet as it stands at each request. draw gives numbers from 0 to 1 for
// the split of traffic over services.
func NewHandler(
	fleet *atomic.Pointer[routing.Snapshot], matcher *routing.Matcher, forwarder *replica.Forwarder, budgets *RetryBudgets,
	clock func() time.Time, draw func() float64,
) *Handler {
	return &Handler{fleet: fleet, matcher: matcher, forwarder: forwarder, retryBudgets: budgets, clock: clock, random: draw}
}

// Leave asks clients from now on to close their connections.
func (h *Handler) Drain() { h.draining.Store(true) }

// Leaving tells whether Leave was called.
func (h *Handler) Draining() bool { return h.draining.Load() }

// Inside is the number of requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP serves one request of a client.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := h.clock()
	markHandled(request.Context())
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.Draining() {
		writer.Header().Set("Connection", "close")
	}
	parsed, err := h.parse(request, arrived)
	if err == nil {
		err = h.checkQuota(request.Context(), parsed)
	}
	if err != nil {
		h.Rejections.add(apierror.From(err).Kind)
		if apierror.From(err).Kind == apierror.BodyTooLarge {
			writer.Header().Set("Connection", "close")
		}
		apierror.Write(writer, err)
		return
	}
	h.retryBudgets.ForBackend(parsed.request.Backend).RecordRequest(arrived)
	ctx, cancel := context.WithDeadline(request.Context(), parsed.request.Deadline)
	defer cancel()
	_ = http.NewResponseController(writer).SetWriteDeadline(parsed.request.Deadline.Add(writeSlack))
	served := &exchange{handler: h, parsed: parsed, writer: writer, ctx: ctx}
	defer served.logOutcome()
	served.run()
}

// writeSlack is how long past its deadline an answer may be written to a client that doesn't read.
const writeSlack = 150 * time.Millisecond

type exchange struct {
	handler     *Handler
	parsed      *parsedRequest
	writer      http.ResponseWriter
	ctx         context.Context
	headerSent  bool
	attempts    int
	unreached   int
	mayHaveRun  bool
	notLoaded   bool
	events      replica.EventBuffer
	replicaID   string
	sentAt      time.Time
	firstByteAt time.Time
	lastByteAt  time.Time
	longestGap  time.Duration
	failure     *apierror.Error
}

var outcomeByVerdict = map[replica.Verdict]routing.Outcome{
	replica.VerdictRejected:  routing.OutcomeFull,
	replica.VerdictNotLoaded: routing.OutcomeModelMissing,
	replica.VerdictReplaced:  routing.OutcomeShuttingDown,
	replica.VerdictNotSent:   routing.OutcomeUnreachable,
	replica.VerdictUnknown:   routing.OutcomeTruncated,
	replica.VerdictReset:     routing.OutcomeConnectionReset,
}

const maxUnreached = 4

func (e *exchange) run() {
	for {
		request := e.parsed.request
		request.ExcludedReplicas, request.Resumed = e.parsed.request.ExcludedReplicas, e.headerSent
		assignment := e.handler.matcher.Submit(e.ctx, &request)
		if assignment.Error != nil {
			e.fail(assignment.Error)
			return
		}
		if rejection := e.reauthorize(); rejection != nil {
			e.handler.matcher.Report(assignment.Ticket, routing.OutcomeCancelled)
			e.fail(rejection)
			return
		}
		if e.attempts > 0 && !e.handler.retryBudgets.ForBackend(request.Backend).Allow(e.handler.clock(), e.handler.fleet.Load().DataPlanes) {
			e.handler.matcher.Report(assignment.Ticket, routing.OutcomeCancelled)
			e.fail(apierror.NewRetryable(apierror.NotExecuted, 100*time.Millisecond))
			return
		}
		retry, failure := e.attempt(assignment)
		if !retry {
			if failure != nil {
				e.fail(failure)
			}
			return
		}
		e.exclude(assignment.Replica.ID)
	}
}

func (e *exchange) attempt(assignment routing.Decision) (bool, *apierror.Error) {
	report := func(outcome routing.Outcome) { e.handler.matcher.Report(assignment.Ticket, outcome) }
	upstream := e.parsed.upstream
	e.replicaID, e.sentAt = assignment.Replica.ID, e.handler.clock()
	if e.headerSent {
		upstream.LastEventID = e.events.LastID
	}
	response, verdict := e.handler.forwarder.Send(e.ctx, assignment.Replica.Address, assignment.Replica.ID, upstream)
	if verdict == replica.VerdictNotSent {
		e.unreached++
	} else {
		e.attempts++
	}
	e.notLoaded = verdict == replica.VerdictNotLoaded || verdict == replica.VerdictReplaced
	if verdict != replica.VerdictAnswered {
		if e.ctx.Err() != nil {
			report(routing.OutcomeCancelled)
			return false, e.deadlineError(replica.NotExecuted[verdict])
		}
		report(outcomeByVerdict[verdict])
		e.mayHaveRun = e.mayHaveRun || !replica.NotExecuted[verdict]
		return e.retryOrFail(replica.NotExecuted[verdict])
	}
	return e.copyResponse(response, report)
}

// deadlineError is the answer at the deadline: a promise where nothing has run, and none where something may have.
func (e *exchange) deadlineError(neverRan bool) *apierror.Error {
	if neverRan && !e.mayHaveRun {
		return apierror.NewRetryable(apierror.NotExecuted, 50*time.Millisecond)
	}
	return apierror.New(apierror.ReplicaTimeout, "")
}

func (e *exchange) retryOrFail(neverRan bool) (bool, *apierror.Error) {
	if !neverRan && !e.parsed.route.IsIdempotent() {
		return false, apierror.New(apierror.ReplicaFailed, "")
	}
	if e.canRetry() {
		return true, nil
	}
	if neverRan && !e.mayHaveRun {
		return false, apierror.NewRetryable(apierror.NotExecuted, 50*time.Millisecond)
	}
	return false, apierror.New(apierror.ReplicaFailed, "")
}

func (e *exchange) exclude(id string) {
	request, fleet := &e.parsed.request, e.handler.fleet.Load()
	request.ExcludedReplicas[id] = true
	for _, candidate := range fleet.Replicas {
		if candidate.Serves(request) && !request.ExcludedReplicas[candidate.ID] && !fleet.DrainedZones[candidate.Zone] {
			return
		}
	}
	if !e.notLoaded {
		delete(request.ExcludedReplicas, id)
	}
}

func (e *exchange) canRetry() bool {
	return e.attempts < max(e.parsed.route.RetryCount, 1) && e.unreached < maxUnreached
}

func (e *exchange) fail(failure *apierror.Error) {
	e.failure = failure
	if e.headerSent {
		panic(http.ErrAbortHandler)
	}
	if e.mayHaveRun && failure.Kind.GuaranteesNotExecuted() {
		failure = apierror.New(apierror.ReplicaFailed, "")
	}
	e.handler.Rejections.add(failure.Kind)
	apierror.Write(e.writer, failure)
}
