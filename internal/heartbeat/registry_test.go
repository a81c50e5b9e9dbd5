package heartbeat

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRegistry_SilentDaemonLeavesLiveBeforeCount(t *testing.T) {
	now := testStart
	registry := NewRegistry(10 * time.Second)
	registry.Record("a", Heartbeat{ReportedAt: now, Revision: 1})
	registry.Record("b", Heartbeat{ReportedAt: now.Add(4 * time.Second), Revision: 2})
	later := now.Add(5 * time.Second)
	assert.DeepEqual(t, registry.Live(later, 2*time.Second), []string{"b"})
	assert.Equal(t, registry.Count(later), 2, "a silent daemon counts until it expires")
	assert.Equal(t, registry.CountBehind(later, 2*time.Second, 3, 0), 1)
	for passed := 6; passed < 20; passed++ {
		registry.Count(now.Add(time.Duration(passed) * time.Second))
	}
	assert.Equal(t, registry.Count(now.Add(20*time.Second)), 0)
}

func TestRegistry_PauseOfOwnProcessExpiresNoDaemon(t *testing.T) {
	now := testStart
	registry := NewRegistry(10 * time.Second)
	registry.Record("a", Heartbeat{ReportedAt: now})
	assert.Equal(t, registry.Count(now.Add(time.Second)), 1)
	resumed := now.Add(30 * time.Second)
	assert.Equal(t, registry.Count(resumed), 1)
	for passed := 1; passed < 12; passed++ {
		registry.Count(resumed.Add(time.Duration(passed) * time.Second))
	}
	assert.Equal(t, registry.Count(resumed.Add(12*time.Second)), 0)
}
