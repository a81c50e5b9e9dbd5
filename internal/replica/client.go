package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/peer"
)

const (
	// clientConnectTimeout is how long a connection for an order or a report may take to come up.
	clientConnectTimeout = 400 * time.Millisecond
	// clientAckTimeout is how long the other end may acknowledge nothing.
	clientAckTimeout = time.Second
	// maxIdleReportConnections is how many idle connections are kept to a replica for reports.
	maxIdleReportConnections = 2
	// maxResponseBytes is how much of a response is read.
	maxResponseBytes = 1 << 20
	// newConnectionsOnly limits the time that a connection may have been idle so that none that was used before passes.
	newConnectionsOnly = -1 * time.Second
)

// ErrNotSent says that no byte of an order has left or will leave, so that it can't be taken.
var ErrNotSent = errors.New("nothing was sent to the replica")

// Client sends placement orders to replicas and fetches their reports. Orders may not be repeated, so each is the first
// request on a new connection: no response to another request can be due there. Reports may use a connection again. It may
// be used by any number of goroutines.
type Client struct {
	client *http.Client
}

// NewClient returns a client over the network.
func NewClient(network peer.Network) *Client {
	return &Client{client: peer.NewHTTPClient(newOrderTransport(network))}
}

// newOrderTransport makes connections that are reset when they are closed: what the network holds of a request that was
// given up is dropped, but not what the replica's kernel has got.
func newOrderTransport(network peer.Network) *http.Transport {
	transport := peer.NewTransport(network, clientConnectTimeout, clientAckTimeout, maxIdleReportConnections)
	transport.DialContext = countConnections(peer.ResetOnClose(transport.DialContext))
	return transport
}

// SendOrder sends an order once and returns the status of the response. After an error other than ErrNotSent the order may
// or may not have been taken. Connections that reports have used are retired on the way; nothing is written to them.
func (c *Client) SendOrder(ctx context.Context, address, replicaID string, order Order) (int, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, errors.Wrap(err, "encode order")
	}
	for retry := 0; ; retry++ {
		trace := &attemptTrace{id: order.Operation, maxIdle: newConnectionsOnly}
		status, err := c.sendOnce(ctx, trace, address, replicaID, body)
		if err == nil {
			return status, nil
		}
		trace.abandonConnection()
		if !trace.nothingWritten() {
			return 0, err
		}
		if !trace.onReusedConnection() || retry >= maxIdleReportConnections || ctx.Err() != nil {
			return 0, errors.WithMessage(ErrNotSent, err.Error())
		}
	}
}

// sendOnce sends an order over one connection.
func (c *Client) sendOnce(ctx context.Context, trace *attemptTrace, address, replicaID string, body []byte) (int, error) {
	status, _, err := c.call(trace.follow(ctx), OrderEndpoint, address, replicaID, body)
	if err != nil {
		return 0, err
	}
	if trace.answeredEarly() {
		return 0, errEarlyResponse
	}
	return status, nil
}

// FetchReport asks a replica for its report. It changes nothing, so it may be sent twice.
func (c *Client) FetchReport(ctx context.Context, address, replicaID string) (Report, error) {
	var report Report
	status, content, err := c.call(ctx, ReportEndpoint, address, replicaID, nil)
	if err != nil {
		return report, err
	}
	if status != http.StatusOK {
		return report, errors.Errorf("report: status %d", status)
	}
	if err := json.Unmarshal(content, &report); err != nil {
		return report, errors.Wrap(err, "report")
	}
	if report.Phase == "" {
		return report, errors.New("report: no phase, so it answers something else")
	}
	return report, nil
}

// call sends one request of our own, within the endpoint's timeout, and returns the status and the body of the response.
func (c *Client) call(ctx context.Context, endpoint Endpoint, address, replicaID string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, endpoint.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, endpoint.Method, "http://"+address+endpoint.Path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.GetBody = nil
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set(HeaderTargetReplica, replicaID)
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, content, err
}
