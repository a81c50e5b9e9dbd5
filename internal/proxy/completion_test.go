package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/routing"
)

// completed returns the times of a response with a time to the first byte and a duration of the stream.
func completed(firstByte, stream time.Duration) timing {
	sentAt := time.Unix(1000, 0)
	return timing{sentAt: sentAt, firstByteAt: sentAt.Add(firstByte), lastByteAt: sentAt.Add(firstByte + stream)}
}

func TestCompletionTimes_BoundFollowsSizeAndSpread(t *testing.T) {
	var times completionTimes
	request := &routing.Request{Route: "a", OutputTokens: 100}
	_, known := times.estimate(request)
	assert.Assert(t, !known)
	for range 100 {
		times.observe(request, completed(200*time.Millisecond, time.Second))
	}
	steady, known := times.estimate(request)
	assert.Assert(t, known)
	assert.Equal(t, steady.mean.Round(time.Millisecond), 1200*time.Millisecond)
	assert.Assert(t, steady.upperBound >= steady.mean && steady.upperBound < 1300*time.Millisecond, "%s", steady.upperBound)
	longer, _ := times.estimate(&routing.Request{Route: "a", OutputTokens: 300})
	assert.Equal(t, longer.mean.Round(time.Millisecond), 3200*time.Millisecond)
	for number := range 100 {
		times.observe(request, completed(200*time.Millisecond, time.Second+time.Duration(number%2)*time.Second))
	}
	spread, _ := times.estimate(request)
	assert.Assert(t, spread.mean > 1500*time.Millisecond && spread.upperBound > 2200*time.Millisecond, "%+v", spread)
	_, known = times.estimate(&routing.Request{Route: "b"})
	assert.Assert(t, !known)
}

func TestShutdown_AllowsWhatIsLikelyToBeCompleteInTime(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	ending := &shutdown{startedAt: startedAt, closesAt: startedAt.Add(8 * time.Second)}
	usual := completionEstimate{mean: 2 * time.Second, upperBound: 4 * time.Second}
	long := completionEstimate{mean: 6 * time.Second, upperBound: 7 * time.Second}
	for _, test := range []struct {
		after    time.Duration
		estimate completionEstimate
		known    bool
		want     bool
	}{
		{0, completionEstimate{}, false, true},
		{3 * time.Second, completionEstimate{}, false, true},
		{3100 * time.Millisecond, completionEstimate{}, false, false},
		{2 * time.Second, long, true, true},
		{2100 * time.Millisecond, long, true, false},
		{4 * time.Second, usual, true, true},
		{4100 * time.Millisecond, usual, true, false},
		{9 * time.Second, usual, true, false},
	} {
		assert.Equal(t, ending.allows(startedAt.Add(test.after), test.estimate, test.known), test.want, "after %s", test.after)
	}
}
