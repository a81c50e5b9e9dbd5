package replicastate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

var testTimings = &Timings{
	ReportLag:    250 * time.Millisecond,
	BusyPause:    250 * time.Millisecond,
	UnknownPause: 1500 * time.Millisecond,
	RefusedPause: 4 * time.Second,
	Settle:       3 * time.Second,
	ReportAge:    500 * time.Millisecond,
	Distrust:     2 * time.Second,
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
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// idle is a replica that has reported a sequence and what it holds at the start.
func idle(t *testing.T, sequence int64, held ...string) *Replica {
	t.Helper()
	one := New(testTimings, testFence, time.Time{}, nil)
	tell(t, one, true, Report{Sequence: sequence, Held: set(held...)}, start)
	return one
}

// tell asks for a report, has it come at once and checks whether it is adopted.
func tell(t *testing.T, one *Replica, adopted bool, report Report, now time.Time) {
	t.Helper()
	one.AskStarted(now)
	assert.Equal(t, one.Reported(report, now), adopted)
	assert.Assert(t, !one.Asking())
}

// decide decides on a change that must be possible.
func decide(t *testing.T, one *Replica, change Change, now time.Time) Order {
	t.Helper()
	order, possible := one.Decide(change, now)
	assert.Assert(t, possible)
	return order
}

// ended decides on a change and has its call end with an outcome.
func ended(t *testing.T, one *Replica, change Change, outcome Outcome, now time.Time) Order {
	t.Helper()
	order := decide(t, one, change, now)
	one.Answer(order, outcome, now)
	return order
}

// checkBounds checks what the replica surely and what it may hold.
func checkBounds(t *testing.T, one *Replica, sure, may map[string]bool) {
	t.Helper()
	assert.DeepEqual(t, one.SurelyHeld(), sure)
	assert.Equal(t, len(one.MayHold()), len(may), "%v", one.MayHold())
	for reference := range may {
		assert.Assert(t, one.MayHold()[reference], reference)
	}
}
