package heartbeat

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWatchers_SpreadOverRing(t *testing.T) {
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
	assert.Assert(t, len(watched) >= 10, "watching is spread: %v", watched)
	assert.DeepEqual(t, Watchers("daemon-1", daemons, 3), Watchers("daemon-1", daemons, 3))
	assert.Equal(t, len(Watchers("a", []string{"a", "b"}, 3)), 1)
}

func TestRegistry_SilentDaemonLeavesLiveBeforeCount(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	registry := NewRegistry(10 * time.Second)
	registry.Record("a", Heartbeat{ReportedAt: now, Revision: 1})
	registry.Record("b", Heartbeat{ReportedAt: now.Add(4 * time.Second), Revision: 2})
	later := now.Add(5 * time.Second)
	assert.DeepEqual(t, registry.Live(later, 2*time.Second), []string{"b"})
	assert.Equal(t, registry.Count(later), 2, "shares are taken of the larger count while it is uncertain")
	assert.Equal(t, registry.CountBehind(later, 2*time.Second, 3, 0), 1)
	for passed := 6; passed < 20; passed++ {
		registry.Count(now.Add(time.Duration(passed) * time.Second))
	}
	assert.Equal(t, registry.Count(now.Add(20*time.Second)), 0)
}

func TestRegistry_FrozenWatcherExpiresNobody(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	registry := NewRegistry(10 * time.Second)
	registry.Record("a", Heartbeat{ReportedAt: now})
	assert.Equal(t, registry.Count(now.Add(time.Second)), 1)
	thawed := now.Add(30 * time.Second)
	assert.Equal(t, registry.Count(thawed), 1)
	for passed := 1; passed < 12; passed++ {
		registry.Count(thawed.Add(time.Duration(passed) * time.Second))
	}
	assert.Equal(t, registry.Count(thawed.Add(12*time.Second)), 0)
}
