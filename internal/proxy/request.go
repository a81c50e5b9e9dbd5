package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ferryspar/internal/apierror"
	"ferryspar/internal/configuration"
	"ferryspar/internal/replica"
	"ferryspar/internal/routing"
)

const (
	// maxAttemptIDLength is the maximum length of an attempt id, in bytes.
	maxAttemptIDLength = 128
	// maxRemainingMs is the largest remaining time that a client may state, in milliseconds.
	maxRemainingMs = 1e9
	// maxUrgency is the highest urgency class that replicas accept.
	maxUrgency = 9

	// configurationPollInterval is how often a request that waits for a configuration looks for it.
	configurationPollInterval = 15 * time.Millisecond
	// Clients abandon a data plane that has not read their request after maxUnreadWait, or after their remaining time divided by
	// unreadWaitDivisor (protocol, "Answers").
	maxUnreadWait     = time.Second
	unreadWaitDivisor = 3
)

// parsedRequest is a client request with the route and tenant that the configuration assigns to it.
type parsedRequest struct {
	route         *configuration.Route
	authorization authorization
	// request is passed to the matcher, upstream to the forwarder.
	request  routing.Request
	upstream replica.UpstreamRequest
	// releaseBody gives the body's bytes back to the budget.
	releaseBody func()
}

// promptHeaders holds the token counts and prefix parts that the request headers state of the prompt.
type promptHeaders struct {
	promptTokens float64
	outputTokens float64
	parts        []routing.PromptPart
}

// parse reads the whole request and makes all checks that do not depend on other requests. Errors are of package apierror.
func (h *Handler) parse(request *http.Request, arrived time.Time) (*parsedRequest, error) {
	request.RequestURI = originForm(request.RequestURI)
	attemptID := request.Header.Get(replica.HeaderAttemptID)
	if !isValidAttemptID(attemptID) || len(request.Header.Values(replica.HeaderAttemptID)) != 1 {
		return nil, apierror.New(apierror.InvalidAttemptID, "")
	}
	snapshot := h.awaitConfiguration(request, arrived)
	if snapshot.Table == nil {
		return nil, apierror.NewRetryAtOnce(apierror.NoConfiguration)
	}
	snapshot, allowed, err := h.authorize(request, arrived)
	if err != nil {
		return nil, err
	}
	if !replica.ValidRequestTarget(request.RequestURI) {
		return nil, apierror.New(apierror.MalformedRequest, "request target cannot be passed on unchanged")
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
	deadline := arrived.Add(min(remaining, timeout))
	body, err := h.readBody(request, snapshot.Table.Configuration.Limits.MaxBodyBytes, deadline)
	if err != nil {
		return nil, err
	}
	parsed := &parsedRequest{route: allowed.route, authorization: allowed, releaseBody: body.release}
	parsed.request = routing.Request{
		AttemptID:    attemptID,
		Backend:      allowed.route.PickBackend(h.random()),
		Model:        request.Header.Get(replica.HeaderModel),
		Parts:        prompt.parts,
		PrefixHashes: routing.HashPrefixes(prompt.parts),
		PromptTokens: prompt.promptTokens,
		OutputTokens: prompt.outputTokens,
		ArrivedAt:    arrived,
		Deadline:     deadline,
	}
	parsed.applyRoute(snapshot)
	parsed.setUpstream(request, body.content, snapshot)
	parsed.request.NoPrefillStep = parsed.upstream.LastEventID != ""
	return parsed, nil
}

// applyRoute sets the fields of the matcher's request that derive from the route and the tenant.
func (p *parsedRequest) applyRoute(snapshot *routing.Snapshot) {
	tenant := snapshot.Table.Tenant(p.authorization.tenant)
	p.request.LatencyTarget = milliseconds(p.route.TargetLatencyMs)
	p.request.MaxTokenGap = milliseconds(p.route.TokenGapMs)
	p.request.Priority = tenant.PriorityOr(p.route.Priority)
	p.request.AllowedRegions = tenant.IntersectRegions(p.route.AllowedRegions)
	p.request.ExcludedReplicas = map[string]bool{}
	p.request.Idempotent = p.route.IsIdempotent()
	p.request.Route = p.route.Name
	p.request.Tenant = p.authorization.tenant
}

// setUpstream sets the request that is forwarded to the replica.
func (p *parsedRequest) setUpstream(request *http.Request, body []byte, snapshot *routing.Snapshot) {
	p.upstream = replica.UpstreamRequest{
		Method:             request.Method,
		URI:                request.RequestURI,
		Host:               request.Host,
		Header:             request.Header,
		Body:               body,
		AttemptID:          p.request.AttemptID,
		Urgency:            min(p.request.Priority, maxUrgency),
		Deadline:           p.request.Deadline,
		LastEventID:        request.Header.Get(replica.HeaderLastEventID),
		Backend:            p.request.Backend,
		NonIdempotent:      !p.route.IsIdempotent(),
		MaxIdleConnections: connectionsPerDataPlane(snapshot, p.request.Backend),
		Tenant:             snapshot.Table.Tenant(p.authorization.tenant).NameOrEmpty(),
	}
}

// isValidAttemptID reports whether the id is non-empty printable ASCII without spaces, of at most maxAttemptIDLength bytes.
func isValidAttemptID(attemptID string) bool {
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

// parsePromptHeaders parses the headers for the token counts and the prefix of the prompt.
func parsePromptHeaders(header http.Header) (promptHeaders, error) {
	promptTokens, outputTokens, valid := routing.ParseTokenCounts(header.Get(replica.HeaderTokenCount))
	if !valid {
		return promptHeaders{}, apierror.New(apierror.MalformedRequest, "%s is malformed", replica.HeaderTokenCount)
	}
	parts, valid := routing.ParsePromptPrefix(header.Get(replica.HeaderPromptPrefix))
	if !valid {
		return promptHeaders{}, apierror.New(apierror.MalformedRequest, "%s is malformed", replica.HeaderPromptPrefix)
	}
	return promptHeaders{promptTokens: promptTokens, outputTokens: outputTokens, parts: parts}, nil
}

// remainingTime returns the remaining time that the client states, or the route's timeout if it states none.
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

// unreadWait returns how long a request with the header may wait for a configuration before it is read.
func unreadWait(header http.Header) time.Duration {
	remaining, err := remainingTime(header, maxUnreadWait*unreadWaitDivisor)
	if err != nil {
		return maxUnreadWait
	}
	return min(maxUnreadWait, remaining/unreadWaitDivisor)
}

// awaitConfiguration returns the first snapshot with a configuration, or one without if none arrives within unreadWait.
func (h *Handler) awaitConfiguration(request *http.Request, arrived time.Time) *routing.Snapshot {
	for {
		snapshot := h.snapshot.Load()
		if snapshot.Table != nil || h.clock().Sub(arrived) > unreadWait(request.Header) || h.Draining() {
			return snapshot
		}
		if !awaitPollInterval(request.Context()) {
			return snapshot
		}
	}
}

// awaitPollInterval waits for configurationPollInterval and reports whether the client is still connected.
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

// connectionsPerDataPlane returns this data plane's share of the backend's connection limit per replica; 0 means no limit.
func connectionsPerDataPlane(snapshot *routing.Snapshot, name string) int {
	backend, _, known := snapshot.Table.Backend(name)
	if !known || backend.MaxConns <= 0 {
		return 0
	}
	return max(backend.MaxConns/max(snapshot.DataPlaneCount, 1), 1)
}

// originForm returns a target in absolute form, as clients send it to proxies, without its scheme and host, and any other target
// unchanged (RFC 9112, 3.2.2).
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, found := strings.Cut(target, "://")
	if !found {
		return target
	}
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	default:
		return rest[start:]
	}
}
