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

const (
	// maxAttemptIDLength is the longest id of an attempt, in bytes.
	maxAttemptIDLength = 128
	// maxRemainingMs is the longest time that a client may state, in milliseconds.
	maxRemainingMs = 1e9
	// clientRetryTolerance is how much less than the route's timeout a client may state before its request counts as one that
	// comes again.
	clientRetryTolerance = 20 * time.Millisecond
	// defaultMaxBodyBytes is the limit on a body where the configuration states none.
	defaultMaxBodyBytes = 4 << 20
	// maxUrgency is the last rank that replicas know.
	maxUrgency = 9

	// configurationTimeout is how long a request waits for the first configuration, and configurationPollInterval how
	// often it looks.
	configurationTimeout      = 1500 * time.Millisecond
	configurationPollInterval = 15 * time.Millisecond
	// noConfigurationRetryAfter is when a client may try again that came before the first configuration.
	noConfigurationRetryAfter = 200 * time.Millisecond
)

// parsedRequest is a client's request with what the configuration says of it.
type parsedRequest struct {
	route         *configuration.Route
	authorization authorization
	// request is what the matcher gets, and upstream what the replica gets.
	request  routing.Request
	upstream replica.UpstreamRequest
}

// promptHeaders are what a client states of its prompt.
type promptHeaders struct {
	promptTokens float64
	outputTokens float64
	parts        []routing.Part
}

// parse reads a request whole and checks all that does not depend on other requests. The errors are of package apierror.
func (h *Handler) parse(request *http.Request, arrived time.Time) (*parsedRequest, error) {
	attemptID := request.Header.Get(replica.HeaderAttemptID)
	if !validAttemptID(attemptID) || len(request.Header.Values(replica.HeaderAttemptID)) != 1 {
		return nil, apierror.New(apierror.InvalidAttemptID, "")
	}
	snapshot := h.awaitConfiguration(request, arrived)
	if snapshot.Table == nil {
		return nil, apierror.NewRetryable(apierror.NoConfiguration, noConfigurationRetryAfter)
	}
	if limit := snapshot.Table.Configuration.Limits.MaxHeaderBytes; limit > 0 && headerBytes(request) > limit {
		return nil, apierror.New(apierror.HeaderTooLarge, "")
	}
	snapshot, allowed, err := h.authorize(request, arrived)
	if err != nil {
		return nil, err
	}
	if !replica.ValidRequestTarget(request.RequestURI) {
		return nil, apierror.New(apierror.MalformedRequest, "request target cannot be passed on unchanged")
	}
	body, err := readBody(request, snapshot.Table.Configuration.Limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	timeout := milliseconds(allowed.route.TimeoutMs)
	remaining, err := remainingTime(request.Header, timeout)
	if err != nil {
		return nil, err
	}
	prompt, err := parsePromptHeaders(request.Header)
	if err != nil {
		return nil, err
	}
	parsed := &parsedRequest{route: allowed.route, authorization: allowed}
	parsed.request = routing.Request{
		Attempt:      attemptID,
		Backend:      allowed.route.PickBackend(h.random()),
		Model:        request.Header.Get(replica.HeaderModel),
		Parts:        prompt.parts,
		PrefixHashes: routing.HashPrefixes(prompt.parts),
		PromptTokens: prompt.promptTokens,
		OutputTokens: prompt.outputTokens,
		Arrived:      arrived,
		Deadline:     arrived.Add(min(remaining, timeout)),
		ClientRetry:  remaining < timeout-clientRetryTolerance,
	}
	parsed.applyRoute(snapshot)
	parsed.setUpstream(request, body, snapshot)
	parsed.request.Unsplit = parsed.upstream.LastEventID != ""
	return parsed, nil
}

// applyRoute sets what the matcher gets to know of the route and of the tenant.
func (p *parsedRequest) applyRoute(snapshot *routing.Snapshot) {
	tenant := snapshot.Table.Tenant(p.authorization.tenant)
	p.request.LatencyTarget = milliseconds(p.route.TargetLatencyMs)
	p.request.TokenGap = milliseconds(p.route.TokenGapMs)
	p.request.Priority = tenant.PriorityOr(p.route.Priority)
	p.request.AllowedRegions = tenant.IntersectRegions(p.route.AllowedRegions)
	p.request.ExcludedReplicas = map[string]bool{}
	p.request.Idempotent = p.route.IsIdempotent()
	p.request.Route = p.route.Name
	p.request.Tenant = p.authorization.tenant
}

// setUpstream sets what the replica gets.
func (p *parsedRequest) setUpstream(request *http.Request, body []byte, snapshot *routing.Snapshot) {
	p.upstream = replica.UpstreamRequest{
		Method:             request.Method,
		URI:                request.RequestURI,
		Host:               request.Host,
		Header:             request.Header,
		Body:               body,
		AttemptID:          p.request.Attempt,
		Urgency:            min(p.request.Priority, maxUrgency),
		Deadline:           p.request.Deadline,
		LastEventID:        request.Header.Get(replica.HeaderLastEventID),
		Backend:            p.request.Backend,
		NonIdempotent:      !p.route.IsIdempotent(),
		MaxIdleConnections: connectionsPerDataPlane(snapshot, p.request.Backend),
		Tenant:             snapshot.Table.Tenant(p.authorization.tenant).NameOrEmpty(),
	}
}

func validAttemptID(attemptID string) bool {
	if attemptID == "" || len(attemptID) > maxAttemptIDLength {
		return false
	}
	for _, letter := range attemptID {
		if letter <= ' ' || letter > '~' {
			return false
		}
	}
	return true
}

// parsePromptHeaders reads the token counts and the prefix of the prompt.
func parsePromptHeaders(header http.Header) (promptHeaders, error) {
	promptTokens, outputTokens, valid := routing.ParseTokens(header.Get(replica.HeaderTokenCount))
	if !valid {
		return promptHeaders{}, apierror.New(apierror.MalformedRequest, "%s is malformed", replica.HeaderTokenCount)
	}
	parts, valid := routing.ParsePrefix(header.Get(replica.HeaderPromptPrefix))
	if !valid {
		return promptHeaders{}, apierror.New(apierror.MalformedRequest, "%s is malformed", replica.HeaderPromptPrefix)
	}
	return promptHeaders{promptTokens: promptTokens, outputTokens: outputTokens, parts: parts}, nil
}

// remainingTime is the time that the client says is left, or the route's timeout where it says nothing.
func remainingTime(header http.Header, timeout time.Duration) (time.Duration, error) {
	stated := header.Get(replica.HeaderTimeRemaining)
	if stated == "" {
		return timeout, nil
	}
	remaining, err := strconv.ParseFloat(stated, 64)
	if err != nil || remaining < 0 || remaining > maxRemainingMs {
		return 0, apierror.New(apierror.MalformedRequest, "%s is no number of milliseconds", replica.HeaderTimeRemaining)
	}
	return milliseconds(remaining), nil
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// awaitConfiguration returns the snapshot as soon as it has a configuration, or without one after configurationTimeout.
func (h *Handler) awaitConfiguration(request *http.Request, arrived time.Time) *routing.Snapshot {
	for {
		snapshot := h.snapshot.Load()
		if snapshot.Table != nil || h.clock().Sub(arrived) > configurationTimeout || h.Draining() {
			return snapshot
		}
		if !awaitPollInterval(request.Context()) {
			return snapshot
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

// connectionsPerDataPlane is this data plane's share of the connections that a replica of the backend takes; 0 is no limit.
func connectionsPerDataPlane(snapshot *routing.Snapshot, name string) int {
	backend, _, known := snapshot.Table.Backend(name)
	if !known || backend.MaxConns <= 0 {
		return 0
	}
	return max(backend.MaxConns/max(snapshot.DataPlanes, 1), 1)
}

// headerBytes is how many bytes the head of a request takes, without its framing.
func headerBytes(request *http.Request) int {
	total := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			total += len(name) + len(value) + len(": \r\n")
		}
	}
	return total
}

// readBody reads a body whole, up to the limit in bytes; a limit of 0 stands for the default.
func readBody(request *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if request.ContentLength > limit {
		return nil, apierror.New(apierror.BodyTooLarge, "")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierror.New(apierror.BodyTooLarge, "")
	}
	if err != nil {
		return nil, apierror.New(apierror.MalformedRequest, "body broke off")
	}
	return body, nil
}
