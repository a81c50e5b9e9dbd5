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

	"ferryspar/internal/peer"
	"ferryspar/internal/platform"
)

// Instruction is the body of a placement order. Holder and Fence are those of the lease it is sent under. Expected is the
// replica's sequence that the order was decided on: the replica refuses it at any other, so it is always sent, 0 too.
type Instruction struct {
	Operation string `json:"operation"`
	Model     string `json:"modelId"`
	Adapter   string `json:"adapterId,omitempty"`
	Holder    string `json:"leaseHolder"`
	Fence     uint64 `json:"fenceToken"`
	Expected  int64  `json:"expectedCount"`
}

// Operations of an Instruction.
const (
	OperationLoad   = "model_load"
	OperationUnload = "model_unload"
)

// State is what a replica reports of itself.
type State struct {
	Phase    string          `json:"phase"`
	Models   []platform.Held `json:"modelList"`
	Busy     bool            `json:"utilization"`
	Sequence int64           `json:"sequence"`
	Queued   int             `json:"queuedRequests"`
	Active   int             `json:"activeRequests"`
	KvUsed   float64         `json:"kvCacheUsed"`
	KvTotal  float64         `json:"kvCacheTotal"`
}

// Commander sends placement orders to replicas and asks for their reports. Orders may not be repeated, so each is the
// first call on a new connection: no answer to another call can be due there. Reports may use a connection again.
type Commander struct {
	client *http.Client
}

const (
	connectBound       = 400 * time.Millisecond
	silenceBound       = time.Second
	reportsIdle        = 2
	answerBound  int64 = 1 << 20
	// newOnly bounds the time that a connection may have rested so that none that was used before passes.
	newOnly = -1 * time.Second
)

// NewCommander returns a commander over the network.
func NewCommander(network peer.Network) *Commander {
	return &Commander{client: peer.NewHTTPClient(commandTransport(network))}
}

// commandTransport makes connections that are reset when they are closed: what the network holds of a call that was
// given up is dropped, but not what the replica's kernel has got.
func commandTransport(network peer.Network) *http.Transport {
	transport := peer.NewTransport(network, connectBound, silenceBound, reportsIdle)
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

func (c *Commander) call(ctx context.Context, name, address, identity string, body []byte) (int, []byte, error) {
	called, known := Calls[name]
	if !known {
		return 0, nil, errors.Errorf("no such call %q", name)
	}
	bounded, cancel := context.WithTimeout(ctx, called.Bound)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, called.Method, "http://"+address+called.Path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.GetBody = nil
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	request.Header.Set(HeaderTarget, identity)
	answer, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, answerBound))
	return answer.StatusCode, content, err
}

// ErrNotSent says that no byte of an instruction has left or will leave, so that it can't be taken.
var ErrNotSent = errors.New("nothing was sent to the replica")

// Order sends an instruction once and returns the status of the answer. After an error other than ErrNotSent it may or may
// not have been taken. Connections that reports have used are retired on the way; nothing is written to them.
func (c *Commander) Order(ctx context.Context, address, identity string, instruction Instruction) (int, error) {
	body, err := json.Marshal(instruction)
	if err != nil {
		return 0, err
	}
	for round := 0; ; round++ {
		sending := &attempt{id: instruction.Operation, bound: newOnly}
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sending.got})
		status, _, err := c.call(traced, "order", address, identity, body)
		if err == nil && sending.early() {
			status, err = 0, errEarly
		}
		if err == nil {
			return status, nil
		}
		sending.spoiled()
		if !sending.untouched() {
			return 0, err
		}
		if !sending.stale() || round >= reportsIdle || ctx.Err() != nil {
			return 0, errors.WithMessage(ErrNotSent, err.Error())
		}
	}
}

// Report asks a replica for its state. It changes nothing, so it may be asked twice.
func (c *Commander) Report(ctx context.Context, address, identity string) (State, error) {
	var state State
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
