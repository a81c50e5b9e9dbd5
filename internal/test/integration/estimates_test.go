package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// estimateRequests is how many requests teach the estimates, and how many follow once these are wrong.
const estimateRequests = 12

// answered is a request's attempt id with its answer.
type answered struct {
	attempt string
	reply   reply
}

// requestTogether sends requests at once and returns their answers.
func requestTogether(send func(attempt string) reply) []answered {
	answers := make([]answered, estimateRequests)
	var sending sync.WaitGroup
	for number := range answers {
		sending.Go(func() {
			attempt := fmt.Sprintf("after-%d", number)
			answers[number] = answered{attempt, send(attempt)}
		})
	}
	sending.Wait()
	return answers
}

// assertRunOnceAndWhole fails the test unless each request got the whole response of its only run, or 503 and no run.
func assertRunOnceAndWhole(t *testing.T, answers []answered, replicas ...*standInReplica) {
	t.Helper()
	runs := map[string]int{}
	for _, standIn := range replicas {
		for _, run := range standIn.executed() {
			runs[run.attempt]++
		}
	}
	for _, answer := range answers {
		if answer.reply.status == http.StatusServiceUnavailable {
			assert.Equal(t, runs[answer.attempt], 0, "%s got 503", answer.attempt)
			continue
		}
		assert.Equal(t, answer.reply.status, http.StatusOK, answer.reply.body)
		assert.Equal(t, answer.reply.body, allEvents())
		assert.Equal(t, runs[answer.attempt], 1, answer.attempt)
	}
}

// Guards against a prediction that ends a response or sends a request twice: replicas become ten times slower or faster than all that was
// learned of them.
func TestEstimates_ResponsesStayWholeWhenReplicasChangeTheirPace(t *testing.T) {
	const fast, slow = 100 * time.Millisecond, time.Second
	for name, test := range map[string]struct {
		firstBefore, firstAfter, intervalBefore, intervalAfter time.Duration
	}{
		"first events ten times later":  {fast, slow, usualEventInterval, usualEventInterval},
		"first events ten times sooner": {slow, fast, usualEventInterval, usualEventInterval},
		"events ten times slower":       {fast, fast, usualEventInterval, 10 * usualEventInterval},
		"events ten times faster":       {fast, fast, 10 * usualEventInterval, usualEventInterval},
		"all ten times slower":          {fast, slow, usualEventInterval, 10 * usualEventInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := newStandInReplica("i-1", "10.1.2.1", "north", "swift")
				second := newStandInReplica("i-2", "10.2.2.1", "south", "swift")
				f := startSettledFleet(t, 1, first, second)
				first.setPace(test.firstBefore, test.intervalBefore)
				second.setPace(test.firstBefore, test.intervalBefore)
				for number := range estimateRequests {
					assert.Equal(t, f.request(1, fmt.Sprintf("before-%d", number), "/quick/", "swift").status, http.StatusOK)
				}
				first.setPace(test.firstAfter, test.intervalAfter)
				second.setPace(test.firstAfter, test.intervalAfter)
				answers := requestTogether(func(attempt string) reply { return f.request(1, attempt, "/quick/", "swift") })
				assertRunOnceAndWhole(t, answers, first, second)
			})
		})
	}
}

// Guards against a prefill step that is given up for its predicted time and then runs its request twice, or leaves its handle behind.
func TestEstimates_RequestsRunOnceWhenPrefillsAreTenTimesSlower(t *testing.T) {
	const promptTokens = 3000
	const excess = 9 * promptTokens / 1000 * prefillTimePerThousand
	synctest.Test(t, func(t *testing.T) {
		f, split, replicas := startSplitFleet(t, 1)
		for number := range estimateRequests {
			got := f.requestPrompt(1, fmt.Sprintf("before-%d", number), "/quick/", promptTokens, number)
			assert.Equal(t, got.status, http.StatusOK, got.body)
		}
		split.lock.Lock()
		split.afterPrefill = func(string) { time.Sleep(excess) }
		split.lock.Unlock()
		answers := requestTogether(func(attempt string) reply { return f.requestPrompt(1, attempt, "/quick/", promptTokens, 100) })
		assertRunOnceAndWhole(t, answers, replicas["i-1"], replicas["i-2"], replicas["i-3"], replicas["i-4"])
		time.Sleep(split.handleLifetime)
		for _, run := range split.runs {
			assert.Equal(t, run.attempt, run.handleAttempt)
		}
	})
}
