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

// The headers that name who makes a call that only one node may make at a time.
const (
	headerLeaseHolder  = "Ferryspar-Lease-Holder"
	headerFencingToken = "Ferryspar-Fence-Token"
)

// The paths of those calls.
const (
	PathUsage    = "/usage"
	PathCapacity = "/capacity"
)

// roleCallTimeout is how long one such call may take: a platform that is slow answers after seconds, or not at all.
const roleCallTimeout = 2 * time.Second

// FencedCall is a call that only the holder of a lease may make.
type FencedCall struct {
	// Path is PathUsage or PathCapacity, Body the JSON that is sent.
	Path string
	Body []byte
	// Holder and Fence are those of the lease.
	Holder string
	Fence  uint64
}

// FencedClient makes such calls at an address (host:port). It is safe for concurrent use.
type FencedClient struct {
	Address    string
	HTTPClient *http.Client
}

// Send makes a call once and returns the status of the answer. After an error the call may or may not have been carried out, or may be
// carried out later.
func (c *FencedClient) Send(ctx context.Context, call FencedCall) (int, error) {
	bounded, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.Address, Path: call.Path}
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return 0, errors.Wrap(err, call.Path)
	}
	request.GetBody = nil // net/http would send the call again by itself
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
