package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

// However high the cost of a request, it is sent to a replica that can serve it in its time; what cannot end in time is not sent.
func TestMatcher_SendsWhatCanEndInTime(t *testing.T) {
	for _, test := range []struct {
		remaining, answer time.Duration
		promptTokens      float64
		sent              bool
	}{
		{30 * time.Second, 0, 100, true},
		{30 * time.Second, 0, 30000, true},
		{30 * time.Second, 0, 150000, true},
		{4 * time.Second, 3 * time.Second, 800, true},
		{2 * time.Second, 3 * time.Second, 800, false},
	} {
		fixture := newTestFleet(3, 1, 1, func(int) int { return 1 })
		fixture.snapshot.Load().PeerLoads = map[string]peer.ReplicaLoad{"i-0": {Running: 1}, "i-1": {Running: 1}, "i-2": {Running: 1}}
		request := fixture.patientRequest(test.remaining)
		request.PromptTokens, request.LatencyTarget = test.promptTokens, time.Millisecond
		fixture.matcher.setAnswerTime(request, test.answer)
		fixture.matcher.Enqueue(request)
		assert.Equal(t, len(request.Decided), 1)
		assert.Equal(t, (<-request.Decided).Error == nil, test.sent, "%+v", test)
	}
}
