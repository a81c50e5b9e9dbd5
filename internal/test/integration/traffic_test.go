package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// traffic is a continuous flow of requests and the replies to them.
type traffic struct {
	lock    sync.Mutex
	group   sync.WaitGroup
	stop    chan struct{}
	replies map[string]reply
	close   func()
}

// startTraffic sends requests for each path, with its model, to each of the data planes until closed.
func (f *fleet) startTraffic(edges []int, paths map[string]string) *traffic {
	running := &traffic{stop: make(chan struct{}), replies: map[string]reply{}}
	running.close = sync.OnceFunc(func() {
		close(running.stop)
		running.group.Wait()
	})
	f.t.Cleanup(running.close)
	for _, edge := range edges {
		for path, model := range paths {
			running.group.Add(1)
			go func() {
				defer running.group.Done()
				for number := 0; ; number++ {
					select {
					case <-running.stop:
						return
					default:
					}
					attempt := fmt.Sprintf("%d%s%s-%d", edge, path, model, number)
					got := f.requestWithPrefix(edge, attempt, path, model, fmt.Sprintf("aa:100,b%d:200", number%7))
					running.lock.Lock()
					running.replies[attempt] = got
					running.lock.Unlock()
					time.Sleep(30 * time.Millisecond)
				}
			}()
		}
	}
	return running
}

// check expects each request to have been served completely and to have run exactly once.
func (r *traffic) check(t *testing.T, replicas map[string]*standInReplica) {
	ran := map[string]int{}
	for _, standIn := range replicas {
		for _, run := range standIn.executed() {
			ran[run.attempt]++
		}
	}
	for attempt, got := range r.replies {
		assert.Equal(t, got.status, http.StatusOK, "%s: %s", attempt, got.body)
		assert.Equal(t, got.body, allEvents(), attempt)
		assert.Equal(t, ran[attempt], 1, "%s ran %d times", attempt, ran[attempt])
	}
}

// runsSince counts the requests that a stand-in has run since a time, by path and model.
func runsSince(standIn *standInReplica, at time.Time) map[string]int {
	seen := map[string]int{}
	for _, run := range standIn.executed() {
		if run.at.After(at) {
			seen[strings.Split(run.attempt, "-")[0][1:]]++
		}
	}
	return seen
}

var mixedPaths = map[string]string{"/quick/": "swift", "/patient/": "swift", "/quick/a": "other", "/homely/": "swift"}

// checkRanOnce expects each served request to be complete and to have run exactly once.
func (r *traffic) checkRanOnce(t *testing.T, replicas map[string]*standInReplica, name string) {
	started := map[string]int{}
	for _, standIn := range replicas {
		for _, run := range standIn.executed() {
			if run.lastEvent == "" {
				started[run.attempt]++
			}
		}
	}
	for attempt, got := range r.replies {
		if got.status == http.StatusOK && !got.broken {
			assert.Equal(t, got.body, allEvents(), "%s %s", name, attempt)
			assert.Equal(t, started[attempt], 1, "%s %s", name, attempt)
		}
	}
}
