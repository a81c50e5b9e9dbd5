package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/bodybudget"
	"ferryspar/internal/replica"
	"ferryspar/internal/requestlog"
	"ferryspar/internal/routing"
)

// writeGrace is how long after the request's deadline the response may still be written to a slow client.
const writeGrace = 150 * time.Millisecond

// Handler is the HTTP handler for client requests. It parses a request, obtains a replica for it, forwards it and streams the
// response back. It is safe for concurrent use.
type Handler struct {
	snapshot     *atomic.Pointer[routing.Snapshot]
	matcher      *routing.Matcher
	forwarder    *replica.Forwarder
	retryBudgets *RetryBudgets
	clock        func() time.Time
	random       func() float64
	// shutdown is set once the data plane is shutting down.
	shutdown    atomic.Pointer[shutdown]
	inFlight    atomic.Int64
	completions completionTimes
	bodies      *bodybudget.Budget

	// RequestLog, if set before the first request, receives an entry for each request.
	RequestLog *requestlog.Writer
	// Freshness, if set before the first request, reports whether the configuration is up to date. If nil, it always counts as such.
	Freshness Freshness
	// Quota, if set before the first request, rejects requests of tenants that exceed their rate limit.
	Quota Quota
	// Usage, if set before the first request, counts the requests of each tenant whose execution has started.
	Usage UsageCounter
	// Rejections counts the errors that this data plane answered itself.
	Rejections RejectionCounts
	// Attempts counts the outcomes of attempts.
	Attempts AttemptCounts
}

// UsageCounter counts requests per tenant. Implementations must be safe for concurrent use.
type UsageCounter interface {
	// RecordRequest counts a request of a tenant. It is called when the first bytes of a successful response arrive.
	RecordRequest(tenant string)
}

// NewHandler returns a handler that loads the snapshot anew for each request. bodies limits the memory of request bodies. random
// returns numbers in [0, 1), which choose the backend where a route splits its traffic.
func NewHandler(
	snapshot *atomic.Pointer[routing.Snapshot],
	matcher *routing.Matcher,
	forwarder *replica.Forwarder,
	retryBudgets *RetryBudgets,
	bodies *bodybudget.Budget,
	clock func() time.Time,
	random func() float64,
) *Handler {
	return &Handler{
		snapshot:     snapshot,
		matcher:      matcher,
		forwarder:    forwarder,
		retryBudgets: retryBudgets,
		bodies:       bodies,
		clock:        clock,
		random:       random,
	}
}

// Drain makes all further responses ask clients to close their connections, and rejects requests that may not be complete at
// closesAt, when the data plane closes its connections.
func (h *Handler) Drain(closesAt time.Time) {
	h.shutdown.Store(&shutdown{startedAt: h.clock(), closesAt: closesAt})
}

// Draining reports whether Drain was called.
func (h *Handler) Draining() bool { return h.shutdown.Load() != nil }

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := h.clock()
	markHandled(request.Context())
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.Draining() {
		writer.Header().Set("Connection", "close")
	}
	parsed, err := h.parse(request, arrived)
	if parsed != nil {
		defer parsed.releaseBody()
	}
	if err == nil {
		err = h.checkQuota(request.Context(), parsed)
	}
	if err != nil {
		h.Reject(writer, err)
		return
	}
	h.retryBudgets.ForBackend(parsed.request.Backend).RecordRequest(arrived)
	ctx, cancel := context.WithDeadline(request.Context(), parsed.request.Deadline)
	defer cancel()
	_ = http.NewResponseController(writer).SetWriteDeadline(parsed.request.Deadline.Add(writeGrace))
	served := &exchange{handler: h, parsed: parsed, writer: writer}
	defer served.logOutcome()
	served.run(ctx)
}

// Reject answers a request that is not forwarded with an error.
func (h *Handler) Reject(writer http.ResponseWriter, err error) {
	kind := apierror.From(err).Kind
	h.Rejections.add(kind)
	if kind == apierror.BodyTooLarge || kind == apierror.BodyMemoryExceeded || kind == apierror.RequestTooSlow {
		writer.Header().Set("Connection", "close")
	}
	apierror.Write(writer, err)
}
