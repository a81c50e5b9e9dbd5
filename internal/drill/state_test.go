package drill

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestState_AdoptsRenewalsWithoutMovingTheDeadline(t *testing.T) {
	first := Record{Number: 3, RemainingMs: 60_000, Running: true}
	state, changed := State{}.Adopt(first, start)
	assert.Assert(t, changed)
	assert.Assert(t, state.Deadline.Equal(start.Add(time.Minute)))
	_, changed = state.Adopt(first, start.Add(time.Second))
	assert.Assert(t, !changed, "the same record again")
	_, changed = state.Adopt(Record{Number: 2, Renewals: 9}, start.Add(time.Second))
	assert.Assert(t, !changed, "an earlier drill")

	late := start.Add(4 * time.Second)
	renewed, changed := state.Adopt(first.Renew(time.Minute), late)
	assert.Assert(t, changed)
	assert.Assert(t, renewed.Deadline.Equal(state.Deadline), "a delayed renewal doesn't prolong the drill")
	assert.Assert(t, renewed.LeaseExpiresAt.Equal(late.Add(LeaseDuration)))
	assert.Assert(t, renewed.IsRunning(late.Add(LeaseDuration-1)))
	assert.Assert(t, !renewed.IsRunning(late.Add(LeaseDuration)), "without a further renewal")
}

func TestState_NoticeOnlyForThoseConcerned(t *testing.T) {
	assert.Assert(t, State{}.Notice(nil, start) == nil)
	ended := State{Record: Record{Number: 1}}
	assert.Assert(t, ended.Notice(nil, start) == nil)
	assert.Equal(t, ended.Notice(&Report{Number: 1}, start).Running, false)
	running := State{Record: Record{Number: 1, Running: true}, Deadline: start.Add(time.Second), LeaseExpiresAt: start.Add(time.Minute)}
	assert.Equal(t, running.Notice(nil, start).RemainingMs, int64(1000))
	assert.Equal(t, running.Notice(nil, start.Add(2*time.Second)).RemainingMs, int64(0))
}
