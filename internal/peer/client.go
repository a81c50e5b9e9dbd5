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

// ErrUnknownMethod is returned for a method that isn't one of the package's constants.
var ErrUnknownMethod = errors.New("unknown method")

// StatusError is returned for a call that was answered with another status than 200. Whether the receiver carried the
// call out is open.
type StatusError struct {
	Method  Method
	Address string
	Status  int
}

// Error names the method, the receiver and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s at %s: status %d", e.Method, e.Address, e.Status)
}

const (
	// connectTimeout is how long a connection to another node may take to be established.
	connectTimeout = 500 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before a connection to another node is given up.
	ackTimeout = 1500 * time.Millisecond
	// idleConnections is how many idle connections are kept to each node.
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

// Call sends a request to the node at the address and decodes the reply into reply, unless that is nil. It gives up
// after the method's timeout or when the context ends.
//
// The request is sent at most once. After an error it is open whether the receiver got it and carried it out; a caller
// that repeats it must make that safe. The error wraps ErrUnknownMethod, a *StatusError, or what the transport or the
// decoder returned.
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

// newRequest returns the HTTP request of a call, without headers that the receiver does not read: messages are small and
// frequent, and always JSON. Its body can't be read a second time: with GetBody set, net/http would
// send the request again on another connection if a reused one breaks, and the receiver could carry it out twice.
func newRequest(ctx context.Context, method Method, address string, content []byte) (*http.Request, error) {
	url := "http://" + address + method.Path()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("User-Agent", "") // leaves the header out
	return request, nil
}
