package adminapi

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// issueToken returns the token in the location that the guard redirects to.
func issueToken(t *testing.T, guard *ReplayGuard, method, path string) string {
	location := guard.Location(method, path)
	token, found := strings.CutPrefix(location, "http://10.0.0.1:8080"+path+"/")
	assert.Assert(t, found, location)
	return token
}

func TestReplayGuard_TokenIsValidForItsCallUntilDeadline(t *testing.T) {
	now := time.Now()
	guard := NewReplayGuard("10.0.0.1:8080", func() time.Time { return now })
	now = now.Add(3 * time.Second)
	issued := now
	token := issueToken(t, guard, "POST", "/ferryspar/drain-zone/north")
	now = now.Add(20 * time.Second)
	deadline := guard.Deadline("POST", "/ferryspar/drain-zone/north", token)
	assert.Assert(t, deadline.Equal(issued.Add(TokenLifetime)), "%s", deadline.Sub(issued))
	assert.Assert(t, guard.Deadline("DELETE", "/ferryspar/drain-zone/north", token).IsZero(), "another method")
	assert.Assert(t, guard.Deadline("POST", "/ferryspar/drain-zone/south", token).IsZero(), "another zone")
	assert.Assert(t, guard.Deadline("POST", "/ferryspar/drain-zone/north", token[1:]).IsZero(), "truncated")
	assert.Assert(t, guard.Deadline("POST", "/ferryspar/drain-zone/north", "").IsZero(), "empty")
}

func TestReplayGuard_RejectsTokenOfOtherIncarnation(t *testing.T) {
	first, second := NewReplayGuard("10.0.0.1:8080", time.Now), NewReplayGuard("10.0.0.1:8080", time.Now)
	token := issueToken(t, first, "POST", "/ferryspar/drain-zone/north")
	assert.Assert(t, second.Deadline("POST", "/ferryspar/drain-zone/north", token).IsZero())
}
