package replica

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ferryspar/internal/peer"
)

// UpstreamRequest is a client's request as it is to be sent to a replica.
type UpstreamRequest struct {
	Method string
	// URI is the request target as the client wrote it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Attempt is the client's id of this try, which its answer has to bear.
	AttemptID string
	// Urgency is the rank told to the replica, from 0 (first) to 9.
	Urgency int
	// Deadline is when the client or the route gives the request up.
	Deadline time.Time
	// LastEventID, if any, is the id of the event after which a stream goes on.
	LastEventID string
	Backend     string
	// Tenant is the name told to the replica, empty for a request of no tenant.
	Tenant string
	// Once says that the request may not be repeated.
	NonIdempotent bool
	// Connections bounds the idle connections kept to the replica; 0 leaves it to the forwarder.
	MaxIdleConnections int
}

// Forwarder sends clients' requests to replicas. It may be used by any number of goroutines.
type Forwarder struct{ transportPool }

// NewForwarder returns a forwarder over the network. A connection that doesn't come up within connectTimeout, or whose
// other end acknowledges nothing for the time of silence, is given up.
func NewForwarder(network peer.Network, clock func() time.Time, connectTimeout, ackTimeout time.Duration) *Forwarder {
	return &Forwarder{transportPool{
		transports: map[string]*pooledTransport{}, idleEstimates: map[string]*idleEstimate{}, connectTimeout: connectTimeout, ackTimeout: ackTimeout,
		clock: clock, network: network,
	}}
}

// unrewindableBody hides the kind of reader from the library, which then can't read the body a second time by itself.
type unrewindableBody struct{ *bytes.Reader }

func (unrewindableBody) Close() error { return nil }

func (f *Forwarder) newRequest(ctx context.Context, address, identity string, upstream UpstreamRequest) *http.Request {
	request := &http.Request{
		Method: upstream.Method, Host: upstream.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: address}, Header: forwardedHeader(upstream.Header),
	}
	request = request.WithContext(ctx)
	setTarget(request.URL, upstream.URI)
	if len(upstream.Body) > 0 || upstream.Method == http.MethodPost || upstream.Method == http.MethodPut {
		request.Body = unrewindableBody{bytes.NewReader(upstream.Body)}
		request.ContentLength = int64(len(upstream.Body))
		if len(upstream.Body) == 0 {
			request.Body = http.NoBody
		}
	}
	remaining := upstream.Deadline.Sub(f.clock()).Milliseconds()
	request.Header.Set(HeaderRemaining, strconv.FormatInt(max(remaining, 1), 10))
	request.Header.Set(HeaderTarget, identity)
	request.Header.Set(HeaderUrgency, strconv.Itoa(upstream.Urgency))
	setTenant(request.Header, upstream.Tenant)
	if upstream.LastEventID != "" {
		request.Header.Set(HeaderLastEventID, upstream.LastEventID)
	}
	if _, named := request.Header["User-Agent"]; !named {
		request.Header["User-Agent"] = []string{""}
	}
	return request
}

// setTenant names the tenant whatever the client claimed, and takes the client's key away.
func setTenant(header http.Header, tenant string) {
	header.Del(HeaderAPIKey)
	header.Del(HeaderTenant)
	if tenant != "" {
		header.Set(HeaderTenant, tenant)
	}
}

// ValidTarget tells whether a request target, as a client sent it, can be passed on unchanged.
func ValidTarget(uri string) bool {
	if !strings.HasPrefix(uri, "/") {
		return false
	}
	composed := url.URL{Scheme: "http", Host: "replica"}
	setTarget(&composed, uri)
	return composed.RequestURI() == uri
}

// setTarget makes the URL write the request target exactly as given. Opaque does so for all but a target that begins
// with two slashes, which the library would take for a host.
func setTarget(composed *url.URL, uri string) {
	path, query, found := strings.Cut(uri, "?")
	if !strings.HasPrefix(path, "//") {
		composed.Opaque = uri
		return
	}
	composed.Path, composed.RawPath, composed.RawQuery, composed.ForceQuery = path, path, query, found && query == ""
	if decoded, err := url.PathUnescape(path); err == nil {
		composed.Path = decoded
	}
}

// forwardedHeader returns the headers that concern more than one connection. Headers of the protocol stay, whatever
// Connection lists: the attempt id and the seal are what ties an answer to its request.
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
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	kept.Del("Expect")
	kept.Del("Content-Length")
	return kept
}

// CopyResponseHeader copies the headers of a replica's answer that its client is to see.
func CopyResponseHeader(target, source http.Header) {
	for name, values := range forwardedHeader(source) {
		target[name] = values
	}
}
