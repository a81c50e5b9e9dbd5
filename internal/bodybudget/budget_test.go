package bodybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBudget_RejectsTheSlowestLargeSender(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := New(1000)
	interrupted := []string{}
	open := func(name string, age time.Duration, bytes int64) *reading {
		reader := budget.open(now.Add(-age), func() { interrupted = append(interrupted, name) })
		assert.NilError(t, reader.reserve(bytes, now))
		return reader
	}
	small, slow, quick := open("small", time.Hour, 10), open("slow", time.Minute, 400), open("quick", time.Second, 400)
	assert.NilError(t, quick.reserve(400, now))
	assert.DeepEqual(t, interrupted, []string{"slow"})
	_, err := slow.close(true)
	assert.Assert(t, err != nil)
	release, err := quick.close(true)
	assert.NilError(t, err)
	assert.DeepEqual(t, budget.Usage(), Usage{Reading: 10, Held: 800})
	late := open("late", time.Second, 100)
	assert.Assert(t, late.reserve(200, now) != nil, "a complete body was rejected")
	release()
	release()
	assert.DeepEqual(t, budget.Usage(), Usage{Reading: 10})
	_, err = small.close(false)
	assert.NilError(t, err)
	assert.DeepEqual(t, budget.Usage(), Usage{})
}
