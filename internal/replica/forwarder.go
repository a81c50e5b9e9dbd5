package replica

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/peer"
	"ferryspar/internal/routing"
)

// maxStaleRetries is how often a request is tried afresh after connections that it can't have been written to.
const maxStaleRetries = 2

// Forwarder forwards clients' requests to replicas. It may be used by any number of goroutines.
type Forwarder struct {
	clock func() time.Time
	pool  transportPool
	idle  idleEstimates
	// freeing makes the connections on which handles are freed.
	freeing *http.Transport
}

// NewForwarder returns a forwarder over the network. A connection that doesn't come up within connectTimeout, or whose other
// end acknowledges nothing for ackTimeout, is given up.
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
		freeing: peer.NewTransport(network, connectTimeout, ackTimeout, 0),
	}
}

// CloseIdleConnections closes the connections to the replica that carry nothing at the moment.
func (f *Forwarder) CloseIdleConnections(replicaID string) { f.pool.closeIdle(replicaID) }

// Send forwards the request to the target and returns its response with a verdict. The response's body is open only with
// VerdictAnswered; the caller closes it. The request is written at most once: it is tried afresh only after connections to which
// no byte of it was written.
func (f *Forwarder) Send(ctx context.Context, target routing.Target, upstream UpstreamRequest) (*http.Response, Verdict) {
	return f.send(ctx, target, upstream)
}

// send is Send for a request of any phase.
func (f *Forwarder) send(ctx context.Context, target routing.Target, upstream UpstreamRequest) (*http.Response, Verdict) {
	replicaID := target.ReplicaID()
	for retry := 0; ; retry++ {
		trace := &attemptTrace{
			id:      upstream.AttemptID,
			maxIdle: f.idle.maxIdle(upstream.Backend, upstream.NonIdempotent),
		}
		response, err := f.roundTrip(ctx, trace, target, upstream)
		if err == nil {
			return response, f.judgeResponse(trace, response, replicaID, upstream)
		}
		if trace.nothingWritten() {
			if trace.onReusedConnection() && retry < maxStaleRetries && ctx.Err() == nil {
				f.CloseIdleConnections(replicaID)
				continue
			}
			return nil, VerdictNotSent
		}
		idleFor, nothingRead := trace.nothingRead()
		if !errors.Is(err, errEarlyResponse) && nothingRead && ctx.Err() == nil && idleFor > minIdleTime {
			f.idle.recordDeath(upstream.Backend, idleFor)
			f.CloseIdleConnections(replicaID)
			return nil, VerdictReset
		}
		return nil, VerdictUnknown
	}
}

// roundTrip sends the request once through the replica's transport. The error is errEarlyResponse or the transport's.
func (f *Forwarder) roundTrip(
	ctx context.Context, trace *attemptTrace, target routing.Target, upstream UpstreamRequest,
) (*http.Response, error) {
	request := f.newRequest(trace.follow(ctx), target, upstream)
	response, err := f.pool.transportFor(target.ReplicaID(), upstream.MaxIdleConnections).RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if trace.answeredEarly() {
		response.Body.Close()
		return nil, errEarlyResponse
	}
	return response, nil
}

// judgeResponse judges a response and sees to its connection: one that gave a response out of step isn't used again.
func (f *Forwarder) judgeResponse(
	trace *attemptTrace, response *http.Response, replicaID string, upstream UpstreamRequest,
) Verdict {
	verdict := judge(response, upstream, replicaID, trace.firstOnConnection())
	switch verdict {
	case VerdictAnswered:
		f.idle.recordResponse(upstream.Backend, response)
	case VerdictUnknown:
		trace.abandonConnection()
		response.Body.Close()
	default:
		f.idle.recordResponse(upstream.Backend, response)
		go drainBody(response)
	}
	return verdict
}
