package coordination

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCounter_NumbersIncreaseAcrossOwners(t *testing.T) {
	last := uint64(0)
	counter, err := openCounter(nil)
	assert.NilError(t, err)
	for range 5 {
		for range 100 {
			stored := counter.record.Reserved
			result, changed := counter.Apply(Call{Operation: OperationNext}, testNow)
			assert.Assert(t, result.Number > last)
			assert.Equal(t, changed, result.Number > stored, "a number that is not reserved on disk must not be issued")
			last = result.Number
		}
		counter, err = openCounter(counter.Value())
		assert.NilError(t, err)
	}
}

func TestOpen_RejectsUndecodableValueAndUnknownKind(t *testing.T) {
	for _, kind := range []Kind{KindLock, KindCounter, KindGroup} {
		_, err := Open(kind, []byte(`"what is this"`), testNow, Config{}, VolatileState{})
		assert.Assert(t, err != nil, "%s would restart from an empty value", kind)
	}
	_, err := Open("later", nil, testNow, Config{}, VolatileState{})
	assert.ErrorIs(t, err, ErrUnknownKind)
}
