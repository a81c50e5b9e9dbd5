package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ErrUnknownMethod is returned for a method that is not one of the package's constants.
var ErrUnknownMethod = errors.New("unknown method")

// StatusError is returned for a call that was answered with a status other than 200. The receiver may or may not have
// executed the call.
type StatusError struct {
	Method  Method
	Address string
	Status  int
}

// Error returns a message with the method, the receiver and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s at %s: status %d", e.Method, e.Address, e.Status)
}

const (
	// connectTimeout bounds the time to establish a connection to another node.
	connectTimeout = 500 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before a connection to another node is closed.
	ackTimeout = 1500 * time.Millisecond
	// idleConnections is the maximum number of idle connections kept per node.
	idleConnections = 4
	contentType     = "application/json"
)

// Client calls other nodes of the fleet. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that opens its connections on the network.
func NewClient(network Network) *Client {
	transport := NewTransport(network, connectTimeout, ackTimeout, idleConnections)
	transport.DialContext = ResetOnClose(transport.DialContext)
	return &Client{http: NewHTTPClient(transport)}
}

// Call sends a request to the node at the address and decodes the reply into reply, unless that is nil. It returns an
// error after the method's timeout or when the context ends.
//
// The request is sent at most once. After an error the receiver may or may not have executed it; a caller may only retry a
// request for which that is safe. The error wraps ErrUnknownMethod, a *StatusError, or the error of the transport or the
// decoder.
func (c *Client) Call(ctx context.Context, method Method, address string, request, reply any) error {
	timeout := method.Timeout()
	if timeout == 0 {
		return errors.Wrapf(ErrUnknownMethod, "%q", string(method))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	content, err := json.Marshal(request)
	if err != nil {
		return errors.Wrapf(err, "encode %s", method)
	}
	httpRequest, err := newRequest(ctx, method, address, content)
	if err != nil {
		return errors.Wrapf(err, "%s at %s", method, address)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return err // a *url.Error, which names the method's URL
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "read reply of %s at %s", method, address)
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{Method: method, Address: address, Status: response.StatusCode}
	}
	if reply == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(content, reply), "decode reply of %s at %s", method, address)
}

// newRequest returns the HTTP request of a call, without the headers that the receiver does not read, because messages are
// small, frequent and always JSON. GetBody is nil, because net/http would otherwise resend the request on another connection
// when a reused one breaks, and the receiver could execute it twice.
func newRequest(ctx context.Context, method Method, address string, content []byte) (*http.Request, error) {
	url := "http://" + address + method.Path()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("User-Agent", "") // omits the header
	return request, nil
}
