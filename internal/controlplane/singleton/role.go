package singleton

import (
	"context"
	"net/http"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
)

// Outcome is what is known of a call after it was made.
type Outcome int

// The outcomes of a call.
const (
	// OutcomeUncertain: the call was not answered, or with a failure. It may have been carried out, or may be seconds later.
	OutcomeUncertain Outcome = iota
	// OutcomeAccepted: it was carried out.
	OutcomeAccepted
	// OutcomeRejected: it was not carried out and never will be.
	OutcomeRejected
	// OutcomeThrottled: the same, since the platform takes no more calls at the moment.
	OutcomeThrottled
	// OutcomeFenced: the same, since another holder has used a higher fence.
	OutcomeFenced
)

// outcomeOf judges the answer to a call.
func outcomeOf(status int, err error) Outcome {
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		return OutcomeUncertain
	case status < http.StatusMultipleChoices:
		return OutcomeAccepted
	case status == http.StatusConflict:
		return OutcomeFenced
	case status == http.StatusTooManyRequests:
		return OutcomeThrottled
	}
	return OutcomeRejected
}

// Call is what a role has to say next.
type Call struct {
	Path string
	Body []byte
}

// Role decides what is said at the platform in one matter. Its methods are called by one goroutine.
type Role interface {
	// Name is the role's name in logs and metrics.
	Name() string
	// Reset starts anew under another grant of the lease: what others have said meanwhile is not known.
	Reset()
	// Prepare does what must be done before the next call, as storing what it will say. It may take until ctx ends.
	Prepare(ctx context.Context, now time.Time)
	// Next is the call that is due, or false.
	Next(now time.Time) (Call, bool)
	// HandleOutcome tells what came of the call that Next returned last.
	HandleOutcome(outcome Outcome, now time.Time)
}

// Lease is what a Runner needs of the placement lease.
type Lease interface {
	// Grant is the present grant, or nil.
	Grant() *lease.Grant
	// ReportFenced has the lease given up and taken anew, under a higher fence.
	ReportFenced(fence uint64)
}

// Platform makes calls (discovery.RoleClient).
type Platform interface {
	Send(ctx context.Context, call discovery.RoleCall) (int, error)
}
