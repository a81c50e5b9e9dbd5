package singleton

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
)

const (
	// checkInterval is how often roles are asked what is due.
	checkInterval = 100 * time.Millisecond
	// callMargin is how much longer the lease must last when a call is made.
	callMargin = 800 * time.Millisecond
	// prepareTimeout bounds the preparation of one call.
	prepareTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause before a call is repeated that was not accepted.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// rateShare is the part of the platform's rate that is used.
	rateShare = 0.5
)

// Config is what a Runner is made of.
type Config struct {
	// Holder names this node to the platform.
	Holder string
	// CallsPerSecond is how many calls the platform accepts.
	CallsPerSecond float64
	Lease          Lease
	Platform       Platform
	Clock          func() time.Time
	// Roles, those that matter most first.
	Roles []Role
}

// Runner makes the calls of all roles. Its state belongs to the goroutine of Run.
type Runner struct {
	config Config
	roles  []*roleState
	grant  *lease.Grant
	// nextCallAt is when the platform's rate allows the next call.
	nextCallAt time.Time
}

// roleState is what a runner keeps of one role.
type roleState struct {
	role Role
	// fencedAt is the fence that the platform has refused, 0 for none.
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

// Run makes calls while this node has the lease, until ctx ends.
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
			r.turn(ctx, state)
		}
	}
}

// turn makes the call of a role that is due, if any.
func (r *Runner) turn(ctx context.Context, state *roleState) {
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

// adoptGrant says whether a call may be made now. Roles begin anew under a grant that is not the one before it.
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
	status, err := r.config.Platform.Send(ctx, discovery.RoleCall{
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
