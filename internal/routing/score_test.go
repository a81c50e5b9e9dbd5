package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/peer"
)

// However high the cost of a request, it is sent to a replica that can serve it in its time.
func TestMatcher_CostChoosesReplicaAndRefusesNobody(t *testing.T) {
	for _, promptTokens := range []float64{100, 30000, 150000} {
		fixture := newTestFleet(3, 1, 1, func(int) int { return 1 })
		fixture.snapshot.Load().PeerLoads = map[string]peer.ReplicaLoad{"i-0": {Running: 1}, "i-1": {Running: 1}, "i-2": {Running: 1}}
		request := fixture.patientRequest(30 * time.Second)
		request.PromptTokens = promptTokens
		request.LatencyTarget = time.Millisecond
		fixture.matcher.Enqueue(request)
		assert.Equal(t, len(request.Decided), 1)
		assert.Assert(t, (<-request.Decided).Error == nil)
	}
}

func TestMatcher_SendsNothingThatCannotEndInTime(t *testing.T) {
	for remaining, sent := range map[time.Duration]bool{4 * time.Second: true, 2 * time.Second: false} {
		fixture := newTestFleet(3, 1, 1, func(int) int { return 1 })
		fixture.answerIn(3 * time.Second)
		request := fixture.patientRequest(remaining)
		fixture.matcher.Enqueue(request)
		decision, _, decided := fixture.decideBy(request, 0)
		assert.Assert(t, decided)
		assert.Equal(t, decision.Error == nil, sent, "%v", remaining)
	}
}
