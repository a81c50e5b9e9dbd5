package integration

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// startQuietFleet starts a fleet with one configuration and no calls in flight: only its own loops bring a member up to date.
func startQuietFleet(t *testing.T) (*fleet, *operators) {
	f := startFleetOf(t, 3, 1, 0)
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.putConfiguration(1, 0, document(1, "")).status, http.StatusOK)
	time.Sleep(time.Second)
	return f, newOperators(f, 1, 2, 3)
}

func checkUpToDate(t *testing.T, o *operators, host string, timeout time.Duration) {
	t.Helper()
	time.Sleep(timeout)
	status := o.status(host)
	assert.Assert(t, status.Fresh, "not in contact %s after its return", timeout)
	assert.Equal(t, int(status.Revision), o.newestAcknowledged())
	problems := o.zoneViolations(host)
	assert.Equal(t, len(problems), 0, summarizeProblems(problems))
}

func TestMember_LearnsMissedEvacuationAfterPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := startQuietFleet(t)
		isolate := func(isolated bool) {
			f.network.delayBoth(coreHost(1), coreHost(2), isolated)
			f.network.delayBoth(coreHost(1), coreHost(3), isolated)
		}
		isolate(true)
		time.Sleep(time.Second)
		assert.Equal(t, o.sendZoneChange("south", true, "missed"), acknowledged)
		assert.Equal(t, o.send(addRoute(1, 2, "missed"), zoneResendBound), acknowledged)
		time.Sleep(19 * time.Second)
		isolate(false)
		checkUpToDate(t, o, coreHost(1), healTimeout)
	})
}

func TestMember_LearnsMissedChangesAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := startQuietFleet(t)
		f.kill(coreHost(1))
		assert.Equal(t, o.sendZoneChange("south", true, "missed"), acknowledged)
		assert.Equal(t, o.send(addRoute(1, 2, "missed"), zoneResendBound), acknowledged)
		time.Sleep(time.Second)
		f.startCore(coreHost(1), false, 1, 2, 3)
		checkUpToDate(t, o, coreHost(1), syncTime)
	})
}
