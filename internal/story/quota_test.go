package story

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/quota"
	"ferryspar/internal/replica"
)

var quotaBounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// limited is a configuration whose tenant "one" has the limit.
func limited(revision int, limit quota.Limit) string {
	tenants := fmt.Sprintf(`[{"name":"one","apiKeys":["%s"],"ratePerS":%g,"burst":%g},{"name":"other","apiKeys":["%s"]}]`,
		oldKey, limit.RatePerS, limit.Burst, otherKey)
	return documentOf(revision, tenants)
}

// quotaFleet is a fleet with the limit in force, and a tenant that may send more than that.
type quotaFleet struct {
	*fleet
	replicas []*standInReplica
	limit    quota.Limit
	began    time.Time
	attempts atomic.Int64
	statuses [600]atomic.Int64
}

func startQuota(t *testing.T, edges int, limit quota.Limit) *quotaFleet {
	q := &quotaFleet{limit: limit}
	for number := range 4 {
		q.replicas = append(q.replicas, newStandInReplica(fmt.Sprintf("i-%d", number), fmt.Sprintf("10.1.2.%d", number+1), "north", "swift"))
	}
	q.fleet = startFleet(t, 0, q.replicas...)
	q.adjust = func(settings *nodesettings.Settings) {
		bounds := &settings.TimingBounds
		bounds.QuotaWindowS, bounds.QuotaOverage, bounds.QuotaSlack = quotaBounds.Window.Seconds(), quotaBounds.Overage, quotaBounds.Slack
	}
	for number := 1; number <= edges; number++ {
		q.startEdge(edgeHost(number))
	}
	time.Sleep(3 * time.Second)
	assert.Equal(t, q.put(1, 0, 1, limited(1, limit)).status, http.StatusOK)
	time.Sleep(14 * time.Second)
	q.began = time.Now()
	return q
}

// send has the tenant send a number of requests a second for a while, to the data planes that the function names.
func (q *quotaFleet) send(perS int, passed time.Duration, edge func(after time.Duration) int) {
	began := time.Now()
	for time.Since(began) < passed {
		number := edge(time.Since(began))
		go func() {
			attempt := fmt.Sprintf("a-%d", q.attempts.Add(1))
			answer := q.call(http.MethodPost, edgeHost(number)+":8161", "/quick/", "prompt", map[string]string{
				"Host": "shop.example", replica.HeaderAttempt: attempt, replica.HeaderModel: "swift", replica.HeaderTokens: "10,2",
				replica.HeaderKey: oldKey, replica.HeaderRemaining: "3000",
			})
			q.statuses[answer.status].Add(1)
		}()
		time.Sleep(time.Second / time.Duration(perS))
	}
}

// times are when requests of the tenant came to replicas, after the start, in order.
func (q *quotaFleet) times() []time.Duration {
	var times []time.Duration
	for _, one := range q.replicas {
		for _, run := range one.ran() {
			if run.header.Get(replica.HeaderTenant) == "one" {
				times = append(times, run.at.Sub(q.began))
			}
		}
	}
	slices.Sort(times)
	return times
}

// between counts the requests that came to replicas in a span.
func (q *quotaFleet) between(from, to time.Duration) int {
	count := 0
	for _, at := range q.times() {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// worst is the largest number of requests that came to replicas within one window that begins at the time given or later.
func (q *quotaFleet) worst(since time.Duration) int {
	times, most := q.times(), 0
	for first, began := range times {
		if began < since {
			continue
		}
		last := first
		for last < len(times) && times[last]-began <= quotaBounds.Window {
			last++
		}
		most = max(most, last-first)
	}
	return most
}

func (q *quotaFleet) since() time.Duration { return time.Since(q.began) }

func (q *quotaFleet) seen() string {
	var seen []string
	for status := range q.statuses {
		if amount := q.statuses[status].Load(); amount > 0 {
			seen = append(seen, fmt.Sprintf("%d: %d", status, amount))
		}
	}
	return strings.Join(seen, ", ")
}

func (q *quotaFleet) cutEdges(left, right []int, cut bool) {
	for _, one := range left {
		for _, other := range right {
			q.network.cut(edgeHost(one), edgeHost(other), cut)
		}
	}
}

const storySpan = 20 * time.Second

func TestGivenATenantBeyondItsLimitThenAllDataPlanesTogetherKeepToItAndItGetsIt(t *testing.T) {
	inTurn := func(stop func(q *quotaFleet, host string)) func(q *quotaFleet) {
		return func(q *quotaFleet) {
			for number := 1; number <= 4; number++ {
				stop(q, edgeHost(number))
				time.Sleep(500 * time.Millisecond)
				q.startEdge(edgeHost(number))
				time.Sleep(2 * time.Second)
			}
		}
	}
	stories := map[string]struct {
		edge    func(after time.Duration) int
		trouble func(q *quotaFleet)
		least   float64
	}{
		"at one data plane":   {func(time.Duration) int { return 1 }, nil, 0.97},
		"at all":              {func(after time.Duration) int { return 1 + int(after/time.Millisecond/25)%4 }, nil, 0.97},
		"moving between them": {func(after time.Duration) int { return 1 + int(after/time.Second)%4 }, nil, 0.97},
		"halves cut from each other": {
			func(after time.Duration) int { return 1 + int(after/time.Millisecond/25)%4 },
			func(q *quotaFleet) { q.cutEdges([]int{1, 2}, []int{3, 4}, true) },
			0.8,
		},
		"all control daemons away for three seconds": {
			func(time.Duration) int { return 1 },
			func(q *quotaFleet) {
				time.Sleep(2 * time.Second)
				for number := 1; number <= q.cores; number++ {
					q.kill(coreHost(number))
				}
				time.Sleep(3 * time.Second)
				for number := 1; number <= q.cores; number++ {
					q.startCore(coreHost(number), false, 1, 2, 3)
				}
			},
			0.9,
		},
		"data planes die while owing": {
			func(after time.Duration) int { return 1 + int(after/time.Millisecond/25)%2 },
			func(q *quotaFleet) {
				time.Sleep(2 * time.Second)
				q.kill(edgeHost(3))
				q.kill(edgeHost(4))
				time.Sleep(4 * time.Second)
				q.startEdge(edgeHost(3))
			},
			0.6,
		},
		"killed and restarted in turn": {
			func(after time.Duration) int { return 1 + int(after/time.Millisecond/25)%4 },
			inTurn(func(q *quotaFleet, host string) { q.kill(host) }),
			0.6,
		},
		"stopped and restarted in turn": {
			func(after time.Duration) int { return 1 + int(after/time.Millisecond/25)%4 },
			inTurn(func(q *quotaFleet, host string) { q.terminate(host) }),
			0.7,
		},
	}
	for name, story := range stories {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := startQuota(t, 4, quota.Limit{RatePerS: 10, Burst: 10})
				if story.trouble != nil {
					go story.trouble(q)
				}
				q.send(40, storySpan, story.edge)
				time.Sleep(4 * time.Second)
				got := float64(q.between(time.Second, storySpan)) / (q.limit.RatePerS * (storySpan - time.Second).Seconds())
				t.Logf("%.3f of the limit, %d in the worst window of %.0f allowed, statuses %s", got, q.worst(0), quotaBounds.Allowed(q.limit), q.seen())
				assert.Assert(t, float64(q.worst(0)) <= quotaBounds.Allowed(q.limit))
				assert.Assert(t, got >= story.least, "got %.3f", got)
			})
		})
	}
}

func TestGivenALimitLoweredUnderLoadThenItBindsAWindowAfterItIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := startQuota(t, 3, quota.Limit{RatePerS: 20, Burst: 10})
		held := 0.0
		for number := 1; number <= 3; number++ {
			var status struct{ Holds []quota.Holding }
			shown := q.call(http.MethodGet, edgeHost(number)+":8167", "/ferryspar/quota", "", nil)
			assert.NilError(t, json.Unmarshal([]byte(shown.body), &status))
			for _, one := range status.Holds {
				held += one.Share
			}
		}
		assert.Assert(t, held > 0.99 && held < 1.01, "all of the limit is at some home: %.3f", held)
		low := quota.Limit{RatePerS: 4, Burst: 2}
		var acknowledged time.Duration
		go func() {
			time.Sleep(5 * time.Second)
			assert.Check(t, q.put(2, 1, 2, limited(2, low)).status == http.StatusOK)
			acknowledged = q.since()
		}()
		q.send(40, storySpan, func(after time.Duration) int { return 1 + int(after/time.Millisecond/25)%3 })
		time.Sleep(4 * time.Second)
		t.Logf("%d in the worst window before, %d after", q.worst(0), q.worst(acknowledged+applyBound))
		assert.Assert(t, float64(q.worst(0)) <= quotaBounds.Allowed(q.limit))
		assert.Assert(t, float64(q.worst(acknowledged+applyBound)) <= quotaBounds.Allowed(low))
	})
}

func TestGivenAllMachinesLosePowerThenTenantsWithLimitsAreServedSoonAfterTheyAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := startQuota(t, 4, quota.Limit{RatePerS: 20, Burst: 10})
		for number := 1; number <= 4; number++ {
			q.kill(edgeHost(number))
		}
		for number := 1; number <= q.cores; number++ {
			q.kill(coreHost(number))
		}
		time.Sleep(time.Second)
		for number := 1; number <= q.cores; number++ {
			q.startCore(coreHost(number), false, 1, 2, 3)
		}
		for number := 1; number <= 4; number++ {
			q.startEdge(edgeHost(number))
		}
		back := q.since()
		q.send(20, 10*time.Second, func(time.Duration) int { return 1 })
		time.Sleep(4 * time.Second)
		t.Logf("%d in the 4 s that begin 4 s after, statuses %s", q.between(back+4*time.Second, back+8*time.Second), q.seen())
		assert.Assert(t, q.between(back+4*time.Second, back+8*time.Second) >= 72, "nine tenths of what came")
		assert.Assert(t, float64(q.worst(0)) <= quotaBounds.Allowed(q.limit))
	})
}

func TestGivenADataPlaneOutOfTouchThenItsTenantsWithoutLimitsAreServedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := startQuota(t, 3, quota.Limit{RatePerS: 20, Burst: 10})
		assert.Equal(t, q.askWith(3, otherKey, "/quick/", "swift").status, http.StatusOK, "it follows the model from now on")
		q.cutEdge(3, true)
		q.cutEdges([]int{1, 2}, []int{3}, true)
		time.Sleep(12 * time.Second)
		refused := q.askWith(3, oldKey, "/quick/", "swift")
		assert.Equal(t, refused.status, http.StatusServiceUnavailable, "what it held is the others' by now")
		assert.Equal(t, q.askWith(3, otherKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, q.askWith(1, oldKey, "/quick/", "swift").status, http.StatusOK)
		q.cutEdge(3, false)
		q.cutEdges([]int{1, 2}, []int{3}, false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, q.askWith(3, oldKey, "/quick/", "swift").status, http.StatusOK)
	})
}
