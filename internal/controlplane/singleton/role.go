package singleton

import (
	"context"
	"net/http"
	"time"

	"ferryspar/internal/discovery"
	"ferryspar/internal/lease"
)

// Outcome is the known result of a call.
type Outcome int

// The outcomes of a call.
const (
	// OutcomeUncertain means that the call was not answered or was answered with a server error. It may have been executed, or
	// may still be executed seconds later.
	OutcomeUncertain Outcome = iota
	// OutcomeAccepted means that the call was executed.
	OutcomeAccepted
	// OutcomeRejected means that the call was not executed and never will be.
	OutcomeRejected
	// OutcomeThrottled means that the call was rejected because the platform accepts no more calls at the moment.
	OutcomeThrottled
	// OutcomeFenced means that the call was rejected because another holder has used a higher fence.
	OutcomeFenced
)

// outcomeOf returns the outcome of a call from its response.
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

// Call is a call that a role wants to make.
type Call struct {
	Path string
	Body []byte
}

// Role decides which platform calls to make for one purpose. Its methods are called from one goroutine.
type Role interface {
	// Name returns the role's name in logs and metrics.
	Name() string
	// Reset discards the role's state under a new lease grant, since calls made by other holders in the meantime are not
	// known.
	Reset()
	// Prepare does what must precede the next call, such as storing its content. It may take until ctx ends.
	Prepare(ctx context.Context, now time.Time)
	// Next returns the call that is due, or false if there is none.
	Next(now time.Time) (Call, bool)
	// HandleOutcome receives the outcome of the call that Next returned last.
	HandleOutcome(outcome Outcome, now time.Time)
}

// Lease is the placement lease as used by a Runner.
type Lease interface {
	// Grant returns the current grant, or nil.
	Grant() *lease.Grant
	// ReportFenced requests that the lease be released and acquired again under a higher fence.
	ReportFenced(fence uint64)
}

// Platform sends calls to the platform. It is implemented by discovery.FencedClient.
type Platform interface {
	Send(ctx context.Context, call discovery.FencedCall) (int, error)
}
