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

// Errors of calls. Any other error says that no control plane gave a clear answer in time: the call may have taken effect.
var (
	// ErrLockHeld says that another holds the lock.
	ErrLockHeld = errors.New("another holds the lock")
	// ErrLockLost says that the caller does not hold the lock any more.
	ErrLockLost = errors.New("the lock is lost")
	// ErrKeyNotFound says that there is no such key.
	ErrKeyNotFound = errors.New("no such key")
	// ErrCompacted says that the changes after a revision are no longer kept: read the keys anew.
	ErrCompacted = errors.New("changes after that revision are no longer kept")
	// ErrNoAddress is returned by a client without addresses.
	ErrNoAddress = errors.New("no control plane named")
)

// ConflictError says that a key has another revision than the one expected.
type ConflictError struct {
	// Revision is the one that the key has, 0 if there is none.
	Revision uint64
}

// Error names the revision.
func (e ConflictError) Error() string { return fmt.Sprintf("the key has revision %d", e.Revision) }

const (
	// defaultAttemptTimeout is how long one control plane may take.
	defaultAttemptTimeout = time.Second
	// initialBackoff and maxBackoff bound the pauses between attempts.
	initialBackoff = 30 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Client calls a control plane. It is safe for concurrent use. Set its fields before the first call.
type Client struct {
	// Addresses are those of control planes (host:port), tried in turn.
	Addresses []string
	// HTTP sends the requests.
	HTTP *http.Client
	// AttemptTimeout is how long one control plane may take before the next is tried. Default 1 s.
	AttemptTimeout time.Duration

	// preferred is the position of the address that answered last.
	preferred atomic.Int64
}

// request is one call, as it is sent to each control plane.
type request struct {
	method, path string
	// body is sent as JSON; nil sends none.
	body any
	// wait is how long the receiver may keep the call pending, beside AttemptTimeout.
	wait time.Duration
}

// answer is a clear answer.
type answer struct {
	status int
	body   []byte
	// sentAt is when the attempt that was answered was begun.
	sentAt time.Time
}

// call sends a request to one control plane after the other until an answer is clear or ctx ends.
func (c *Client) call(ctx context.Context, wanted request) (answer, error) {
	if len(c.Addresses) == 0 {
		return answer{}, ErrNoAddress
	}
	var content []byte
	if wanted.body != nil {
		var err error
		if content, err = json.Marshal(wanted.body); err != nil {
			return answer{}, errors.Wrap(err, "encode")
		}
	}
	backoff := initialBackoff
	for {
		position := int(c.preferred.Load()) % len(c.Addresses)
		received, err := c.attempt(ctx, c.Addresses[position], wanted, content)
		if err == nil {
			return received, nil
		}
		c.preferred.CompareAndSwap(int64(position), int64((position+1)%len(c.Addresses)))
		if !wait(ctx, backoff) {
			return answer{}, errors.Wrapf(err, "%s %s", wanted.method, wanted.path)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// wait waits for a duration, and returns false if ctx ends first.
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

// attempt sends a request to one control plane. An answer that another may better is an error.
func (c *Client) attempt(ctx context.Context, address string, wanted request, content []byte) (answer, error) {
	timeout := c.AttemptTimeout
	if timeout <= 0 {
		timeout = defaultAttemptTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout+wanted.wait)
	defer cancel()
	sent, err := http.NewRequestWithContext(bounded, wanted.method, "http://"+address+wanted.path, bytes.NewReader(content))
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

// decode reads the body of a success, or returns the error that the status stands for.
func (a answer) decode(reply any, statuses map[int]error) error {
	if err := statuses[a.status]; err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return errors.Errorf("rejected with %d: %s", a.status, bytes.TrimSpace(a.body))
	}
	return errors.Wrap(json.Unmarshal(a.body, reply), "decode")
}

// Next draws a number that is above every one drawn from the counter before.
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

// Get reads a key and its revision. The error is ErrKeyNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (value string, revision uint64, err error) {
	received, err := c.call(ctx, request{method: http.MethodGet, path: coordinationapi.PathKeys + url.PathEscape(key)})
	if err != nil {
		return "", 0, err
	}
	var reply coordinationapi.ValueReply
	err = received.decode(&reply, map[int]error{http.StatusNotFound: ErrKeyNotFound})
	return reply.Value, reply.Revision, err
}

// Put writes a key that has the expected revision, 0 if it must not exist, and returns its new one. The error is a ConflictError if
// it has another. Values should be unique: the same value for the same key is recognised as the same put.
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
