package adminapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/httpframing"
)

// ErrNoAddress is returned by a Client without addresses.
var ErrNoAddress = errors.New("no control plane address given")

// Client tries the control planes in turn until one gives a conclusive response. Each attempt sends the same
// request, so it must only be used for requests that are safe to repeat: a control plane must be able to recognize
// a duplicate.
type Client struct {
	// Addresses are those of the control planes (host:port), tried in this order and then again from the first.
	Addresses  []string
	HTTPClient *http.Client
	// PerAddressTimeout limits one attempt, not counting the time for sending the body.
	PerAddressTimeout time.Duration
	// Timeout limits the call with all its attempts.
	Timeout time.Duration
}

// Response is a conclusive response and the address of the control plane that gave it.
type Response struct {
	Status  int
	Body    []byte
	Address string
}

// isConclusive reports whether the response settles the call, so that no other control plane is tried. Any other
// status may come from a node that is overloaded, shutting down or partitioned from the majority.
func (r Response) isConclusive() bool {
	return r.Status < http.StatusInternalServerError && !retryableStatuses[r.Status]
}

// retryableStatuses are the statuses below 500 after which the next control plane is tried.
var retryableStatuses = map[int]bool{
	http.StatusRequestTimeout:  true,
	http.StatusTooManyRequests: true,
}

const (
	maxRedirects   = 2
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// minBytesPerSecond is the assumed minimum upload rate, which extends the timeout of an attempt with a body.
	minBytesPerSecond = 1 << 20
)

// call is the request that is sent to each address. ifMatch is the version that a change expects, or "" for none.
type call struct {
	method  string
	path    string
	ifMatch string
	body    []byte
}

// Call returns the first conclusive response, or an error with the reason why there was none in time. After an error the
// request may nevertheless have been carried out. ifMatch is the version that a change expects, or "" for none.
func (c *Client) Call(ctx context.Context, method, path, ifMatch string, body []byte) (Response, error) {
	if len(c.Addresses) == 0 {
		return Response{}, ErrNoAddress
	}
	bounded, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	call := call{method: method, path: path, ifMatch: ifMatch, body: body}
	backoff := initialBackoff
	var lastErr error
	for attempt := 0; ; attempt++ {
		response, err := c.attempt(bounded, c.Addresses[attempt%len(c.Addresses)], call)
		if err == nil {
			return response, nil
		}
		if bounded.Err() != nil && lastErr != nil && errors.Is(err, context.DeadlineExceeded) {
			err = lastErr // more specific than the timeout of the whole call
		}
		lastErr = err
		if !sleep(bounded, backoff) {
			return Response{}, errors.Wrap(lastErr, "no conclusive response within the timeout")
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

// sleep pauses for the duration and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends a call to one control plane and returns an error unless the response is conclusive.
func (c *Client) attempt(ctx context.Context, address string, call call) (Response, error) {
	response, err := c.send(ctx, address, call)
	if err != nil {
		return Response{}, err
	}
	if !response.isConclusive() {
		return Response{}, errors.Errorf("%s responded with status %d: %s",
			response.Address, response.Status, bytes.TrimSpace(response.Body))
	}
	return response, nil
}

// send sends a call to one control plane and follows its redirects. Following them shows the control plane that
// this caller still waits; see ReplayGuard.
func (c *Client) send(ctx context.Context, address string, call call) (Response, error) {
	target := "http://" + address + call.path
	for range maxRedirects + 1 {
		response, location, err := c.exchange(ctx, target, call)
		if err != nil {
			return Response{}, err
		}
		if response.Status != http.StatusTemporaryRedirect || !strings.HasPrefix(location, "http://") {
			response.Address = address
			return response, nil
		}
		target = location
	}
	return Response{}, errors.Errorf("%s: more than %d redirects", address, maxRedirects)
}

// exchange sends one request and returns its response, and the target of a redirect if it is one.
func (c *Client) exchange(ctx context.Context, target string, call call) (response Response, location string, err error) {
	bodyTimeout := time.Duration(len(call.body)) * time.Second / minBytesPerSecond
	bounded, cancel := context.WithTimeout(ctx, c.PerAddressTimeout+bodyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return Response{}, "", err
	}
	if call.ifMatch != "" {
		request.Header.Set("If-Match", call.ifMatch)
	}
	if len(call.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	httpResponse, err := c.HTTPClient.Do(request)
	if err != nil {
		return Response{}, "", err
	}
	defer httpResponse.Body.Close()
	content, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return Response{}, "", errors.Wrapf(err, "read the response of %s", target)
	}
	return Response{Status: httpResponse.StatusCode, Body: content}, httpResponse.Header.Get("Location"), nil
}

// NewHTTPClient returns an HTTP client for Client.HTTPClient. It doesn't follow redirects, as the Client does so itself.
func NewHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = httpframing.CheckResponses(transport.DialContext)
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
