package replica

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/routing"
)

// UpstreamRequest is a client's request to be forwarded to a replica.
type UpstreamRequest struct {
	Method string
	// URI is the request target exactly as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// AttemptID is the client's id of this attempt, which the response must echo.
	AttemptID string
	// Urgency is the priority sent to the replica, from 0 (highest) to 9.
	Urgency int
	// Deadline is when the client's or the route's timeout expires, whichever is earlier.
	Deadline time.Time
	// LastEventID, if set, is the id of the event after which a resumed stream continues.
	LastEventID string
	// Backend is the name of the replica's backend. Idle times of connections are estimated per backend.
	Backend string
	// Tenant is the tenant's name sent to the replica, or empty.
	Tenant string
	// NonIdempotent is set if the request must not be executed twice.
	NonIdempotent bool
	// MaxIdleConnections limits the idle connections to the replica; 0 selects the forwarder's default.
	MaxIdleConnections int

	// phase is PhasePrefill if only the prompt is to be processed. Only Prefill sets it.
	phase discovery.Phase
	// handleSource is the value of HeaderKVSource. Only SendDecode sets it.
	handleSource string
}

// unrewindableBody hides the type of the reader from net/http, which therefore cannot rewind the body to send it again.
type unrewindableBody struct{ *bytes.Reader }

// Close is a no-op: the body is in memory.
func (unrewindableBody) Close() error { return nil }

// newRequest builds the HTTP request for a replica.
func (f *Forwarder) newRequest(ctx context.Context, target routing.Target, upstream UpstreamRequest) *http.Request {
	request := &http.Request{
		Method:     upstream.Method,
		Host:       upstream.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		URL:        &url.URL{Scheme: "http", Host: target.Address()},
		Header:     forwardedHeader(upstream.Header),
	}
	request = request.WithContext(ctx)
	setTarget(request.URL, upstream.URI)
	setBody(request, upstream.Body)
	remaining := upstream.Deadline.Sub(f.clock()).Milliseconds()
	request.Header.Set(HeaderTimeRemaining, strconv.FormatInt(max(remaining, 1), 10))
	request.Header.Set(HeaderTargetReplica, target.ReplicaID())
	request.Header.Set(HeaderUrgency, strconv.Itoa(upstream.Urgency))
	setTenant(request.Header, upstream.Tenant)
	setPhase(request.Header, upstream)
	if upstream.LastEventID != "" {
		request.Header.Set(HeaderLastEventID, upstream.LastEventID)
	}
	if _, stated := request.Header["User-Agent"]; !stated {
		// An empty value stops the transport from adding its default User-Agent.
		request.Header["User-Agent"] = []string{""}
	}
	return request
}

// setBody sets the body and its length. Without a body, POST and PUT requests are sent with Content-Length: 0.
func setBody(request *http.Request, body []byte) {
	if len(body) > 0 {
		request.Body = unrewindableBody{bytes.NewReader(body)}
		request.ContentLength = int64(len(body))
		return
	}
	if request.Method == http.MethodPost || request.Method == http.MethodPut {
		request.Body = http.NoBody
	}
}

// setTenant sets the tenant header, overriding the client's, and removes the client's API key.
func setTenant(header http.Header, tenant string) {
	header.Del(HeaderAPIKey)
	header.Del(HeaderTenant)
	if tenant != "" {
		header.Set(HeaderTenant, tenant)
	}
}

// setPhase sets the headers of disaggregated serving, overriding the client's: a client must not gain access to the KV cache of
// another request.
func setPhase(header http.Header, upstream UpstreamRequest) {
	header.Del(HeaderServingPhase)
	header.Del(HeaderKVSource)
	if upstream.phase == discovery.PhasePrefill {
		header.Set(HeaderServingPhase, string(upstream.phase))
	}
	if upstream.handleSource != "" {
		header.Set(HeaderKVSource, upstream.handleSource)
	}
}

// ValidRequestTarget reports whether a client's request target can be forwarded unchanged.
func ValidRequestTarget(uri string) bool {
	if !strings.HasPrefix(uri, "/") {
		return false
	}
	composed := url.URL{Scheme: "http", Host: "replica"}
	setTarget(&composed, uri)
	return composed.RequestURI() == uri
}

// setTarget makes the URL serialize to exactly the given request target. It sets Opaque, except for a target that begins with two
// slashes, which net/url would interpret as a host.
func setTarget(composed *url.URL, uri string) {
	path, query, found := strings.Cut(uri, "?")
	if !strings.HasPrefix(path, "//") {
		composed.Opaque = uri
		return
	}
	composed.Path, composed.RawPath = path, path
	composed.RawQuery, composed.ForceQuery = query, found && query == ""
	if decoded, err := url.PathUnescape(path); err == nil {
		composed.Path = decoded
	}
}

// forwardedHeader returns the end-to-end headers. Headers of the protocol are kept even if Connection lists them: the attempt id
// and the seal match a response to its request.
func forwardedHeader(header http.Header) http.Header {
	kept := header.Clone()
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !strings.HasPrefix(name, protocolPrefix) {
				kept.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	kept.Del("Expect")
	kept.Del("Content-Length")
	return kept
}

// CopyResponseHeader copies the end-to-end headers of a replica's response to target.
func CopyResponseHeader(target, source http.Header) {
	for name, values := range forwardedHeader(source) {
		target[name] = values
	}
}
