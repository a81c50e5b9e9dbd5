package singleton

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
)

const (
	// checkInterval is how often roles are checked for a due call.
	checkInterval = 100 * time.Millisecond
	// callMargin is the minimum remaining validity of the lease when a call is made.
	callMargin = 800 * time.Millisecond
	// prepareTimeout bounds the preparation of one call.
	prepareTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay before a role whose call was not accepted calls again.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// rateShare is the fraction of the platform's rate limit that is used.
	rateShare = 0.5
)

// Config holds the settings and dependencies of a Runner.
type Config struct {
	// Holder identifies this node to the platform.
	Holder string
	// CallsPerSecond is the platform's rate limit.
	CallsPerSecond float64
	Lease          Lease
	Platform       Platform
	Clock          func() time.Time
	// Roles holds the roles, most important first.
	Roles []Role
}

// Runner makes the calls of all roles. It is used only by the goroutine of Run.
type Runner struct {
	config Config
	roles  []*roleState
	grant  *lease.Grant
	// nextCallAt is when the platform's rate limit allows the next call.
	nextCallAt time.Time
}

// roleState is a runner's state of one role.
type roleState struct {
	role Role
	// fencedAt is the fence that the platform has rejected, 0 if none.
	fencedAt uint64
	backoff  time.Duration
	// retryAt is when the role may call again.
	retryAt time.Time
}

// NewRunner returns a runner that has made no calls.
func NewRunner(config Config) *Runner {
	runner := &Runner{config: config}
	for _, role := range config.Roles {
		runner.roles = append(runner.roles, &roleState{role: role})
	}
	return runner
}

// Run makes calls while this node holds the lease, until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	if len(r.roles) == 0 {
		return
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, state := range r.roles {
			r.runOnce(ctx, state)
		}
	}
}

// runOnce makes the due call of a role, if there is one.
func (r *Runner) runOnce(ctx context.Context, state *roleState) {
	now := r.config.Clock()
	if !r.adoptGrant(now) || state.fencedAt == r.grant.Record.Fence || now.Before(state.retryAt) {
		return
	}
	prepared, cancel := context.WithTimeout(ctx, prepareTimeout)
	state.role.Prepare(prepared, now)
	cancel()
	// The preparation may have taken longer than the grant lasts.
	now = r.config.Clock()
	if !r.adoptGrant(now) || now.Before(r.nextCallAt) {
		return
	}
	if call, isDue := state.role.Next(now); isDue {
		r.send(ctx, state, call)
	}
}

// adoptGrant reports whether a call may be made now. It resets the roles if the grant is a new one rather than a renewal.
func (r *Runner) adoptGrant(now time.Time) bool {
	grant := r.config.Lease.Grant()
	if !grant.Allows(now, callMargin) {
		return false
	}
	if !r.grant.SameAs(grant) {
		for _, state := range r.roles {
			state.role.Reset()
			state.backoff, state.retryAt = 0, time.Time{}
		}
	}
	r.grant = grant
	return true
}

func (r *Runner) send(ctx context.Context, state *roleState, call Call) {
	fence := r.grant.Record.Fence
	status, err := r.config.Platform.Send(ctx, discovery.FencedCall{
		Path:   call.Path,
		Body:   call.Body,
		Holder: r.config.Holder,
		Fence:  fence,
	})
	now := r.config.Clock()
	r.nextCallAt = now.Add(time.Duration(float64(time.Second) / (rateShare * max(r.config.CallsPerSecond, 1))))
	outcome := outcomeOf(status, err)
	state.role.HandleOutcome(outcome, now)
	if outcome == OutcomeAccepted {
		state.backoff = 0
		return
	}
	state.backoff = min(max(2*state.backoff, minBackoff), maxBackoff)
	state.retryAt = now.Add(state.backoff)
	entry := logrus.WithFields(logrus.Fields{"role": state.role.Name(), "status": status, "fence": fence})
	if outcome == OutcomeFenced {
		state.fencedAt = fence
		r.config.Lease.ReportFenced(fence)
		entry.Info("platform call refused, a higher fence was seen")
		return
	}
	entry.WithError(err).Info("platform call not accepted")
}
