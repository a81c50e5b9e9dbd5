package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

type parsedRequest struct {
	route         *configuration.Route
	authorization authorization
	request       routing.Request
	upstream      replica.UpstreamRequest
}

const maxAttemptIDLength = 128

func validAttemptID(attempt string) bool {
	if attempt == "" || len(attempt) > maxAttemptIDLength {
		return false
	}
	for _, letter := range attempt {
		if letter <= ' ' || letter > '~' {
			return false
		}
	}
	return true
}

func (h *Handler) parse(request *http.Request, arrived time.Time) (*parsedRequest, error) {
	attempt := request.Header.Get(replica.HeaderAttempt)
	if !validAttemptID(attempt) || len(request.Header.Values(replica.HeaderAttempt)) != 1 {
		return nil, apierror.New(apierror.InvalidAttemptID, "")
	}
	fleet := h.awaitConfiguration(request, arrived)
	if fleet.Table == nil {
		return nil, apierror.NewRetryable(apierror.NoConfiguration, 200*time.Millisecond)
	}
	if limit := fleet.Table.Configuration.Limits.MaxHeaderBytes; limit > 0 && headerBytes(request) > limit {
		return nil, apierror.New(apierror.HeaderTooLarge, "")
	}
	fleet, allowed, err := h.authorize(request, arrived)
	if err != nil {
		return nil, err
	}
	route, tenant := allowed.route, fleet.Table.Tenant(allowed.tenant)
	priority := tenant.PriorityOr(route.Priority)
	if !replica.ValidTarget(request.RequestURI) {
		return nil, apierror.New(apierror.MalformedRequest, "request target cannot be passed on unchanged")
	}
	body, err := h.readBody(request, fleet.Table.Configuration.Limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	timeout := time.Duration(route.TimeoutMs * float64(time.Millisecond))
	remaining, err := remainingTime(request.Header, timeout)
	if err != nil {
		return nil, err
	}
	prompt, output, valid := routing.ParseTokens(request.Header.Get(replica.HeaderTokens))
	if !valid {
		return nil, apierror.New(apierror.MalformedRequest, "%s is malformed", replica.HeaderTokens)
	}
	parts, valid := routing.ParsePrefix(request.Header.Get(replica.HeaderPrefix))
	if !valid {
		return nil, apierror.New(apierror.MalformedRequest, "%s is malformed", replica.HeaderPrefix)
	}
	backend := route.PickBackend(h.random())
	model := request.Header.Get(replica.HeaderModel)
	deadline := arrived.Add(min(remaining, timeout))
	return &parsedRequest{
		route: route, authorization: allowed,
		request: routing.Request{
			Attempt: attempt, Backend: backend, Model: model, Parts: parts, PrefixHashes: routing.HashPrefixes(parts), PromptTokens: prompt, OutputTokens: output,
			Arrived: arrived, Deadline: deadline, LatencyTarget: time.Duration(route.TargetLatencyMs * float64(time.Millisecond)), Priority: priority,
			AllowedRegions: tenant.IntersectRegions(route.AllowedRegions), ExcludedReplicas: map[string]bool{}, ClientRetry: remaining < timeout-returnedTolerance,
			Idempotent: route.IsIdempotent(), Route: route.Name, Tenant: allowed.tenant,
		},
		upstream: replica.UpstreamRequest{
			Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header, Body: body, AttemptID: attempt,
			Urgency: min(priority, 9), Deadline: deadline, LastEventID: request.Header.Get(replica.HeaderLastEventID),
			Backend: backend, NonIdempotent: !route.IsIdempotent(), MaxIdleConnections: connectionsPerEdge(fleet, backend),
			Tenant: tenant.NameOrEmpty(),
		},
	}, nil
}

// maxRemainingMs bounds the time that a client may state, in milliseconds.
const maxRemainingMs = 1e9

// remainingTime is the time that the client says is left, or the route's patience where it says nothing.
func remainingTime(header http.Header, timeout time.Duration) (time.Duration, error) {
	stated := header.Get(replica.HeaderRemaining)
	if stated == "" {
		return timeout, nil
	}
	amount, err := strconv.ParseFloat(stated, 64)
	if err != nil || amount < 0 || amount > maxRemainingMs {
		return 0, apierror.New(apierror.MalformedRequest, "%s is no number of milliseconds", replica.HeaderRemaining)
	}
	return time.Duration(amount * float64(time.Millisecond)), nil
}

const (
	returnedTolerance   = 20 * time.Millisecond
	defaultMaxBodyBytes = 4 << 20
)

const (
	configurationTimeout      = 1500 * time.Millisecond
	configurationPollInterval = 15 * time.Millisecond
)

func (h *Handler) awaitConfiguration(request *http.Request, arrived time.Time) *routing.Snapshot {
	for {
		fleet := h.fleet.Load()
		if fleet.Table != nil || h.clock().Sub(arrived) > configurationTimeout || h.Draining() {
			return fleet
		}
		if !awaitPollInterval(request.Context()) {
			return fleet
		}
	}
}

// awaitPollInterval waits until the configuration is to be looked at again, or returns false when the client has gone.
func awaitPollInterval(ctx context.Context) bool {
	timer := time.NewTimer(configurationPollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func connectionsPerEdge(fleet *routing.Snapshot, backend string) int {
	if stated, _, known := fleet.Table.Backend(backend); known && stated.MaxConns > 0 {
		return max(stated.MaxConns/max(fleet.DataPlanes, 1), 1)
	}
	return 0
}

func headerBytes(request *http.Request) int {
	total := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			total += len(name) + len(value) + len(": \r\n")
		}
	}
	return total
}

func (h *Handler) readBody(request *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if request.ContentLength > limit {
		return nil, apierror.New(apierror.BodyTooLarge, "")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, apierror.New(apierror.BodyTooLarge, "")
	}
	if err != nil {
		return nil, apierror.New(apierror.MalformedRequest, "body broke off")
	}
	return body, nil
}
