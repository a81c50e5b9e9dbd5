package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/replica"
)

// A request waits for a configuration as long as its client waits for a data plane that has not read it.
func TestUnreadWait_FollowsRemainingTime(t *testing.T) {
	for stated, expected := range map[string]time.Duration{
		"": time.Second, "15000": time.Second, "3000": time.Second, "1200": 400 * time.Millisecond, "30": 10 * time.Millisecond,
		"soon": time.Second,
	} {
		header := http.Header{}
		header.Set(replica.HeaderTimeRemaining, stated)
		assert.Equal(t, unreadWait(header), expected, stated)
	}
}
