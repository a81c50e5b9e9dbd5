package replica

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// maxStaleRetries is the maximum number of retries after stale reused connections, to which no byte of the request was written.
const maxStaleRetries = 2

// Forwarder forwards clients' requests to replicas. It is safe for concurrent use.
type Forwarder struct {
	clock func() time.Time
	pool  transportPool
	idle  idleEstimates
	// releaseTransport makes the connections for the release of handles, one connection per call.
	releaseTransport *http.Transport
}

// NewForwarder returns a forwarder over the network. connectTimeout limits connection setup, and a connection fails if sent data
// stays unacknowledged for ackTimeout.
func NewForwarder(network peer.Network, clock func() time.Time, connectTimeout, ackTimeout time.Duration) *Forwarder {
	return &Forwarder{
		clock: clock,
		pool: transportPool{
			network:        network,
			clock:          clock,
			connectTimeout: connectTimeout,
			ackTimeout:     ackTimeout,
			transports:     map[string]*pooledTransport{},
		},
		idle: idleEstimates{
			clock:     clock,
			byBackend: map[string]*idleEstimate{},
		},
		releaseTransport: peer.NewTransport(network, connectTimeout, ackTimeout, 0),
	}
}

// CloseIdleConnections closes the idle connections to the replica.
func (f *Forwarder) CloseIdleConnections(replicaID string) { f.pool.closeIdle(replicaID) }

// Send forwards the request to the target and returns the response with a verdict. Only with VerdictAnswered is the response's
// body open; the caller must close it. The request is written at most once: it is retried only if no byte of it was written to
// the earlier connections.
func (f *Forwarder) Send(ctx context.Context, target routing.Target, upstream UpstreamRequest) (*http.Response, Verdict) {
	return f.send(ctx, target, upstream)
}

// send implements Send, Prefill and SendDecode.
func (f *Forwarder) send(ctx context.Context, target routing.Target, upstream UpstreamRequest) (*http.Response, Verdict) {
	replicaID := target.ReplicaID()
	for retry := 0; ; retry++ {
		trace := &attemptTrace{
			id:      upstream.AttemptID,
			maxIdle: f.idle.maxIdle(upstream.Backend, upstream.NonIdempotent),
		}
		response, err := f.roundTrip(ctx, trace, target, upstream)
		if err == nil {
			return response, f.handleResponse(trace, response, replicaID, upstream)
		}
		if trace.nothingWritten() {
			if trace.onReusedConnection() && retry < maxStaleRetries && ctx.Err() == nil {
				f.CloseIdleConnections(replicaID)
				continue
			}
			return nil, VerdictNotSent
		}
		idleFor, nothingRead := trace.nothingRead()
		if !errors.Is(err, errUnsolicitedResponse) && nothingRead && ctx.Err() == nil && idleFor > minIdleTime {
			f.idle.recordDeadConnection(upstream.Backend, idleFor)
			f.CloseIdleConnections(replicaID)
			return nil, VerdictReset
		}
		return nil, VerdictUnknown
	}
}

// roundTrip makes one attempt through the replica's transport. It returns errUnsolicitedResponse if the response belongs to
// another request.
func (f *Forwarder) roundTrip(
	ctx context.Context, trace *attemptTrace, target routing.Target, upstream UpstreamRequest,
) (*http.Response, error) {
	request := f.newRequest(trace.attach(ctx), target, upstream)
	response, err := f.pool.transportFor(target.ReplicaID(), upstream.MaxIdleConnections).RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if trace.discardIfUnsolicited() {
		response.Body.Close()
		return nil, errUnsolicitedResponse
	}
	return response, nil
}

// handleResponse classifies a response and disposes of its connection: after VerdictUnknown responses and requests may be out of
// sync on the connection, so it is not reused.
func (f *Forwarder) handleResponse(
	trace *attemptTrace, response *http.Response, replicaID string, upstream UpstreamRequest,
) Verdict {
	verdict := classifyResponse(response, upstream, replicaID, trace.firstOnConnection())
	switch verdict {
	case VerdictAnswered:
		f.idle.recordResponse(upstream.Backend, response)
	case VerdictUnknown:
		trace.discardConnection()
		response.Body.Close()
	default:
		f.idle.recordResponse(upstream.Backend, response)
		go drainBody(response)
	}
	return verdict
}
