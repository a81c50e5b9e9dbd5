package demand

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReceivedBatches_EachBatchIsNewOnce(t *testing.T) {
	received := newReceivedBatches("")
	for _, number := range []uint64{2, 1, 5, 3} {
		assert.Assert(t, received.markReceived(number))
		assert.Assert(t, !received.markReceived(number))
	}
	assert.Assert(t, received.markReceived(batchWindow+4))
	assert.Assert(t, !received.markReceived(4), "below the window")
	assert.Assert(t, len(received.numbers) <= batchWindow)
}
