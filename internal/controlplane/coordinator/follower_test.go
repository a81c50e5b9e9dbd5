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

// newTestWatches returns the GroupWatcher of a node that owns all items itself.
func newTestWatches(t *testing.T) (watches *GroupWatcher, store *memoryStore, leaving chan struct{}) {
	t.Helper()
	store = newMemoryStore()
	router := newTestRouter(&testCluster{members: []string{"self"}}, store)
	leaving = make(chan struct{})
	watches = NewGroupWatcher(router, leaving, time.Now)
	t.Cleanup(watches.cancel)
	return watches, store, leaving
}

func (w *GroupWatcher) put(t *testing.T, value string) {
	t.Helper()
	call := testPut
	call.Value = value
	_, err := w.router.Do(t.Context(), call)
	assert.NilError(t, err)
}

func TestWatches_ManyWatchesOnAGroupAreOneQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches, store, _ := newTestWatches(t)
		defer watches.cancel()
		watches.put(t, "first")
		const watchers = 1000
		results := make(chan coordination.Result, watchers)
		for range watchers {
			go func() {
				result, err := watches.Watch(t.Context(), group, 1, 10*time.Second)
				assert.Check(t, err)
				results <- result
			}()
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, watches.Counts()[group], watchers)
		before := store.operations.Load()
		time.Sleep(3 * time.Second)
		assert.Assert(t, store.operations.Load()-before < 15, "%d operations in 3 s", store.operations.Load()-before)
		watches.put(t, "second")
		for range watchers {
			result := <-results
			assert.Equal(t, len(result.Events), 1)
			assert.Equal(t, result.Revision, uint64(2))
		}
		assert.Equal(t, len(watches.Counts()), 0)
		time.Sleep(2 * followerIdleTimeout)
		before = store.operations.Load()
		time.Sleep(time.Minute)
		assert.Equal(t, store.operations.Load(), before, "a group without watches is not polled")
	})
}

func TestWatches_WatchAsksItselfWhereTheFollowerGetsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches, store, _ := newTestWatches(t)
		defer watches.cancel()
		watches.put(t, "first")
		watches.put(t, "second")
		store.latency = 400 * time.Millisecond // longer than a watch waits for its follower
		began := time.Now()
		result, err := watches.Watch(t.Context(), group, 1, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(result.Events), 1)
		assert.Assert(t, time.Since(began) < callerTimeout, "%s", time.Since(began))
		time.Sleep(time.Minute)
	})
}

func TestWatches_WatchThatLagsIsAnsweredByTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches, _, _ := newTestWatches(t)
		defer watches.cancel()
		const puts = 2 * maxFollowedEvents
		watches.put(t, "0")
		_, err := watches.Watch(t.Context(), group, 1, time.Millisecond)
		assert.NilError(t, err)
		for number := 1; number < puts; number++ {
			watches.put(t, fmt.Sprint(number))
		}
		time.Sleep(time.Second)
		for _, after := range []uint64{1, 5, puts / 2, puts - 1} {
			result, err := watches.Watch(t.Context(), group, after, time.Second)
			assert.NilError(t, err)
			assert.Equal(t, result.Events[0].Revision, after+1)
			assert.Equal(t, result.Events[len(result.Events)-1].Revision, result.Revision)
		}
	})
}

func TestWatches_ExpiredRevisionIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches, _, _ := newTestWatches(t)
		defer watches.cancel()
		for number := range 3 {
			watches.put(t, fmt.Sprint(number))
			time.Sleep(time.Minute)
		}
		_, err := watches.Watch(t.Context(), group, 1, time.Second)
		assert.Assert(t, errors.Is(err, ErrExpired), "%v", err)
		result, err := watches.Watch(t.Context(), group, 0, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, result.Revision, uint64(3))
	})
}

func TestWatches_LeavingNodeAnswersWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches, _, leaving := newTestWatches(t)
		defer watches.cancel()
		watches.put(t, "first")
		began := time.Now()
		go func() {
			time.Sleep(time.Second)
			close(leaving)
		}()
		result, err := watches.Watch(t.Context(), group, 1, 10*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(result.Events), 0)
		assert.Equal(t, result.Revision, uint64(1))
		assert.Equal(t, time.Since(began), time.Second)
		time.Sleep(10 * time.Second)
	})
}
