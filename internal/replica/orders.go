package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/discovery"
	"ferryspar/internal/peer"
)

// Order is the body of a placement order. Holder and Fence are those of the lease it is sent under. Expected is the
// replica's sequence that the order was decided on: the replica refuses it at any other, so it is always sent, 0 too.
type Order struct {
	Operation     string `json:"operation"`
	Model         string `json:"modelId"`
	Adapter       string `json:"adapterId,omitempty"`
	LeaseHolder   string `json:"leaseHolder"`
	Fence         uint64 `json:"fenceToken"`
	ExpectedCount int64  `json:"expectedCount"`
}

// Operations of an Order.
const (
	OperationLoad   = "model_load"
	OperationUnload = "model_unload"
)

// Report is what a replica reports of itself.
type Report struct {
	Phase    string                  `json:"phase"`
	Models   []discovery.LoadedModel `json:"modelList"`
	Busy     bool                    `json:"utilization"`
	Sequence int64                   `json:"sequence"`
	Queued   int                     `json:"queuedRequests"`
	Active   int                     `json:"activeRequests"`
	KvUsed   float64                 `json:"kvCacheUsed"`
	KvTotal  float64                 `json:"kvCacheTotal"`
}

// Client sends placement orders to replicas and asks for their reports. Orders may not be repeated, so each is the
// first call on a new connection: no answer to another call can be due there. Reports may use a connection again.
type Client struct {
	client *http.Client
}

const (
	orderConnectTimeout            = 400 * time.Millisecond
	orderAckTimeout                = time.Second
	maxIdleReportConnections       = 2
	maxResponseBytes         int64 = 1 << 20
	// newConnectionsOnly bounds the time that a connection may have rested so that none that was used before passes.
	newConnectionsOnly = -1 * time.Second
)

// NewClient returns a commander over the network.
func NewClient(network peer.Network) *Client {
	return &Client{client: peer.NewHTTPClient(newOrderTransport(network))}
}

// newOrderTransport makes connections that are reset when they are closed: what the network holds of a call that was
// given up is dropped, but not what the replica's kernel has got.
func newOrderTransport(network peer.Network) *http.Transport {
	transport := peer.NewTransport(network, orderConnectTimeout, orderAckTimeout, maxIdleReportConnections)
	dial := peer.ResetOnClose(transport.DialContext)
	transport.DialContext = func(ctx context.Context, name, address string) (net.Conn, error) {
		connection, err := dial(ctx, name, address)
		if err != nil {
			return nil, err
		}
		return &countedConnection{Conn: connection}, nil
	}
	return transport
}

func (c *Client) call(ctx context.Context, name, address, identity string, body []byte) (int, []byte, error) {
	endpoint, known := Endpoints[name]
	if !known {
		return 0, nil, errors.Errorf("no such call %q", name)
	}
	callContext, cancel := context.WithTimeout(ctx, endpoint.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callContext, endpoint.Method, "http://"+address+endpoint.Path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.GetBody = nil
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set(HeaderTarget, identity)
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, content, err
}

// ErrNotSent says that no byte of an instruction has left or will leave, so that it can't be taken.
var ErrNotSent = errors.New("nothing was sent to the replica")

// Order sends an instruction once and returns the status of the answer. After an error other than ErrNotSent it may or may
// not have been taken. Connections that reports have used are retired on the way; nothing is written to them.
func (c *Client) SendOrder(ctx context.Context, address, identity string, order Order) (int, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, err
	}
	for retry := 0; ; retry++ {
		trace := &attemptTrace{id: order.Operation, maxIdle: newConnectionsOnly}
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: trace.gotConnection})
		status, _, err := c.call(traced, "order", address, identity, body)
		if err == nil && trace.answeredEarly() {
			status, err = 0, errEarlyResponse
		}
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

// Report asks a replica for its state. It changes nothing, so it may be asked twice.
func (c *Client) FetchReport(ctx context.Context, address, identity string) (Report, error) {
	var state Report
	status, content, err := c.call(ctx, "report", address, identity, nil)
	if err != nil {
		return state, err
	}
	if status != http.StatusOK {
		return state, errors.Errorf("report: status %d", status)
	}
	if err := json.Unmarshal(content, &state); err != nil {
		return state, errors.Wrap(err, "report")
	}
	if state.Phase == "" {
		return state, errors.New("report: no phase, so it answers something else")
	}
	return state, nil
}
