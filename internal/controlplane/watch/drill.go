package watch

import (
	"time"

	"ferryspar/internal/drill"
)

// DrillState is a drill with its deadlines by this node's own clock.
type DrillState struct {
	drill.Record
	// Deadline is when the requested time is up, LeaseExpiresAt when the drill lapses unless it is renewed.
	Deadline       time.Time
	LeaseExpiresAt time.Time
}

// IsRunning says whether the drill runs at the moment.
func (s DrillState) IsRunning(now time.Time) bool {
	return s.Running && now.Before(s.Deadline) && now.Before(s.LeaseExpiresAt)
}

// notice returns what a data plane that sent the report is sent of the drill. It is nil if there has been none, or if it
// has ended and the data plane takes no part in one.
func (s DrillState) notice(report *drill.Report, now time.Time) *drill.Notice {
	if s.Number == 0 || !s.Running && report == nil {
		return nil
	}
	remaining := max(s.Deadline.Sub(now), 0)
	return &drill.Notice{
		Number:  s.Number,
		Scope:   s.Scope,
		Share:   s.Share,
		LeftMs:  remaining.Milliseconds(),
		Running: s.IsRunning(now),
	}
}
