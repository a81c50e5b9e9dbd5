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
	// clientConnectTimeout limits connection setup for orders and reports.
	clientConnectTimeout = 400 * time.Millisecond
	// clientAckTimeout is how long sent data may stay unacknowledged before the connection fails.
	clientAckTimeout = time.Second
	// maxIdleReportConnections is the maximum number of idle connections per replica, which only reports reuse.
	maxIdleReportConnections = 2
	// maxResponseBytes is the maximum number of bytes read from a response body.
	maxResponseBytes = 1 << 20
	// newConnectionsOnly is a maximum idle time that no reused connection satisfies.
	newConnectionsOnly = -1 * time.Second
)

// ErrNotSent is returned if no byte of an order was or will be sent, so that the replica cannot have accepted it.
var ErrNotSent = errors.New("nothing was sent to the replica")

// Client sends placement orders to replicas and fetches their reports. Orders must not be repeated, so each order is the first
// request on a new connection, where no response to another request can be pending. Reports may reuse connections. A Client is
// safe for concurrent use.
type Client struct {
	client *http.Client
}

// NewClient returns a client over the network.
func NewClient(network peer.Network) *Client {
	return &Client{client: peer.NewHTTPClient(newOrderTransport(network))}
}

// newOrderTransport returns a transport whose connections are reset on close. The reset drops data of a cancelled request that
// is still in transit, but not data that the replica's kernel has received.
func newOrderTransport(network peer.Network) *http.Transport {
	transport := peer.NewTransport(network, clientConnectTimeout, clientAckTimeout, maxIdleReportConnections)
	transport.DialContext = countConnections(peer.ResetOnClose(transport.DialContext))
	return transport
}

// SendOrder sends an order at most once and returns the status of the response. After an error other than ErrNotSent it is
// unknown whether the replica accepted the order. Idle connections that reports have used are retired without writing to them.
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
		trace.discardConnection()
		if !trace.nothingWritten() {
			return 0, err
		}
		if !trace.onReusedConnection() || retry >= maxIdleReportConnections || ctx.Err() != nil {
			return 0, errors.WithMessage(ErrNotSent, err.Error())
		}
	}
}

// sendOnce makes one attempt to send an order.
func (c *Client) sendOnce(ctx context.Context, trace *attemptTrace, address, replicaID string, body []byte) (int, error) {
	status, _, err := c.call(trace.attach(ctx), OrderEndpoint, address, replicaID, body)
	if err != nil {
		return 0, err
	}
	if trace.discardIfUnsolicited() {
		return 0, errUnsolicitedResponse
	}
	return status, nil
}

// FetchReport fetches the report of a replica. The request is idempotent, so the transport may resend it.
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
		return report, errors.New("report: phase missing; the response may belong to another request")
	}
	return report, nil
}

// call sends a request to an endpoint of a replica, within the endpoint's timeout, and returns the status and the body of the
// response.
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
