package integration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/nodesettings"
	"ferryspar/internal/quota"
	"ferryspar/internal/replica"
)

// quotaFleet is a fleet with a rate limit in force and a tenant that may exceed it.
type quotaFleet struct {
	*fleet
	replicas []*standInReplica
	limit    quota.Limit
	began    time.Time
	attempts atomic.Int64
	statuses [600]atomic.Int64
}

func startQuotaFleet(t *testing.T, edges int, limit quota.Limit) *quotaFleet {
	q := &quotaFleet{limit: limit}
	for number := range 4 {
		q.replicas = append(
			q.replicas,
			newStandInReplica(fmt.Sprintf("i-%d", number), fmt.Sprintf("10.1.2.%d", number+1), "north", "swift"),
		)
	}
	q.fleet = startFleet(t, 0, q.replicas...)
	q.adjustSettings = func(settings *nodesettings.Settings) {
		bounds := &settings.TimingBounds
		bounds.QuotaWindowS, bounds.QuotaOverage, bounds.QuotaSlack = quotaBounds.Window.Seconds(), quotaBounds.Overage, quotaBounds.Slack
	}
	for number := 1; number <= edges; number++ {
		q.startEdge(edgeHost(number))
	}
	time.Sleep(3 * time.Second)
	assert.Equal(t, q.putConfiguration(1, 0, limitedDocument(1, limit)).status, http.StatusOK)
	time.Sleep(14 * time.Second)
	q.began = time.Now()
	return q
}

// send sends a number of requests a second for a duration, each to the data plane that the function returns.
func (q *quotaFleet) send(perS int, duration time.Duration, edge func(after time.Duration) int) {
	began := time.Now()
	for time.Since(began) < duration {
		number := edge(time.Since(began))
		go func() {
			attempt := fmt.Sprintf("a-%d", q.attempts.Add(1))
			answer := q.call(http.MethodPost, edgeHost(number)+":8161", "/quick/", "prompt", map[string]string{
				"Host": "shop.example", replica.HeaderAttemptID: attempt, replica.HeaderModel: "swift", replica.HeaderTokenCount: "10,2",
				replica.HeaderAPIKey: oldKey, replica.HeaderTimeRemaining: "3000",
			})
			q.statuses[answer.status].Add(1)
		}()
		time.Sleep(time.Second / time.Duration(perS))
	}
}

// executionTimes returns when replicas received requests of the tenant, since the start, in order.
func (q *quotaFleet) executionTimes() []time.Duration {
	var times []time.Duration
	for _, standIn := range q.replicas {
		for _, run := range standIn.executed() {
			if run.header.Get(replica.HeaderTenant) == "one" {
				times = append(times, run.at.Sub(q.began))
			}
		}
	}
	slices.Sort(times)
	return times
}

// between counts the requests that replicas received in a time span.
func (q *quotaFleet) countBetween(from, to time.Duration) int {
	count := 0
	for _, at := range q.executionTimes() {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// maxExecutedPerWindow returns the largest number of requests that replicas received within a window that starts at since or
// later.
func (q *quotaFleet) maxExecutedPerWindow(since time.Duration) int {
	times, most := q.executionTimes(), 0
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

func (q *quotaFleet) elapsed() time.Duration { return time.Since(q.began) }

func (q *quotaFleet) statusSummary() string {
	var seen []string
	for status := range q.statuses {
		if amount := q.statuses[status].Load(); amount > 0 {
			seen = append(seen, fmt.Sprintf("%d: %d", status, amount))
		}
	}
	return strings.Join(seen, ", ")
}

func (q *quotaFleet) partitionEdges(left, right []int, partitioned bool) {
	for _, leftEdge := range left {
		for _, rightEdge := range right {
			q.network.partition(edgeHost(leftEdge), edgeHost(rightEdge), partitioned)
		}
	}
}
