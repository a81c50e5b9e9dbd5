package adminapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrNoAddress is returned by a Client without addresses.
var ErrNoAddress = errors.New("no control daemon named")

// Client sends calls to the control planes in turn until one gives a clear response. It sends a call
// again as it was, so only calls that the control planes recognize when they come again may be made with
// it.
type Client struct {
	// Addresses are tried in this order, again and again.
	Addresses  []string
	HTTPClient *http.Client
	// PerAddressTimeout is how long one control plane may take, beside the time for the body.
	PerAddressTimeout time.Duration
	// Timeout is how long the call may take in all.
	Timeout time.Duration
}

// Response is a clear response and the control plane that gave it.
type Response struct {
	Status  int
	Body    []byte
	Address string
}

// isClear tells whether another control plane need not be tried. Any other status may come from a node
// that is overloaded, leaving or out of contact.
func (r Response) isClear() bool {
	return r.Status < http.StatusInternalServerError && !retryableStatuses[r.Status]
}

// retryableStatuses are statuses below 500 after which the next control plane is tried.
var retryableStatuses = map[int]bool{
	http.StatusRequestTimeout:  true,
	http.StatusTooManyRequests: true,
}

const (
	maxRedirects   = 2
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// minBytesPerSecond is the rate at which a body is expected to be sent.
	minBytesPerSecond = 1 << 20
)

// call is what is sent to each address. condition is the version that a change builds on, or "".
type call struct {
	method    string
	path      string
	condition string
	body      []byte
}

// Call returns the first clear response, or an error that says why none came in time. After an error the
// call may have been carried out. condition is the version that a change builds on, or "".
func (c *Client) Call(ctx context.Context, method, path, condition string, body []byte) (Response, error) {
	if len(c.Addresses) == 0 {
		return Response{}, ErrNoAddress
	}
	bounded, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	call := call{method: method, path: path, condition: condition, body: body}
	backoff := initialBackoff
	var lastErr error
	for attempt := 0; ; attempt++ {
		response, err := c.attempt(bounded, c.Addresses[attempt%len(c.Addresses)], call)
		if err == nil {
			return response, nil
		}
		if bounded.Err() != nil && lastErr != nil && errors.Is(err, context.DeadlineExceeded) {
			err = lastErr // says more than that the time is up
		}
		lastErr = err
		if !wait(bounded, backoff) {
			return Response{}, errors.Wrap(lastErr, "no clear answer in time")
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

// wait waits for a duration and returns false if ctx ended first.
func wait(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends a call to one control plane and fails unless the response is clear.
func (c *Client) attempt(ctx context.Context, address string, call call) (Response, error) {
	response, err := c.send(ctx, address, call)
	if err != nil {
		return Response{}, err
	}
	if !response.isClear() {
		return Response{}, errors.Errorf("%s answered %d: %s", response.Address, response.Status, bytes.TrimSpace(response.Body))
	}
	return response, nil
}

// send sends a call to one control plane and follows its redirects, which prove that this caller still
// waits; see ReplayGuard.
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
	return Response{}, errors.Errorf("%s: sent elsewhere more than %d times", address, maxRedirects)
}

// exchange sends one request and reads its response, with the location that it redirects to, if any.
func (c *Client) exchange(ctx context.Context, target string, call call) (response Response, location string, err error) {
	bodyTime := time.Duration(len(call.body)) * time.Second / minBytesPerSecond
	bounded, cancel := context.WithTimeout(ctx, c.PerAddressTimeout+bodyTime)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return Response{}, "", err
	}
	if call.condition != "" {
		request.Header.Set("If-Match", call.condition)
	}
	if len(call.body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	answer, err := c.HTTPClient.Do(request)
	if err != nil {
		return Response{}, "", err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return Response{}, "", errors.Wrapf(err, "response of %s", target)
	}
	return Response{Status: answer.StatusCode, Body: content}, answer.Header.Get("Location"), nil
}

// NewHTTPClient returns a client that leaves redirects to the Client.
func NewHTTPClient() *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
