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

// Why a drill ended.
const (
	EndedByTime         = "time is up"
	EndedByOperator     = "stopped by the operator"
	EndedWithoutContact = "out of touch with the control plane"
	EndedByEvacuation   = "an evacuation takes precedence"
	EndedWithoutRenewal = "nobody renewed it"
)

// What a data plane does about a drill.
const (
	DataPlaneParticipating = "follows"
	DataPlaneSilent        = "silent"
)

// Record is what the keystore keeps of the newest drill. Renewals rises with each renewal; RemainingMs is
// the time left at that moment, in milliseconds.
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

// Notice is what data planes are sent of the newest drill.
type Notice struct {
	Number      uint64  `json:"number"`
	Scope       Scope   `json:"scope"`
	Share       float64 `json:"share"`
	RemainingMs int64   `json:"leftMs"`
	Running     bool    `json:"running"`
}

// Status is what an operator sees of a drill: the record, and what each data plane does about it.
type Status struct {
	Record
	DataPlanes map[string]string `json:"edges"`
}

// NewRecord returns the record of a new drill that follows after, with defaults filled in. Errors are
// of kind apierror.InvalidDrill.
func (r Request) NewRecord(after Record) (Record, error) {
	if r.Share == 0 {
		r.Share = DefaultShare
	}
	if r.DurationMs == 0 {
		r.DurationMs = DefaultDuration.Milliseconds()
	}
	if r.Margin == 0 {
		r.Margin = DefaultMargin
	}
	length := time.Duration(r.DurationMs) * time.Millisecond
	switch {
	case !(r.Share > 0 && r.Share <= 1):
		return after, apierror.New(apierror.InvalidDrill, "share must be above 0 and at most 1")
	case length < MinDuration || length > MaxDuration:
		least, most := MinDuration.Milliseconds(), MaxDuration.Milliseconds()
		return after, apierror.New(apierror.InvalidDrill, "forMs must lie between %d and %d", least, most)
	case !(r.Margin > 0 && r.Margin < 1):
		return after, apierror.New(apierror.InvalidDrill, "margin must lie between 0 and 1")
	}
	return Record{
		Number:         after.Number + 1,
		Scope:          r.Scope,
		Share:          r.Share,
		Margin:         r.Margin,
		DurationMs:     r.DurationMs,
		RemainingMs:    r.DurationMs,
		IdempotencyKey: r.IdempotencyKey,
		Running:        true,
	}, nil
}

// End returns the record as ended, with the reason and the counts of each route. guard tells that
// a guard ended it before its time.
func (r Record) End(reason string, guard bool, routes []RouteOutcomes) Record {
	r.Running, r.EndReason, r.EndedByGuard, r.Routes, r.RemainingMs = false, reason, guard, routes, 0
	r.Renewals++
	return r
}

// Renew returns the record with the time left, which never grows.
func (r Record) Renew(left time.Duration) Record {
	r.RemainingMs = min(r.RemainingMs, left.Milliseconds())
	r.Renewals++
	return r
}
