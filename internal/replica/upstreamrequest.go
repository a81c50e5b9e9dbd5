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

// UpstreamRequest is a client's request as it is to be sent to a replica.
type UpstreamRequest struct {
	Method string
	// URI is the request target as the client wrote it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// AttemptID is the client's id of this attempt, which its response has to bear.
	AttemptID string
	// Urgency is the rank sent to the replica, from 0 (first) to 9.
	Urgency int
	// Deadline is when the client or the route gives the request up.
	Deadline time.Time
	// LastEventID, if any, is the id of the event after which a stream goes on.
	LastEventID string
	// Backend is the name of the replica's backend; its replicas are taken to keep idle connections equally long.
	Backend string
	// Tenant is the name sent to the replica, empty for a request of no tenant.
	Tenant string
	// NonIdempotent says that the request may not run twice.
	NonIdempotent bool
	// MaxIdleConnections limits the idle connections kept to the replica; 0 leaves it to the forwarder.
	MaxIdleConnections int

	// phase is PhasePrefill for a request of which only the prompt is to be read; set by Prefill alone.
	phase discovery.Phase
	// handleSource is the memory to continue from; set by SendDecode alone.
	handleSource string
}

// unrewindableBody hides the kind of reader from the library, which then can't read the body a second time by itself.
type unrewindableBody struct{ *bytes.Reader }

// Close does nothing: the body is in memory.
func (unrewindableBody) Close() error { return nil }

// newRequest composes the HTTP request for a replica.
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
		// An empty value keeps the transport from adding its own.
		request.Header["User-Agent"] = []string{""}
	}
	return request
}

// setBody gives the request its body, so that it is framed by a length where its method usually has one.
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

// setTenant names the tenant whatever the client claimed, and takes the client's key away.
func setTenant(header http.Header, tenant string) {
	header.Del(HeaderAPIKey)
	header.Del(HeaderTenant)
	if tenant != "" {
		header.Set(HeaderTenant, tenant)
	}
}

// setPhase states which part of the request is to be done, whatever the client claimed: a client must not reach another
// request's memory.
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

// ValidRequestTarget reports whether a request target, as a client sent it, can be passed on unchanged.
func ValidRequestTarget(uri string) bool {
	if !strings.HasPrefix(uri, "/") {
		return false
	}
	composed := url.URL{Scheme: "http", Host: "replica"}
	setTarget(&composed, uri)
	return composed.RequestURI() == uri
}

// setTarget makes the URL write the request target exactly as given. Opaque does so for all but a target that begins with
// two slashes, which the library would take for a host.
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

// forwardedHeader returns the headers that concern more than one connection. Headers of the protocol stay, whatever
// Connection lists: the attempt id and the seal are what ties a response to its request.
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

// CopyResponseHeader copies the headers of a replica's response that its client is to see.
func CopyResponseHeader(target, source http.Header) {
	for name, values := range forwardedHeader(source) {
		target[name] = values
	}
}
