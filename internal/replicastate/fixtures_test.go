package replicastate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

var testTimings = &Timings{
	ReportLag:           250 * time.Millisecond,
	PollInterval:        250 * time.Millisecond,
	UnknownOutcomeDelay: 1500 * time.Millisecond,
	RejectionBackoff:    4 * time.Second,
	MaxOrderLifetime:    3 * time.Second,
	MaxReportAge:        500 * time.Millisecond,
	StaleReportWindow:   2 * time.Second,
}

const testFence = 7

func set(references ...string) map[string]bool {
	found := map[string]bool{}
	for _, reference := range references {
		found[reference] = true
	}
	return found
}

func load(reference string) Change { return Change{Load: true, Reference: reference} }

func unload(reference string) Change { return Change{Reference: reference} }

func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// idle returns a replica that reported the given sequence number and loaded references at testStart.
func idle(t *testing.T, sequence int64, loaded ...string) *Replica {
	t.Helper()
	replica := New(testTimings, testFence, time.Time{}, nil)
	report(t, replica, true, Report{Sequence: sequence, Loaded: set(loaded...)}, testStart)
	return replica
}

// report passes a report to the replica as if it were requested and received now, and checks whether it is adopted.
func report(t *testing.T, replica *Replica, adopted bool, report Report, now time.Time) {
	t.Helper()
	replica.PollStarted(now)
	assert.Equal(t, replica.HandleReport(report, now), adopted)
	assert.Assert(t, !replica.IsPolling())
}

// decide decides on a change and checks that this is possible.
func decide(t *testing.T, replica *Replica, change Change, now time.Time) Order {
	t.Helper()
	order, possible := replica.Decide(change, now)
	assert.Assert(t, possible)
	return order
}

// decideAndEnd decides on a change and ends the call with an outcome.
func decideAndEnd(t *testing.T, replica *Replica, change Change, outcome Outcome, now time.Time) Order {
	t.Helper()
	order := decide(t, replica, change, now)
	replica.HandleResponse(order, outcome, now)
	return order
}

// checkBounds checks CertainlyLoaded and PossiblyLoaded.
func checkBounds(t *testing.T, replica *Replica, certain, possible map[string]bool) {
	t.Helper()
	assert.DeepEqual(t, replica.CertainlyLoaded(), certain)
	assert.Equal(t, len(replica.PossiblyLoaded()), len(possible), "%v", replica.PossiblyLoaded())
	for reference := range possible {
		assert.Assert(t, replica.PossiblyLoaded()[reference], reference)
	}
}
