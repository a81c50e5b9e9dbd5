package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestModelInterest_DropsLeastRecentlyRequested(t *testing.T) {
	now := time.Unix(1000, 0)
	interest := newModelInterest(func() time.Time { return now })
	for index := range maxInterest + 3 {
		now = now.Add(time.Millisecond)
		interest.recordRequest("s", string(rune('a'+index%26))+time.Duration(index).String())
	}
	add, drop := interest.takeChanges()
	assert.Equal(t, len(add), maxInterest+3)
	assert.Equal(t, len(drop), 3)
	assert.Equal(t, drop[0], add[0])
	now = now.Add(interestTimeout + time.Second)
	interest.recordRequest("s", "late")
	add, drop = interest.takeChanges()
	assert.Equal(t, len(add), 1)
	assert.Equal(t, len(drop), maxInterest)
	assert.DeepEqual(t, interest.all(), add)
}
