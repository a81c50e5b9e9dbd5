package coordinationclient

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// renewalsPerTTL is how many times a leader tries to renew its lock within one TTL.
	renewalsPerTTL = 3
	// campaignInterval is the interval at which a candidate tries to acquire a held lock.
	campaignInterval = 200 * time.Millisecond
	// releaseTimeout bounds the time for releasing the lock.
	releaseTimeout = 2 * time.Second
)

// Campaign waits until the candidate holds the lock and then calls lead, whose context is canceled when the lock is lost. When
// lead returns, it releases the lock and returns the error of lead. If the lock was lost, it campaigns again instead, unless lead
// returned an error other than ErrLockHeld and ErrLockLost. It returns the error of ctx if that ends while it campaigns.
//
// lead must return soon after its context is canceled, and must pass fence to everything that may outlive it.
func (c *Client) Campaign(
	ctx context.Context, name, candidate string, ttl time.Duration, lead func(ctx context.Context, fence uint64) error,
) error {
	for {
		acquired, err := c.Acquire(ctx, name, candidate, ttl)
		if err == nil {
			var isLost bool
			if isLost, err = acquired.lead(ctx, lead); !isLost {
				return err
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !errors.Is(err, ErrLockHeld) && !errors.Is(err, ErrLockLost) {
			return err
		}
		if !sleep(ctx, campaignInterval) {
			return ctx.Err()
		}
	}
}

// lead runs lead while the lock is held, and reports whether the lock was lost before lead returned.
func (l *Lock) lead(ctx context.Context, lead func(ctx context.Context, fence uint64) error) (isLost bool, err error) {
	leaderContext, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- lead(leaderContext, l.fence) }()
	renewalDone := make(chan struct{})
	go func() {
		defer close(renewalDone)
		defer cancel()
		l.keepRenewing(leaderContext)
	}()
	err = <-done
	isLost = ctx.Err() == nil && leaderContext.Err() != nil
	cancel()
	<-renewalDone
	releaseContext, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	_ = l.Release(releaseContext) // on failure the lock expires by itself
	return isLost, err
}

// keepRenewing renews the lock until ctx ends, and returns when the lock has ended. A renewal in flight is aborted when the lock
// expires.
func (l *Lock) keepRenewing(ctx context.Context) {
	for sleep(ctx, l.ttl/renewalsPerTTL) {
		renewContext, cancel := context.WithDeadline(ctx, l.ExpiresAt())
		err := l.Renew(renewContext)
		cancel()
		if errors.Is(err, ErrLockLost) || !time.Now().Before(l.ExpiresAt()) {
			return
		}
	}
}
