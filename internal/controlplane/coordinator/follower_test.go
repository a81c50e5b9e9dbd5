package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/coordination"
)

// newTestGroupWatcher returns the GroupWatcher of a node that owns all items itself.
func newTestGroupWatcher(t *testing.T) (watcher *GroupWatcher, store *memoryStore, leaving chan struct{}) {
	t.Helper()
	store = newMemoryStore()
	router := newTestRouter(&testCluster{members: []string{"self"}}, store)
	leaving = make(chan struct{})
	watcher = NewGroupWatcher(router, leaving, time.Now)
	t.Cleanup(watcher.cancel)
	return watcher, store, leaving
}

func (w *GroupWatcher) put(t *testing.T, value string) {
	t.Helper()
	call := testPut
	call.Value = value
	_, err := w.router.Do(t.Context(), call)
	assert.NilError(t, err)
}

func TestGroupWatcher_WatchesOnAGroupShareOnePoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watcher, store, _ := newTestGroupWatcher(t)
		defer watcher.cancel()
		watcher.put(t, "first")
		const watchers = 1000
		results := make(chan coordination.Result, watchers)
		for range watchers {
			go func() {
				result, err := watcher.Watch(t.Context(), group, 1, 10*time.Second)
				assert.Check(t, err)
				results <- result
			}()
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, watcher.Counts()[group], watchers)
		before := store.operations.Load()
		time.Sleep(3 * time.Second)
		assert.Assert(t, store.operations.Load()-before < 15, "%d operations in 3 s", store.operations.Load()-before)
		watcher.put(t, "second")
		for range watchers {
			result := <-results
			assert.Equal(t, len(result.Events), 1)
			assert.Equal(t, result.Revision, uint64(2))
		}
		assert.Equal(t, len(watcher.Counts()), 0)
		time.Sleep(2 * followerIdleTimeout)
		before = store.operations.Load()
		time.Sleep(time.Minute)
		assert.Equal(t, store.operations.Load(), before, "a group without watches is not polled")
	})
}

func TestGroupWatcher_WatchAsksTheOwnerIfTheFollowerGetsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watcher, store, _ := newTestGroupWatcher(t)
		defer watcher.cancel()
		watcher.put(t, "first")
		watcher.put(t, "second")
		store.latency = 400 * time.Millisecond // longer than a watch waits for its follower
		began := time.Now()
		result, err := watcher.Watch(t.Context(), group, 1, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(result.Events), 1)
		assert.Assert(t, time.Since(began) < callerTimeout, "%s", time.Since(began))
		time.Sleep(time.Minute)
	})
}

func TestGroupWatcher_LaggingWatchIsAnsweredByTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watcher, _, _ := newTestGroupWatcher(t)
		defer watcher.cancel()
		const puts = 2 * maxFollowedEvents
		watcher.put(t, "0")
		_, err := watcher.Watch(t.Context(), group, 1, time.Millisecond)
		assert.NilError(t, err)
		for number := 1; number < puts; number++ {
			watcher.put(t, fmt.Sprint(number))
		}
		time.Sleep(time.Second)
		for _, after := range []uint64{1, 5, puts / 2, puts - 1} {
			result, err := watcher.Watch(t.Context(), group, after, time.Second)
			assert.NilError(t, err)
			assert.Equal(t, result.Events[0].Revision, after+1)
			assert.Equal(t, result.Events[len(result.Events)-1].Revision, result.Revision)
		}
	})
}

func TestGroupWatcher_ExpiredRevisionIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watcher, _, _ := newTestGroupWatcher(t)
		defer watcher.cancel()
		for number := range 3 {
			watcher.put(t, fmt.Sprint(number))
			time.Sleep(time.Minute)
		}
		_, err := watcher.Watch(t.Context(), group, 1, time.Second)
		assert.Assert(t, errors.Is(err, ErrExpired), "%v", err)
		result, err := watcher.Watch(t.Context(), group, 0, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, uint64(3))
	})
}

func TestGroupWatcher_LeavingNodeAnswersPendingWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watcher, _, leaving := newTestGroupWatcher(t)
		defer watcher.cancel()
		watcher.put(t, "first")
		began := time.Now()
		go func() {
			time.Sleep(time.Second)
			close(leaving)
		}()
		result, err := watcher.Watch(t.Context(), group, 1, 10*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(result.Events), 0)
		assert.Equal(t, result.Revision, uint64(1))
		assert.Equal(t, time.Since(began), time.Second)
		time.Sleep(10 * time.Second)
	})
}
