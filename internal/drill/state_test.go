package drill

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestState_AdoptsRenewalsWithoutPostponingDeadline(t *testing.T) {
	first := Record{Number: 3, RemainingMs: 60_000, Running: true}
	state, changed := State{}.Adopt(first, testStart)
	assert.Assert(t, changed)
	assert.Assert(t, state.Deadline.Equal(testStart.Add(time.Minute)))
	_, changed = state.Adopt(first, testStart.Add(time.Second))
	assert.Assert(t, !changed, "the same record again")
	_, changed = state.Adopt(Record{Number: 2, Renewals: 9}, testStart.Add(time.Second))
	assert.Assert(t, !changed, "an earlier drill")

	late := testStart.Add(4 * time.Second)
	renewed, changed := state.Adopt(first.Renew(time.Minute), late)
	assert.Assert(t, changed)
	assert.Assert(t, renewed.Deadline.Equal(state.Deadline), "a delayed renewal doesn't prolong the drill")
	assert.Assert(t, renewed.LeaseExpiresAt.Equal(late.Add(LeaseDuration)))
	assert.Assert(t, renewed.IsRunning(late.Add(LeaseDuration-1)))
	assert.Assert(t, !renewed.IsRunning(late.Add(LeaseDuration)), "without a further renewal")
}

func TestState_NoticeOnlyIfDrillConcernsDataPlane(t *testing.T) {
	assert.Assert(t, State{}.Notice(nil, testStart) == nil)
	ended := State{Record: Record{Number: 1}}
	assert.Assert(t, ended.Notice(nil, testStart) == nil)
	assert.Equal(t, ended.Notice(&Report{Number: 1}, testStart).Running, false)
	running := State{
		Record:         Record{Number: 1, Running: true},
		Deadline:       testStart.Add(time.Second),
		LeaseExpiresAt: testStart.Add(time.Minute),
	}
	assert.Equal(t, running.Notice(nil, testStart).RemainingMs, int64(1000))
	assert.Equal(t, running.Notice(nil, testStart.Add(2*time.Second)).RemainingMs, int64(0))
}
