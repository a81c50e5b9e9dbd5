package eventbus

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

func TestBus_DeliversOnceToEachSubscriber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bus := New()
		ctx, cancel := context.WithCancel(context.Background())
		counts := map[string]int{}
		results := make(chan string, 8)
		for _, name := range []string{"first", "second"} {
			assert.NilError(t, bus.Subscribe(ctx, TopicCommitted, func(payload []byte) { results <- name + string(payload) }))
		}
		assert.NilError(t, bus.Publish(TopicCommitted, 7))
		assert.NilError(t, bus.Publish(TopicPlacementChanged, 8))
		synctest.Wait()
		for len(results) > 0 {
			counts[<-results]++
		}
		assert.DeepEqual(t, counts, map[string]int{"first7": 1, "second7": 1})
		cancel()
		bus.Close()
	})
}
