package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/quota"
)

var quotaBounds = quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// limitedDocument returns a configuration whose tenant "one" has the limit.
func limitedDocument(revision int, limit quota.Limit) string {
	tenants := fmt.Sprintf(`[{"name":"one","apiKeys":["%s"],"ratePerS":%g,"burst":%g},{"name":"other","apiKeys":["%s"]}]`,
		oldKey, limit.RatePerS, limit.Burst, otherKey)
	return documentWithTenants(revision, tenants)
}

const trafficDuration = 20 * time.Second

func TestQuota_AllDataPlanesTogetherEnforceLimitExactly(t *testing.T) {
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
	cases := map[string]struct {
		edge     func(after time.Duration) int
		inject   func(q *quotaFleet)
		minShare float64
	}{
		"at one data plane":   {func(time.Duration) int { return 1 }, nil, 0.97},
		"at all":              {func(after time.Duration) int { return 1 + int(after/time.Millisecond/25)%4 }, nil, 0.97},
		"moving between them": {func(after time.Duration) int { return 1 + int(after/time.Second)%4 }, nil, 0.97},
		"halves partitioned from each other": {
			func(after time.Duration) int { return 1 + int(after/time.Millisecond/25)%4 },
			func(q *quotaFleet) { q.partitionEdges([]int{1, 2}, []int{3, 4}, true) },
			0.8,
		},
		"all control-plane nodes down for three seconds": {
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
		"data planes without traffic are killed": {
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
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := startQuotaFleet(t, 4, quota.Limit{RatePerS: 10, Burst: 10})
				if test.inject != nil {
					go test.inject(q)
				}
				q.send(40, trafficDuration, test.edge)
				time.Sleep(4 * time.Second)
				got := float64(q.countBetween(time.Second, trafficDuration)) /
					(q.limit.RatePerS * (trafficDuration - time.Second).Seconds())
				t.Logf(
					"%.3f of the limit, %d in the worst window of %.0f allowed, statuses %s",
					got,
					q.maxExecutedPerWindow(0),
					quotaBounds.Allowed(q.limit),
					q.statusSummary(),
				)
				assert.Assert(t, float64(q.maxExecutedPerWindow(0)) <= quotaBounds.Allowed(q.limit))
				assert.Assert(t, got >= test.minShare, "got %.3f", got)
			})
		})
	}
}

func TestQuota_LoweredLimitBindsAfterOneWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := startQuotaFleet(t, 3, quota.Limit{RatePerS: 20, Burst: 10})
		total := 0.0
		for number := 1; number <= 3; number++ {
			var status struct{ Holds []quota.TenantBalance }
			shown := q.call(http.MethodGet, edgeHost(number)+":8167", "/ferryspar/quota", "", nil)
			assert.NilError(t, json.Unmarshal([]byte(shown.body), &status))
			for _, holding := range status.Holds {
				total += holding.Share
			}
		}
		assert.Assert(t, total > 0.99 && total < 1.01, "all of the limit is at some home: %.3f", total)
		low := quota.Limit{RatePerS: 4, Burst: 2}
		var acknowledged time.Duration
		go func() {
			time.Sleep(5 * time.Second)
			assert.Check(t, q.putConfiguration(2, 1, limitedDocument(2, low)).status == http.StatusOK)
			acknowledged = q.elapsed()
		}()
		q.send(40, trafficDuration, func(after time.Duration) int { return 1 + int(after/time.Millisecond/25)%3 })
		time.Sleep(4 * time.Second)
		t.Logf("%d in the worst window before, %d after", q.maxExecutedPerWindow(0), q.maxExecutedPerWindow(acknowledged+applyTimeout))
		assert.Assert(t, float64(q.maxExecutedPerWindow(0)) <= quotaBounds.Allowed(q.limit))
		assert.Assert(t, float64(q.maxExecutedPerWindow(acknowledged+applyTimeout)) <= quotaBounds.Allowed(low))
	})
}

func TestQuota_ServedSoonAfterPowerLossOfAllMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := startQuotaFleet(t, 4, quota.Limit{RatePerS: 20, Burst: 10})
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
		back := q.elapsed()
		q.send(20, 10*time.Second, func(time.Duration) int { return 1 })
		time.Sleep(4 * time.Second)
		t.Logf("%d in the 4 s that begin 4 s after, statuses %s", q.countBetween(back+4*time.Second, back+8*time.Second), q.statusSummary())
		assert.Assert(t, q.countBetween(back+4*time.Second, back+8*time.Second) >= 72, "nine tenths of the requests")
		assert.Assert(t, q.statuses[http.StatusServiceUnavailable].Load() <= 30, "rejected for at most 1.5 s")
		assert.Assert(t, float64(q.maxExecutedPerWindow(0)) <= quotaBounds.Allowed(q.limit))
	})
}

func TestQuota_UnlimitedTenantsServedDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := startQuotaFleet(t, 3, quota.Limit{RatePerS: 20, Burst: 10})
		assert.Equal(t, q.requestWithKey(3, otherKey, "/quick/", "swift").status, http.StatusOK, "it subscribes to the model")
		q.partitionEdge(3, true)
		q.partitionEdges([]int{1, 2}, []int{3}, true)
		time.Sleep(12 * time.Second)
		rejected := q.requestWithKey(3, oldKey, "/quick/", "swift")
		assert.Equal(t, rejected.status, http.StatusServiceUnavailable, "its share has moved to the other data planes")
		assert.Equal(t, q.requestWithKey(3, otherKey, "/quick/", "swift").status, http.StatusOK)
		assert.Equal(t, q.requestWithKey(1, oldKey, "/quick/", "swift").status, http.StatusOK)
		q.partitionEdge(3, false)
		q.partitionEdges([]int{1, 2}, []int{3}, false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, q.requestWithKey(3, oldKey, "/quick/", "swift").status, http.StatusOK)
	})
}
