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
		{"a read that misses it", false, []callRecord{putRecord(1, 0, acknowledged, 0, 1), getRecord(0, 0, 2, 3)}},
		{"a read during it", true, []callRecord{
			putRecord(1, 0, acknowledged, 0, 5),
			getRecord(0, 0, 1, 2),
			getRecord(1, 1, 3, 4),
		}},
		{"reads that go back", false, []callRecord{
			putRecord(1, 0, acknowledged, 0, 9),
			getRecord(1, 1, 1, 2),
			getRecord(0, 0, 3, 4),
		}},
		{"two on one number", false, []callRecord{
			putRecord(1, 0, acknowledged, 0, 1),
			putRecord(2, 0, acknowledged, 2, 3),
		}},
		{"a refusal after another", true, []callRecord{
			putRecord(1, 0, acknowledged, 0, 1),
			putRecord(2, 0, rejected, 2, 3),
		}},
		{"a refusal without a cause", false, []callRecord{putRecord(1, 0, rejected, 0, 1)}},
		{"a refusal before its cause", false, []callRecord{
			putRecord(1, 0, acknowledged, 2, 3),
			putRecord(2, 0, rejected, 0, 1),
		}},
		{"a taken call refused", false, []callRecord{
			putRecord(1, 0, acknowledged, 0, 1),
			putRecord(1, 0, rejected, 2, 3),
		}},
		{"a taken call acknowledged", true, []callRecord{
			putRecord(1, 0, acknowledged, 0, 1),
			putRecord(1, 0, acknowledged, 2, 3),
		}},
		{"an unclear call in force late", true, []callRecord{
			putRecord(1, 0, unknown, 0, 1),
			getRecord(0, 0, 2, 3),
			getRecord(1, 1, 4, 5),
		}},
		{"an unclear call without effect", true, []callRecord{putRecord(1, 0, unknown, 0, 1), getRecord(0, 0, 2, 3)}},
		{"an unclear call undone", false, []callRecord{
			putRecord(1, 0, unknown, 0, 1),
			getRecord(1, 1, 2, 3),
			getRecord(0, 0, 4, 5),
		}},
		{"an evacuation", true, []callRecord{drainRecord(true, acknowledged, 0, 1), zoneReadRecord(true, 2, 3)}},
		{"an evacuation that comes back", false, []callRecord{
			drainRecord(true, acknowledged, 0, 1), drainRecord(false, acknowledged, 2, 3), zoneReadRecord(true, 4, 5)}},
		{"an unclear one that comes late", true, []callRecord{
			drainRecord(true, unknown, 0, 1), drainRecord(false, acknowledged, 2, 3), zoneReadRecord(true, 4, 5)}},
	}
	for _, testCase := range histories {
		t.Run(testCase.name, func(t *testing.T) {
			assert.Equal(t, checkHistory(testCase.history) == nil, testCase.legal)
		})
	}
}

// The operator of the first call sends it again while another operator undoes what an earlier
// attempt did: seed 241 of an earlier draw plays this.
func TestCheckHistory_DrainAttemptsCountUntilAcknowledged(t *testing.T) {
	again := drainRecord(true, acknowledged, 8, 9)
	again.earlierAttempts = []time.Duration{1}
	undone := drainRecord(false, acknowledged, 5, 6)
	assert.NilError(t, checkHistory([]callRecord{
		again,
		undone,
		zoneReadRecord(true, 2, 3),
		zoneReadRecord(true, 10, 11),
	}))
	late := drainRecord(false, acknowledged, 10, 11)
	assert.Assert(t, checkHistory([]callRecord{
		again,
		late,
		zoneReadRecord(true, 12, 13),
	}) != nil, "an attempt took force after the answer")
}

func TestReduce_KeepsOnlyWhatFails(t *testing.T) {
	items := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	left := reduce(items, func(items []int) bool { return slices.Contains(items, 3) && slices.Contains(items, 8) })
	assert.DeepEqual(t, left, []int{3, 8})
}
