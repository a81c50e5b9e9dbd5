package coordinationclient

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/coordinationapi"
)

// Lock is a lock that was taken. It is safe for concurrent use.
//
// Whoever relies on it must look at Until before each action, by a steady clock: the hold ends by itself.
type Lock struct {
	client   *Client
	lock     string
	holder   string
	duration time.Duration
	fence    uint64

	mutex sync.Mutex
	until time.Time
	// isOver says that the lock was given back or lost.
	isOver bool
}

// Acquire takes a lock for a time under the holder's name, or extends it if that holder has it. The error is ErrLockHeld if
// another has it.
func (c *Client) Acquire(ctx context.Context, lock, holder string, duration time.Duration) (*Lock, error) {
	hold := &Lock{client: c, lock: lock, holder: holder, duration: duration}
	received, err := c.call(ctx, hold.request(http.MethodPost))
	if err != nil {
		return nil, err
	}
	var reply coordinationapi.LockReply
	if err := received.decode(&reply, map[int]error{http.StatusConflict: ErrLockHeld}); err != nil {
		return nil, err
	}
	hold.fence, hold.until = reply.Fence, received.sentAt.Add(duration)
	if !time.Now().Before(hold.until) {
		return nil, errors.Wrap(ErrLockLost, "the answer came too late")
	}
	return hold, nil
}

func (h *Lock) request(method string) request {
	return request{
		method: method,
		path:   coordinationapi.PathLocks + url.PathEscape(h.lock),
		body: coordinationapi.LockRequest{
			Holder: h.holder,
			Fence:  h.fence,
			TTLMs:  h.duration.Milliseconds(),
		},
	}
}

// Fence is the fencing token of the hold. Pass it to whatever the lock guards.
func (h *Lock) Fence() uint64 { return h.fence }

// ExpiresAt is when the hold ends unless it is renewed, or the zero time once it is over.
func (h *Lock) ExpiresAt() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.isOver {
		return time.Time{}
	}
	return h.until
}

// Renew extends the hold, counted from before the call. The error is ErrLockLost if the lock is lost, or its time is over by the time
// the answer comes: the hold has ended then, whatever the answer was.
func (h *Lock) Renew(ctx context.Context) error {
	until := h.ExpiresAt()
	if !time.Now().Before(until) {
		h.end()
		return ErrLockLost
	}
	bounded, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	received, err := h.client.call(bounded, h.request(http.MethodPut))
	if err != nil {
		if !time.Now().Before(until) {
			h.end()
			return ErrLockLost
		}
		return err
	}
	if err := received.decode(&struct{}{}, map[int]error{http.StatusConflict: ErrLockLost}); err != nil {
		h.end()
		return err
	}
	return h.extend(received.sentAt.Add(h.duration))
}

// extend counts a renewal, unless the time was over before its answer came.
func (h *Lock) extend(until time.Time) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.isOver || !time.Now().Before(h.until) {
		h.isOver = true
		return ErrLockLost
	}
	if until.After(h.until) {
		h.until = until
	}
	return nil
}

func (h *Lock) end() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.isOver = true
}

// Release gives the lock back. The hold is over from before the call, whether or not it succeeds.
func (h *Lock) Release(ctx context.Context) error {
	h.end()
	received, err := h.client.call(ctx, h.request(http.MethodDelete))
	if err != nil {
		return err
	}
	return received.decode(&struct{}{}, nil)
}
