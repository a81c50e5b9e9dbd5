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

// writeSlack is how long past its deadline a response may be written to a client that doesn't read.
const writeSlack = 150 * time.Millisecond

// Handler serves clients: it parses a request, has a replica assigned to it, forwards it and streams the response back.
// It may be used by any number of goroutines.
type Handler struct {
	snapshot     *atomic.Pointer[routing.Snapshot]
	matcher      *routing.Matcher
	forwarder    *replica.Forwarder
	retryBudgets *RetryBudgets
	clock        func() time.Time
	random       func() float64
	draining     atomic.Bool
	inFlight     atomic.Int64

	// RequestLog, if set before the first request, writes down how each request went.
	RequestLog *requestlog.Writer
	// Freshness, if set before the first request, says how new the configuration is. Without it, it counts as the newest.
	Freshness Freshness
	// Quota, if set before the first request, may reject requests of tenants beyond their limit.
	Quota Quota
	// Usage, if set before the first request, counts the requests of tenants that replicas began to run.
	Usage UsageCounter
	// Rejections counts what was answered with an error of this data plane's own.
	Rejections RejectionCounts
	// Attempts counts how attempts at replicas ended.
	Attempts AttemptCounts
}

// UsageCounter counts requests. Any goroutine may call it.
type UsageCounter interface {
	// RecordRequest counts a request of a tenant of which a replica has made the first bytes.
	RecordRequest(tenant string)
}

// NewHandler returns a handler that reads the snapshot as it stands at each request. random gives numbers from 0 up to 1 for
// the split of traffic over backends.
func NewHandler(
	snapshot *atomic.Pointer[routing.Snapshot],
	matcher *routing.Matcher,
	forwarder *replica.Forwarder,
	retryBudgets *RetryBudgets,
	clock func() time.Time,
	random func() float64,
) *Handler {
	return &Handler{
		snapshot:     snapshot,
		matcher:      matcher,
		forwarder:    forwarder,
		retryBudgets: retryBudgets,
		clock:        clock,
		random:       random,
	}
}

// Drain asks clients from now on to close their connections.
func (h *Handler) Drain() { h.draining.Store(true) }

// Draining reports whether Drain was called.
func (h *Handler) Draining() bool { return h.draining.Load() }

// InFlight is the number of requests being served.
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
		h.reject(writer, err)
		return
	}
	h.retryBudgets.ForBackend(parsed.request.Backend).RecordRequest(arrived)
	ctx, cancel := context.WithDeadline(request.Context(), parsed.request.Deadline)
	defer cancel()
	_ = http.NewResponseController(writer).SetWriteDeadline(parsed.request.Deadline.Add(writeSlack))
	served := &exchange{handler: h, parsed: parsed, writer: writer}
	defer served.logOutcome()
	served.run(ctx)
}

// reject answers a request that is not forwarded.
func (h *Handler) reject(writer http.ResponseWriter, err error) {
	kind := apierror.From(err).Kind
	h.Rejections.add(kind)
	if kind == apierror.BodyTooLarge {
		writer.Header().Set("Connection", "close")
	}
	apierror.Write(writer, err)
}
