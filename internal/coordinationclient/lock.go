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

// Lock is an acquired lock. It is safe for concurrent use.
//
// The lock expires by itself, so its user must compare ExpiresAt with a monotonic clock before each action that relies on it.
type Lock struct {
	client *Client
	name   string
	holder string
	ttl    time.Duration
	fence  uint64

	mutex     sync.Mutex
	expiresAt time.Time
	// hasEnded reports that the lock was released or lost.
	hasEnded bool
}

// Acquire acquires a lock for a TTL, or extends it if holder already holds it. It returns ErrLockHeld if another client holds it.
func (c *Client) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (*Lock, error) {
	acquired := &Lock{client: c, name: name, holder: holder, ttl: ttl}
	received, err := c.call(ctx, acquired.request(http.MethodPost))
	if err != nil {
		return nil, err
	}
	var reply coordinationapi.LockReply
	if err := received.decode(&reply, map[int]error{http.StatusConflict: ErrLockHeld}); err != nil {
		return nil, err
	}
	acquired.fence, acquired.expiresAt = reply.Fence, received.sentAt.Add(ttl)
	if !time.Now().Before(acquired.expiresAt) {
		return nil, errors.Wrap(ErrLockLost, "the answer arrived after the lock had expired")
	}
	return acquired, nil
}

func (l *Lock) request(method string) request {
	return request{
		method: method,
		path:   coordinationapi.PathLocks + url.PathEscape(l.name),
		body: coordinationapi.LockRequest{
			Holder: l.holder,
			Fence:  l.fence,
			TTLMs:  l.ttl.Milliseconds(),
		},
	}
}

// Fence returns the fencing token of the lock. Pass it to every resource that the lock protects.
func (l *Lock) Fence() uint64 { return l.fence }

// ExpiresAt returns when the lock expires unless it is renewed, or the zero time if it has ended.
func (l *Lock) ExpiresAt() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.hasEnded {
		return time.Time{}
	}
	return l.expiresAt
}

// Renew extends the lock by its TTL, counted from before the call. It returns ErrLockLost if the lock is lost or expires before
// the answer arrives: the lock has ended then, whatever the answer was.
func (l *Lock) Renew(ctx context.Context) error {
	expiresAt := l.ExpiresAt()
	if !time.Now().Before(expiresAt) {
		l.markEnded()
		return ErrLockLost
	}
	renewContext, cancel := context.WithDeadline(ctx, expiresAt)
	defer cancel()
	received, err := l.client.call(renewContext, l.request(http.MethodPut))
	if err != nil {
		if !time.Now().Before(expiresAt) {
			l.markEnded()
			return ErrLockLost
		}
		return err
	}
	if err := received.decode(&struct{}{}, map[int]error{http.StatusConflict: ErrLockLost}); err != nil {
		l.markEnded()
		return err
	}
	return l.extend(received.sentAt.Add(l.ttl))
}

// extend applies a renewal, unless the lock expired before the answer arrived.
func (l *Lock) extend(expiresAt time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.hasEnded || !time.Now().Before(l.expiresAt) {
		l.hasEnded = true
		return ErrLockLost
	}
	if expiresAt.After(l.expiresAt) {
		l.expiresAt = expiresAt
	}
	return nil
}

func (l *Lock) markEnded() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hasEnded = true
}

// Release releases the lock. The lock counts as ended from before the call, whether or not the call succeeds.
func (l *Lock) Release(ctx context.Context) error {
	l.markEnded()
	received, err := l.client.call(ctx, l.request(http.MethodDelete))
	if err != nil {
		return err
	}
	return received.decode(&struct{}{}, nil)
}
