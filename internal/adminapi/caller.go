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

// Client sends an operator's calls to the control daemons in turn until one answers clearly. It sends a call again as
// it was, so only calls that the daemons recognise when they come again may be made with it.
type Client struct {
	Addresses  []string
	HTTPClient *http.Client
	// Patience is how long one daemon may take, beside the time for the body.
	PerAddressTimeout time.Duration
	// Bound is how long the call may take in all.
	Timeout time.Duration
}

// Response is a clear answer and the daemon that gave it.
type Response struct {
	Status  int
	Body    []byte
	Address string
}

const (
	maxRedirects      = 2
	initialBackoff    = 100 * time.Millisecond
	maxBackoff        = 2 * time.Second
	minBytesPerSecond = 1 << 20
)

var retryableStatuses = map[int]bool{http.StatusRequestTimeout: true, http.StatusTooManyRequests: true}

// Call returns the first clear answer, or an error that says why none came in time; then the call may have been taken.
func (c *Client) Call(ctx context.Context, method, path, condition string, body []byte) (Response, error) {
	if len(c.Addresses) == 0 {
		return Response{}, errors.New("no control daemon named")
	}
	bounded, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	backoff := initialBackoff
	var lastErr error
	for attempt := 0; ; attempt++ {
		address := c.Addresses[attempt%len(c.Addresses)]
		response, err := c.send(bounded, address, method, path, condition, body)
		if err == nil && response.Status < http.StatusInternalServerError && !retryableStatuses[response.Status] {
			return response, nil
		}
		if err == nil {
			err = errors.Errorf("%s answered %d: %s", response.Address, response.Status, bytes.TrimSpace(response.Body))
		}
		if bounded.Err() != nil {
			if lastErr != nil && errors.Is(err, context.DeadlineExceeded) {
				err = lastErr
			}
			return Response{}, errors.Wrap(err, "no clear answer in time")
		}
		lastErr = err
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-bounded.Done():
			timer.Stop()
			return Response{}, errors.Wrap(lastErr, "no clear answer in time")
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

func (c *Client) send(ctx context.Context, address, method, path, condition string, body []byte) (Response, error) {
	timeout := c.PerAddressTimeout + time.Duration(len(body))*time.Second/minBytesPerSecond
	target := "http://" + address + path
	for range maxRedirects + 1 {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		request, err := http.NewRequestWithContext(bounded, method, target, bytes.NewReader(body))
		if err != nil {
			cancel()
			return Response{}, err
		}
		if condition != "" {
			request.Header.Set("If-Match", condition)
		}
		if len(body) > 0 {
			request.Header.Set("Content-Type", "application/json")
		}
		response, err := c.HTTPClient.Do(request)
		if err != nil {
			cancel()
			return Response{}, err
		}
		content, err := io.ReadAll(response.Body)
		response.Body.Close()
		cancel()
		if err != nil {
			return Response{}, err
		}
		if response.StatusCode == http.StatusTemporaryRedirect && strings.HasPrefix(response.Header.Get("Location"), "http://") {
			target = response.Header.Get("Location")
			continue
		}
		return Response{response.StatusCode, content, address}, nil
	}
	return Response{}, errors.Errorf("%s: sent elsewhere more than %d times", address, maxRedirects)
}

// NewHTTPClient returns a client that leaves redirects to the caller.
func NewHTTPClient() *http.Client {
	return &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}
