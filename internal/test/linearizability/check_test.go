package linearizability_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func putRecord(number int, condition int64, result callResult, started, ended time.Duration) callRecord {
	return callRecord{
		call:      operatorCall{number: number, kind: callPut},
		condition: condition,
		result:    result,
		started:   started,
		ended:     ended,
	}
}

func getRecord(number int, revision int64, started, ended time.Duration) callRecord {
	value := 0
	if revision > 0 {
		value = valueOf(operatorCall{number: number})
	}
	return callRecord{
		call:         operatorCall{number: -1, kind: callGet},
		readRevision: revision,
		readContent:  content{value, value},
		started:      started,
		ended:        ended,
	}
}

func drainRecord(drained bool, result callResult, started, ended time.Duration) callRecord {
	call := operatorCall{kind: callDrain, zone: zoneNames[0], drained: drained}
	return callRecord{call: call, result: result, started: started, ended: ended}
}

func zoneReadRecord(drained bool, started, ended time.Duration) callRecord {
	call := operatorCall{kind: callReadZone, zone: zoneNames[0]}
	return callRecord{call: call, readDrained: drained, started: started, ended: ended}
}

func TestCheckHistory_HandWrittenHistories(t *testing.T) {
	histories := []struct {
		name    string
		legal   bool
		history []callRecord
	}{
		{"a read after an acknowledgement", true, []callRecord{
			putRecord(1, 0, acknowledged, 0, 1),
			getRecord(1, 1, 2, 3),
		}},
		{"a read that misses an acknowledged call", false, []callRecord{putRecord(1, 0, acknowledged, 0, 1), getRecord(0, 0, 2, 3)}},
		{"reads during a call", true, []callRecord{
			putRecord(1, 0, acknowledged, 0, 5),
			getRecord(0, 0, 1, 2),
			getRecord(1, 1, 3, 4),
		}},
		{"a read of an older state", false, []callRecord{
			putRecord(1, 0, acknowledged, 0, 9),
			getRecord(1, 1, 1, 2),
			getRecord(0, 0, 3, 4),
		}},
		{"two calls acknowledged on one revision", false, []callRecord{
			putRecord(1, 0, acknowledged, 0, 1),
			putRecord(2, 0, acknowledged, 2, 3),
		}},
		{"a rejection after another call", true, []callRecord{
			putRecord(1, 0, acknowledged, 0, 1),
			putRecord(2, 0, rejected, 2, 3),
		}},
		{"a rejection without a cause", false, []callRecord{putRecord(1, 0, rejected, 0, 1)}},
		{"a rejection before its cause", false, []callRecord{
			putRecord(1, 0, acknowledged, 2, 3),
			putRecord(2, 0, rejected, 0, 1),
		}},
		{"an applied call rejected", false, []callRecord{
			putRecord(1, 0, acknowledged, 0, 1),
			putRecord(1, 0, rejected, 2, 3),
		}},
		{"an applied call acknowledged again", true, []callRecord{
			putRecord(1, 0, acknowledged, 0, 1),
			putRecord(1, 0, acknowledged, 2, 3),
		}},
		{"a call with unknown result that takes effect late", true, []callRecord{
			putRecord(1, 0, unknown, 0, 1),
			getRecord(0, 0, 2, 3),
			getRecord(1, 1, 4, 5),
		}},
		{"a call with unknown result without effect", true, []callRecord{
			putRecord(1, 0, unknown, 0, 1),
			getRecord(0, 0, 2, 3),
		}},
		{"a call with unknown result that is undone", false, []callRecord{
			putRecord(1, 0, unknown, 0, 1),
			getRecord(1, 1, 2, 3),
			getRecord(0, 0, 4, 5),
		}},
		{"a drain", true, []callRecord{drainRecord(true, acknowledged, 0, 1), zoneReadRecord(true, 2, 3)}},
		{"a drain that takes effect again", false, []callRecord{
			drainRecord(true, acknowledged, 0, 1), drainRecord(false, acknowledged, 2, 3), zoneReadRecord(true, 4, 5)}},
		{"a drain with unknown result that takes effect late", true, []callRecord{
			drainRecord(true, unknown, 0, 1), drainRecord(false, acknowledged, 2, 3), zoneReadRecord(true, 4, 5)}},
	}
	for _, testCase := range histories {
		t.Run(testCase.name, func(t *testing.T) {
			assert.Equal(t, checkHistory(testCase.history) == nil, testCase.legal)
		})
	}
}

// Guards against a checker that rejects a drain whose operator retries it while another operator undoes the effect of an
// earlier attempt. Seed 241 of an earlier version of the schedules led to this history.
func TestCheckHistory_DrainAttemptsCountUntilAcknowledged(t *testing.T) {
	retried := drainRecord(true, acknowledged, 8, 9)
	retried.earlierAttempts = []time.Duration{1}
	undone := drainRecord(false, acknowledged, 5, 6)
	assert.NilError(t, checkHistory([]callRecord{
		retried,
		undone,
		zoneReadRecord(true, 2, 3),
		zoneReadRecord(true, 10, 11),
	}))
	late := drainRecord(false, acknowledged, 10, 11)
	assert.Assert(t, checkHistory([]callRecord{
		retried,
		late,
		zoneReadRecord(true, 12, 13),
	}) != nil, "an attempt took effect after the acknowledgement")
}

func TestReduce_KeepsOnlyWhatFails(t *testing.T) {
	items := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	left := reduce(items, func(items []int) bool { return slices.Contains(items, 3) && slices.Contains(items, 8) })
	assert.DeepEqual(t, left, []int{3, 8})
}
