package replicatracker

import (
	"time"

	"ferryspar/internal/replicastate"
)

const (
	// ReportLag is how long after an accepted change a report may still show the state before it.
	ReportLag = 250 * time.Millisecond
	// UnknownFateDelay is the wait for a report after an order without a clear answer.
	UnknownFateDelay = 1500 * time.Millisecond
	// MaxOrderLifetime is how long the network may still hold an order whose call was given up and whose connection was
	// reset.
	MaxOrderLifetime = 3 * time.Second
	// MaxReportAge is how far before its request the moment may lie that a report shows. Reports are requested this long
	// after a grant that follows another one, so that none shows a moment before the previous holder's last order.
	MaxReportAge = 500 * time.Millisecond
	// absenceTimeout is how long a replica is kept that the platform's list leaves out.
	absenceTimeout = 5 * time.Second

	// pollInterval is the wait before a replica is polled again.
	pollInterval = 250 * time.Millisecond
	// rejectedBackoff is how long a replica that rejects an order is left alone.
	rejectedBackoff = 4 * time.Second
	// distrustPeriod is how long reports that contradict an answer are taken for outdated ones.
	distrustPeriod = 2 * time.Second
)

// Timings returns the timings of tracked replicas.
func Timings() *replicastate.Timings {
	return &replicastate.Timings{
		ReportLag:           ReportLag,
		PollInterval:        pollInterval,
		UnknownOutcomeDelay: UnknownFateDelay,
		RejectionBackoff:    rejectedBackoff,
		MaxOrderLifetime:    MaxOrderLifetime,
		MaxReportAge:        MaxReportAge,
		StaleReportWindow:   distrustPeriod,
	}
}

// replicaTimings are the timings that all tracked replicas share.
var replicaTimings = Timings()
