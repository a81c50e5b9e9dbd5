package replicatracker

import (
	"time"

	"ferryspar/internal/replicastate"
)

const (
	// ReportLag is how long after a change was accepted a report may still show the previous state.
	ReportLag = 250 * time.Millisecond
	// UnknownOutcomeDelay is the delay before a report is requested after an order without a clear answer.
	UnknownOutcomeDelay = 1500 * time.Millisecond
	// MaxOrderLifetime is how long an order may remain in the network after its call was abandoned and its connection reset.
	MaxOrderLifetime = 3 * time.Second
	// MaxReportAge is the maximum age of the state in a report, relative to the time of its request. After a grant that
	// follows another one, reports are requested only after this delay, so that none shows the state before the previous
	// holder's last order.
	MaxReportAge = 500 * time.Millisecond
	// absenceTimeout is how long a replica that is missing from the platform's list is kept.
	absenceTimeout = 5 * time.Second

	// pollInterval is the delay before a replica is polled again.
	pollInterval = 250 * time.Millisecond
	// rejectedBackoff is how long no order is sent to a replica after it has rejected one.
	rejectedBackoff = 4 * time.Second
	// contradictionTimeout is how long reports that contradict the answer to an order, and lists that contradict a report, are
	// assumed to be outdated.
	contradictionTimeout = 2 * time.Second
)

// Timings returns the timings of tracked replicas.
func Timings() *replicastate.Timings {
	return &replicastate.Timings{
		ReportLag:           ReportLag,
		PollInterval:        pollInterval,
		UnknownOutcomeDelay: UnknownOutcomeDelay,
		RejectionBackoff:    rejectedBackoff,
		MaxOrderLifetime:    MaxOrderLifetime,
		MaxReportAge:        MaxReportAge,
		StaleReportWindow:   contradictionTimeout,
	}
}

// replicaTimings is shared by all tracked replicas.
var replicaTimings = Timings()
