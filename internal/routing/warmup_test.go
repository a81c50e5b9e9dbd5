package routing

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
	"gotest.tools/v3/assert"

	"ferryspar/internal/apportion"
)

var warmUpLimits = []warmUpLimit{{5.5, 5.5*1.5 + 5}, {2, 2*1.5 + 5}, {12, 12*1.5 + 5}, {0.5, 0.5*1.5 + 5}, {40, 40*1.5 + 5}}

func TestWarmUpLimit_TooManyDesignatesAreUnlikely(t *testing.T) {
	for _, limit := range warmUpLimits {
		for _, dataPlanes := range []int{8, 81, 400, 1000} {
			share := limit.share(dataPlanes)
			if float64(dataPlanes*share.maxSends) <= limit.maxPerSecond {
				continue
			}
			over := distuv.Binomial{N: float64(dataPlanes), P: share.probability}.Survival(limit.maxPerSecond)
			assert.Assert(t, over < apportion.TailProbability, "%v, %d nodes: %g", limit, dataPlanes, over)
			assert.Assert(t, share.probability*float64(dataPlanes) >= min(1, limit.perSecond/2), "%v, %d nodes: too few", limit, dataPlanes)
		}
	}
}

func TestWarmUpLimit_BoundsSendsPerSecond(t *testing.T) {
	for _, limit := range warmUpLimits {
		for _, dataPlanes := range []int{1, 3, 8, 81, 400, 1000} {
			t.Run(fmt.Sprintf("perSecond=%v,dataPlanes=%d", limit.perSecond, dataPlanes), func(t *testing.T) {
				used, share := 0, limit.share(dataPlanes)
				for replica := range 300 {
					sent := sendsOfAll(limit, dataPlanes, "i-"+strconv.Itoa(replica))
					assertWithinLimit(t, limit, sent)
					used += min(len(sent), 1)
				}
				expected := 300 * (1 - math.Exp(-share.probability*float64(dataPlanes)))
				assert.Assert(t, float64(used) > 0.85*expected, "%d of 300 replicas received requests, expected %f", used, expected)
			})
		}
	}
}

// sendsOfAll returns the times of all sends to a replica that is warming up, if every data plane sends as soon as allowed.
func sendsOfAll(limit warmUpLimit, dataPlanes int, replica string) []time.Time {
	share, states := limit.share(dataPlanes), make([]replicaState, 0, dataPlanes)
	for dataPlane := range dataPlanes {
		state := replicaState{hashFraction: apportion.HashFraction("edge-"+strconv.Itoa(dataPlane), replica)}
		if state.hashFraction < share.probability {
			states = append(states, state)
		}
	}
	var sent []time.Time
	for now := noon; now.Sub(noon) < 12*time.Second; now = now.Add(100 * time.Millisecond) {
		for position := range states {
			for states[position].maySendDuringWarmUp(now, share) {
				states[position].recordSend(now, limit.sendsToRemember())
				sent = append(sent, now)
			}
		}
	}
	return sent
}

// assertWithinLimit checks that no second holds more sends than the limit allows.
func assertWithinLimit(t *testing.T, limit warmUpLimit, sent []time.Time) {
	first := 0
	for position, now := range sent {
		for now.Sub(sent[first]) >= time.Second {
			first++
		}
		assert.Assert(t, float64(position-first+1) <= limit.maxPerSecond, "%d sends in one second", position-first+1)
	}
}

func TestReplicaState_RecordsSendsOverLongWindow(t *testing.T) {
	limit := warmUpLimit{0.1, 50}
	state, share := replicaState{}, limit.share(4)
	assert.Equal(t, share.window, 40*time.Second)
	state.recordSend(noon, limit.sendsToRemember())
	assert.Assert(t, !state.maySendDuringWarmUp(noon.Add(39*time.Second), share))
	assert.Assert(t, state.maySendDuringWarmUp(noon.Add(40*time.Second), share))
}

func TestMatcher_OnlyDesignatedDataPlanesUseWarmingUpReplica(t *testing.T) {
	served, dataPlanes := 0, 400
	for dataPlane := range dataPlanes {
		fixture := newTestFleet(1, 1, dataPlanes, func(int) int { return 0 })
		parameters := &fixture.matcher.parameters
		fixture.matcher.replicas.nodeName = strconv.Itoa(dataPlane)
		parameters.WarmUpOverage = 1.5
		parameters.WarmUpSlack = 5
		fixture.snapshot.Load().Replicas[0].WarmUpUntil = fixture.now.Add(3 * time.Second)
		first, second := fixture.request(), fixture.request()
		fixture.matcher.Enqueue(first)
		fixture.matcher.Enqueue(second)
		fixture.matcher.Wake()
		assert.Equal(t, len(second.Decided), 0)
		if len(first.Decided) > 0 {
			served++
			fixture.matcher.HandleReport(Report{Ticket: (<-first.Decided).Ticket, Outcome: OutcomeServed, At: fixture.now})
			first = second
		}
		assert.Equal(t, len(first.Decided), 0)
		fixture.now = fixture.now.Add(3 * time.Second)
		fixture.matcher.Wake()
		assert.Assert(t, (<-first.Decided).Replica != nil)
		if first != second {
			assert.Assert(t, (<-second.Decided).Replica != nil)
		}
	}
	assert.Assert(t, served >= 1 && served <= 13, "%d data planes used the replica at the same time", served)
}
