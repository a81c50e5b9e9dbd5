package drill

import (
	"time"

	"ferryspar/internal/apierror"
)

// Bounds and defaults of a drill.
const (
	MinDuration     = 5 * time.Second
	MaxDuration     = 10 * time.Minute
	DefaultDuration = time.Minute
	DefaultShare    = 0.1
	DefaultMargin   = 0.1
)

// Reasons for which a drill ended.
const (
	EndedByTime         = "time is up"
	EndedByOperator     = "stopped by the operator"
	EndedWithoutContact = "out of touch with the control plane"
	EndedByEvacuation   = "an evacuation takes precedence"
	EndedWithoutRenewal = "nobody renewed it"
)

// States of a data plane during a drill, besides the reason for which it ended the drill.
const (
	DataPlaneParticipating = "follows"
	DataPlaneSilent        = "silent"
)

// Record is the record of the newest drill in the keystore. Renewals is incremented by each renewal and by the
// end of the drill; RemainingMs is the time that remained at that point, in milliseconds.
type Record struct {
	Number         uint64          `json:"number"`
	Scope          Scope           `json:"scope"`
	Share          float64         `json:"share"`
	Margin         float64         `json:"margin"`
	DurationMs     int64           `json:"forMs"`
	RemainingMs    int64           `json:"leftMs"`
	Renewals       uint64          `json:"beat"`
	IdempotencyKey string          `json:"mark,omitempty"`
	Running        bool            `json:"running"`
	EndReason      string          `json:"why,omitempty"`
	EndedByGuard   bool            `json:"endedByGuard"`
	Routes         []RouteOutcomes `json:"routes,omitempty"`
}

// Notice is what data planes are sent about the newest drill.
type Notice struct {
	Number      uint64  `json:"number"`
	Scope       Scope   `json:"scope"`
	Share       float64 `json:"share"`
	RemainingMs int64   `json:"leftMs"`
	Running     bool    `json:"running"`
}

// Status is the status of a drill for an operator: the record, and the state of each data plane.
type Status struct {
	Record
	DataPlanes map[string]string `json:"edges"`
}

// NewRecord returns the record of a new drill that replaces the previous one, with defaults filled in. Errors
// are of kind apierror.InvalidDrill.
func (r Request) NewRecord(previous Record) (Record, error) {
	if r.Share == 0 {
		r.Share = DefaultShare
	}
	if r.DurationMs == 0 {
		r.DurationMs = DefaultDuration.Milliseconds()
	}
	if r.Margin == 0 {
		r.Margin = DefaultMargin
	}
	duration := time.Duration(r.DurationMs) * time.Millisecond
	switch {
	case !(r.Share > 0 && r.Share <= 1):
		return previous, apierror.New(apierror.InvalidDrill, "share must be above 0 and at most 1")
	case duration < MinDuration || duration > MaxDuration:
		minMs, maxMs := MinDuration.Milliseconds(), MaxDuration.Milliseconds()
		return previous, apierror.New(apierror.InvalidDrill, "forMs must lie between %d and %d", minMs, maxMs)
	case !(r.Margin > 0 && r.Margin < 1):
		return previous, apierror.New(apierror.InvalidDrill, "margin must lie between 0 and 1")
	}
	return Record{
		Number:         previous.Number + 1,
		Scope:          r.Scope,
		Share:          r.Share,
		Margin:         r.Margin,
		DurationMs:     r.DurationMs,
		RemainingMs:    r.DurationMs,
		IdempotencyKey: r.IdempotencyKey,
		Running:        true,
	}, nil
}

// End returns the record of the ended drill, with the reason and the counts of each route. byGuard is set
// if the guard ended it before its deadline.
func (r Record) End(reason string, byGuard bool, routes []RouteOutcomes) Record {
	r.Running, r.EndReason, r.EndedByGuard, r.Routes, r.RemainingMs = false, reason, byGuard, routes, 0
	r.Renewals++
	return r
}

// Renew returns the renewed record with the remaining time, which never increases.
func (r Record) Renew(remaining time.Duration) Record {
	r.RemainingMs = min(r.RemainingMs, remaining.Milliseconds())
	r.Renewals++
	return r
}
