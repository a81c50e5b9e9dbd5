package heartbeat

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWatchers_AreSpreadOverRing(t *testing.T) {
	var daemons []string
	for number := range 12 {
		daemons = append(daemons, fmt.Sprintf("daemon-%d", number))
	}
	watched := map[string]int{}
	for _, name := range daemons {
		watchers := Watchers(name, daemons, 3)
		assert.Equal(t, len(watchers), 3)
		for _, watcher := range watchers {
			assert.Assert(t, watcher != name)
			watched[watcher]++
		}
	}
	assert.Assert(t, len(watched) >= 10, "daemons that watch others: %v", watched)
	assert.DeepEqual(t, Watchers("daemon-1", daemons, 3), Watchers("daemon-1", daemons, 3))
	assert.Equal(t, len(Watchers("a", []string{"a", "b"}, 3)), 1)
}
