package discovery

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// The headers that identify the lease under which a fenced call is made.
const (
	headerLeaseHolder  = "Ferryspar-Lease-Holder"
	headerFencingToken = "Ferryspar-Fence-Token"
)

// The paths of fenced calls.
const (
	PathUsage    = "/usage"
	PathCapacity = "/capacity"
)

// fencedCallTimeout is the timeout of a fenced call. A slow platform answers after seconds or not at all.
const fencedCallTimeout = 2 * time.Second

// FencedCall is a call to the platform that only the holder of a lease may make, identified by its fencing token.
type FencedCall struct {
	// Path is PathUsage or PathCapacity, Body the JSON body.
	Path string
	Body []byte
	// Holder and Fence are the holder and the fencing token of the lease.
	Holder string
	Fence  uint64
}

// FencedClient sends fenced calls to an address (host:port). It is safe for concurrent use.
type FencedClient struct {
	Address    string
	HTTPClient *http.Client
}

// Send sends a call at most once and returns the HTTP status of the response. After an error the call may or may not have been
// executed, and may still be executed later.
func (c *FencedClient) Send(ctx context.Context, call FencedCall) (int, error) {
	bounded, cancel := context.WithTimeout(ctx, fencedCallTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.Address, Path: call.Path}
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return 0, errors.Wrap(err, call.Path)
	}
	request.GetBody = nil // keeps net/http from resending the call
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerLeaseHolder, call.Holder)
	request.Header.Set(headerFencingToken, strconv.FormatUint(call.Fence, 10))
	response, err := c.HTTPClient.Do(request)
	if err != nil {
		return 0, err // a *url.Error, which names the call's URL
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}
