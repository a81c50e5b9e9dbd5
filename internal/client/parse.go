package client

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/match"
	"ferryspar/internal/replica"
)

type parsedRequest struct {
	route   *configuration.Route
	access  access
	request match.Request
	job     replica.Job
}

const attemptBound = 128

func validAttempt(attempt string) bool {
	if attempt == "" || len(attempt) > attemptBound {
		return false
	}
	for _, letter := range attempt {
		if letter <= ' ' || letter > '~' {
			return false
		}
	}
	return true
}

func (d *Handler) take(request *http.Request, arrived time.Time) (*parsedRequest, error) {
	attempt := request.Header.Get(replica.HeaderAttempt)
	if !validAttempt(attempt) || len(request.Header.Values(replica.HeaderAttempt)) != 1 {
		return nil, apierror.New(apierror.InvalidAttemptID, "")
	}
	fleet := d.awaitConfiguration(request, arrived)
	if fleet.Table == nil {
		return nil, apierror.NewRetryable(apierror.NoConfiguration, 200*time.Millisecond)
	}
	if bound := fleet.Table.Configuration.Limits.MaxHeaderBytes; bound > 0 && headBytes(request) > bound {
		return nil, apierror.New(apierror.HeaderTooLarge, "")
	}
	fleet, allowed, err := d.admit(request, arrived)
	if err != nil {
		return nil, err
	}
	route, tenant := allowed.route, fleet.Table.Tenant(allowed.tenant)
	priority := tenant.PriorityOr(route.Priority)
	if !replica.Sendable(request.RequestURI) {
		return nil, apierror.New(apierror.MalformedRequest, "request target cannot be passed on unchanged")
	}
	body, err := d.body(request, fleet.Table.Configuration.Limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	patience := time.Duration(route.TimeoutMs * float64(time.Millisecond))
	remaining, err := remainingTime(request.Header, patience)
	if err != nil {
		return nil, err
	}
	prompt, output, valid := match.ParseTokens(request.Header.Get(replica.HeaderTokens))
	if !valid {
		return nil, apierror.New(apierror.MalformedRequest, "%s is malformed", replica.HeaderTokens)
	}
	parts, valid := match.ParsePrefix(request.Header.Get(replica.HeaderPrefix))
	if !valid {
		return nil, apierror.New(apierror.MalformedRequest, "%s is malformed", replica.HeaderPrefix)
	}
	backend := route.PickBackend(d.draw())
	model := request.Header.Get(replica.HeaderModel)
	deadline := arrived.Add(min(remaining, patience))
	return &parsedRequest{
		route: route, access: allowed,
		request: match.Request{
			Attempt: attempt, Backend: backend, Model: model, Parts: parts, PrefixHashes: match.HashPrefixes(parts), PromptTokens: prompt, OutputTokens: output,
			Arrived: arrived, Deadline: deadline, LatencyTarget: time.Duration(route.TargetLatencyMs * float64(time.Millisecond)), Priority: priority,
			AllowedRegions: tenant.IntersectRegions(route.AllowedRegions), ExcludedReplicas: map[string]bool{}, ClientRetry: remaining < patience-returnedSlack,
			Idempotent: route.IsIdempotent(), Route: route.Name, Tenant: allowed.tenant,
		},
		job: replica.Job{
			Method: request.Method, URI: request.RequestURI, Host: request.Host, Header: request.Header, Body: body, Attempt: attempt,
			Urgency: min(priority, 9), Deadline: deadline, LastEvent: request.Header.Get(replica.HeaderLastEvent),
			Service: backend, Once: !route.IsIdempotent(), Connections: connectionShare(fleet, backend),
			Tenant: tenant.NameOrEmpty(),
		},
	}, nil
}

// longestRemainingMs bounds the time that a client may state, in milliseconds.
const longestRemainingMs = 1e9

// remainingTime is the time that the client says is left, or the route's patience where it says nothing.
func remainingTime(header http.Header, patience time.Duration) (time.Duration, error) {
	stated := header.Get(replica.HeaderRemaining)
	if stated == "" {
		return patience, nil
	}
	amount, err := strconv.ParseFloat(stated, 64)
	if err != nil || amount < 0 || amount > longestRemainingMs {
		return 0, apierror.New(apierror.MalformedRequest, "%s is no number of milliseconds", replica.HeaderRemaining)
	}
	return time.Duration(amount * float64(time.Millisecond)), nil
}

const (
	returnedSlack = 20 * time.Millisecond
	bodyBound     = 4 << 20
)

const (
	configurationPatience = 1500 * time.Millisecond
	configurationLook     = 15 * time.Millisecond
)

func (d *Handler) awaitConfiguration(request *http.Request, arrived time.Time) *match.Snapshot {
	for {
		fleet := d.fleet.Load()
		if fleet.Table != nil || d.clock().Sub(arrived) > configurationPatience || d.Leaving() {
			return fleet
		}
		if !pause(request.Context()) {
			return fleet
		}
	}
}

// pause waits until the configuration is to be looked at again, or returns false when the client has gone.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(configurationLook)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func connectionShare(fleet *match.Snapshot, backend string) int {
	if stated, _, known := fleet.Table.Backend(backend); known && stated.MaxConns > 0 {
		return max(stated.MaxConns/max(fleet.DataPlanes, 1), 1)
	}
	return 0
}

func headBytes(request *http.Request) int {
	total := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			total += len(name) + len(value) + len(": \r\n")
		}
	}
	return total
}

func (d *Handler) body(request *http.Request, bound int64) ([]byte, error) {
	if bound <= 0 {
		bound = bodyBound
	}
	if request.ContentLength > bound {
		return nil, apierror.New(apierror.BodyTooLarge, "")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, bound))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, apierror.New(apierror.BodyTooLarge, "")
	}
	if err != nil {
		return nil, apierror.New(apierror.MalformedRequest, "body broke off")
	}
	return body, nil
}
