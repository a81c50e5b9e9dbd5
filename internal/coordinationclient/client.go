package coordinationclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/coordinationapi"
)

// Errors of calls. Any other error means that no control plane gave a definite answer in time: the call may have taken effect.
var (
	// ErrLockHeld means that another client holds the lock.
	ErrLockHeld = errors.New("another client holds the lock")
	// ErrLockLost means that the caller no longer holds the lock.
	ErrLockLost = errors.New("the lock is lost")
	// ErrKeyNotFound means that the key does not exist.
	ErrKeyNotFound = errors.New("no such key")
	// ErrCompacted means that the changes after a revision are no longer retained. The caller must read the keys again.
	ErrCompacted = errors.New("changes after that revision are no longer kept")
	// ErrNoAddress is returned by a client that has no addresses.
	ErrNoAddress = errors.New("no control plane address configured")
)

// ConflictError means that the revision of a key is not the expected one.
type ConflictError struct {
	// Revision is the current revision of the key, 0 if the key does not exist.
	Revision uint64
}

// Error implements error.
func (e ConflictError) Error() string { return fmt.Sprintf("the key has revision %d", e.Revision) }

const (
	// defaultAttemptTimeout is the default of Client.AttemptTimeout.
	defaultAttemptTimeout = time.Second
	// initialBackoff and maxBackoff bound the pauses between attempts.
	initialBackoff = 30 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Client calls the control planes. It is safe for concurrent use. Its fields must not change after the first call.
type Client struct {
	// Addresses are the addresses of the control planes (host:port), tried in turn.
	Addresses []string
	// HTTP sends the requests.
	HTTP *http.Client
	// AttemptTimeout is how long to wait for one control plane before trying the next. The default is 1 s.
	AttemptTimeout time.Duration

	// preferred is the index of the address that calls try first: the one that answered last.
	preferred atomic.Int64
}

// request is a call as sent to each control plane.
type request struct {
	method, path string
	// body is sent as JSON, or no body if it is nil.
	body any
	// wait is how long the control plane may delay its answer, in addition to AttemptTimeout.
	wait time.Duration
}

// answer is a definite answer.
type answer struct {
	status int
	body   []byte
	// sentAt is when the answered attempt was started.
	sentAt time.Time
}

// call sends a request to one control plane after another until one gives a definite answer or ctx ends.
func (c *Client) call(ctx context.Context, outgoing request) (answer, error) {
	if len(c.Addresses) == 0 {
		return answer{}, ErrNoAddress
	}
	var content []byte
	if outgoing.body != nil {
		var err error
		if content, err = json.Marshal(outgoing.body); err != nil {
			return answer{}, errors.Wrap(err, "encode request body")
		}
	}
	backoff := initialBackoff
	for {
		position := int(c.preferred.Load()) % len(c.Addresses)
		received, err := c.attempt(ctx, c.Addresses[position], outgoing, content)
		if err == nil {
			return received, nil
		}
		c.preferred.CompareAndSwap(int64(position), int64((position+1)%len(c.Addresses)))
		if !sleep(ctx, backoff) {
			return answer{}, errors.Wrapf(err, "%s %s", outgoing.method, outgoing.path)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits for a duration. It returns false if ctx ends first.
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

// attempt sends a request to one control plane. It returns an error for an answer that is worth another attempt.
func (c *Client) attempt(ctx context.Context, address string, outgoing request, content []byte) (answer, error) {
	timeout := c.AttemptTimeout
	if timeout <= 0 {
		timeout = defaultAttemptTimeout
	}
	attemptContext, cancel := context.WithTimeout(ctx, timeout+outgoing.wait)
	defer cancel()
	sent, err := http.NewRequestWithContext(attemptContext, outgoing.method, "http://"+address+outgoing.path, bytes.NewReader(content))
	if err != nil {
		return answer{}, err
	}
	sent.Header.Set("Content-Type", "application/json")
	received := answer{sentAt: time.Now()}
	response, err := c.HTTP.Do(sent)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	received.status = response.StatusCode
	if received.body, err = io.ReadAll(response.Body); err != nil {
		return answer{}, err
	}
	if response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests {
		return answer{}, errors.Errorf("%s answered %d: %s", address, response.StatusCode, bytes.TrimSpace(received.body))
	}
	return received, nil
}

// decode decodes the body of a successful answer, or returns the error for its status.
func (a answer) decode(reply any, errorsByStatus map[int]error) error {
	if err := errorsByStatus[a.status]; err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return errors.Errorf("rejected with %d: %s", a.status, bytes.TrimSpace(a.body))
	}
	return errors.Wrap(json.Unmarshal(a.body, reply), "decode")
}

// Next returns a number that is higher than every number returned before from the counter.
func (c *Client) Next(ctx context.Context, counter string) (uint64, error) {
	received, err := c.call(ctx, request{
		method: http.MethodPost,
		path:   coordinationapi.PathNumbers + url.PathEscape(counter),
		body:   struct{}{},
	})
	if err != nil {
		return 0, err
	}
	var reply coordinationapi.NumberReply
	err = received.decode(&reply, nil)
	return reply.Value, err
}

// Get returns the value and revision of a key, or ErrKeyNotFound.
func (c *Client) Get(ctx context.Context, key string) (value string, revision uint64, err error) {
	received, err := c.call(ctx, request{method: http.MethodGet, path: coordinationapi.PathKeys + url.PathEscape(key)})
	if err != nil {
		return "", 0, err
	}
	var reply coordinationapi.ValueReply
	err = received.decode(&reply, map[int]error{http.StatusNotFound: ErrKeyNotFound})
	return reply.Value, reply.Revision, err
}

// Put writes a key whose revision is the expected one, 0 if the key must not exist, and returns its new revision, or a
// ConflictError if its revision differs. Values should be unique, because a put of the same value to the same key is taken for a
// repetition.
func (c *Client) Put(ctx context.Context, key, value string, expected uint64) (uint64, error) {
	received, err := c.call(ctx, request{
		method: http.MethodPut,
		path:   coordinationapi.PathKeys + url.PathEscape(key),
		body:   coordinationapi.PutRequest{Value: &value, ExpectedRevision: &expected},
	})
	if err != nil {
		return 0, err
	}
	var reply coordinationapi.PutReply
	if received.status == http.StatusPreconditionFailed {
		if err := json.Unmarshal(received.body, &reply); err != nil {
			return 0, errors.Wrap(err, "decode")
		}
		return 0, ConflictError{Revision: reply.Revision}
	}
	err = received.decode(&reply, nil)
	return reply.Revision, err
}
