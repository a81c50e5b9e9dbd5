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

func TestCompletionTimes_MeanFollowsSizeAndNewResponses(t *testing.T) {
	var times completionTimes
	request := &routing.Request{Route: "a", OutputTokens: 100}
	assert.Equal(t, times.mean(request), time.Duration(0), "nothing is known")
	for range 100 {
		times.observe(request, completed(200*time.Millisecond, time.Second))
	}
	assert.Equal(t, times.mean(request).Round(time.Millisecond), 1200*time.Millisecond)
	longer := &routing.Request{Route: "a", OutputTokens: 300}
	assert.Equal(t, times.mean(longer).Round(time.Millisecond), 3200*time.Millisecond)
	for range 100 {
		times.observe(request, completed(200*time.Millisecond, 2*time.Second))
	}
	assert.Equal(t, times.mean(request).Round(10*time.Millisecond), 2200*time.Millisecond)
	assert.Equal(t, times.mean(&routing.Request{Route: "b"}), time.Duration(0))
}

// Guards against a learned time that lets a request be sent when only its own deadline can: the estimates range from a hundredth to
// a hundred times what the response takes.
func TestShutdown_LateSendsRestOnTheDeadlineAlone(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	ending := &shutdown{startedAt: startedAt, closesAt: startedAt.Add(7700 * time.Millisecond)}
	for after := 2800 * time.Millisecond; after < 9*time.Second; after += 100 * time.Millisecond {
		for _, mean := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 2 * time.Second, 200 * time.Second} {
			now := startedAt.Add(after)
			assert.Assert(t, !ending.allows(now, ending.closesAt.Add(time.Millisecond), mean), "after %s, mean %s", after, mean)
			assert.Assert(t, ending.allows(now, ending.closesAt, mean), "after %s, mean %s", after, mean)
		}
	}
}

func TestShutdown_EarlySendsRestOnTheMean(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	ending := &shutdown{startedAt: startedAt, closesAt: startedAt.Add(7700 * time.Millisecond)}
	deadline := startedAt.Add(15 * time.Second)
	for _, test := range []struct {
		after, mean time.Duration
		want        bool
	}{
		{0, 0, true},
		{2700 * time.Millisecond, 0, true},
		{2700 * time.Millisecond, 5 * time.Second, true},
		{2700 * time.Millisecond, 5001 * time.Millisecond, false},
		{0, 7700 * time.Millisecond, true},
		{time.Second, 7700 * time.Millisecond, false},
	} {
		assert.Equal(t, ending.allows(startedAt.Add(test.after), deadline, test.mean), test.want, "after %s", test.after)
	}
}
