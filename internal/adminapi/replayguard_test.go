package adminapi

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func token(t *testing.T, guard *ReplayGuard, method, path string) string {
	location := guard.Location(method, path)
	rest, found := strings.CutPrefix(location, "http://10.0.0.1:8080"+path+"/")
	assert.Assert(t, found, location)
	return rest
}

func TestReplayGuard_TokenIsValidForItsCallUntilDeadline(t *testing.T) {
	now := time.Now()
	guard := NewReplayGuard("10.0.0.1:8080", func() time.Time { return now })
	now = now.Add(3 * time.Second)
	issued := now
	given := token(t, guard, "POST", "/ferryspar/drain-zone/north")
	now = now.Add(20 * time.Second)
	deadline := guard.Deadline("POST", "/ferryspar/drain-zone/north", given)
	assert.Assert(t, deadline.Equal(issued.Add(TokenLifetime)), "%s", deadline.Sub(issued))
	assert.Assert(t, guard.Deadline("DELETE", "/ferryspar/drain-zone/north", given).IsZero(), "another method")
	assert.Assert(t, guard.Deadline("POST", "/ferryspar/drain-zone/south", given).IsZero(), "another zone")
	assert.Assert(t, guard.Deadline("POST", "/ferryspar/drain-zone/north", given[1:]).IsZero(), "cut short")
	assert.Assert(t, guard.Deadline("POST", "/ferryspar/drain-zone/north", "").IsZero(), "none")
}

func TestReplayGuard_RejectsTokenOfOtherIncarnation(t *testing.T) {
	first, second := NewReplayGuard("10.0.0.1:8080", time.Now), NewReplayGuard("10.0.0.1:8080", time.Now)
	given := token(t, first, "POST", "/ferryspar/drain-zone/north")
	assert.Assert(t, second.Deadline("POST", "/ferryspar/drain-zone/north", given).IsZero())
}
