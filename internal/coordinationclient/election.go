package coordinationclient

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// renewalsPerHold is how often a leader renews its hold within the time of one.
	renewalsPerHold = 3
	// campaignInterval is how often a candidate asks for a lock that another holds.
	campaignInterval = 200 * time.Millisecond
	// releaseTimeout is how long giving a lock back may take.
	releaseTimeout = 2 * time.Second
)

// Campaign waits until the candidate holds the lock and then calls lead, whose context ends once the hold ends. It returns what lead
// returns after the lock was given back; the context's error if ctx ends before that; and campaigns again if the hold was lost.
//
// lead must end soon after its context, and pass fence on to whatever may outlive that.
func (c *Client) Campaign(
	ctx context.Context, lock, candidate string, duration time.Duration, lead func(ctx context.Context, fence uint64) error,
) error {
	for {
		hold, err := c.Acquire(ctx, lock, candidate, duration)
		if err == nil {
			var isLost bool
			if isLost, err = hold.lead(ctx, lead); !isLost {
				return err
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !errors.Is(err, ErrLockHeld) && !errors.Is(err, ErrLockLost) {
			return err
		}
		if !wait(ctx, campaignInterval) {
			return ctx.Err()
		}
	}
}

// lead runs a leader while the hold lasts, and says whether the hold was lost before the leader ended.
func (h *Lock) lead(ctx context.Context, lead func(ctx context.Context, fence uint64) error) (isLost bool, err error) {
	leading, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- lead(leading, h.fence) }()
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		defer cancel()
		h.keep(leading)
	}()
	err = <-done
	isLost = ctx.Err() == nil && leading.Err() != nil
	cancel()
	<-renewed
	releasing, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	_ = h.Release(releasing) // else the lock is free once its time is over
	return isLost, err
}

// keep renews the hold until ctx ends, and returns when the hold is over. A renewal in flight ends with the hold.
func (h *Lock) keep(ctx context.Context) {
	for wait(ctx, h.duration/renewalsPerHold) {
		renewing, cancel := context.WithDeadline(ctx, h.ExpiresAt())
		err := h.Renew(renewing)
		cancel()
		if errors.Is(err, ErrLockLost) || !time.Now().Before(h.ExpiresAt()) {
			return
		}
	}
}
