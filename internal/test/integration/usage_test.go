package integration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/discovery"
	"ferryspar/internal/nodesettings"
	"ferryspar/internal/quota"
	"ferryspar/internal/replica"
	"ferryspar/internal/test/keystoresim"
	"ferryspar/internal/usage"
)

const (
	usageWindow = 5 * time.Second
	usageDelay  = 10 * time.Second
	usageError  = 0.05
	// usageEdges is the number of data planes, which get requests in turn, one every usageInterval.
	usageEdges    = 3
	usageInterval = 50 * time.Millisecond
)

// usageFleet is a fleet that reports usage to the platform, with requests of one tenant.
type usageFleet struct {
	*fleet
	standIns []*standInReplica
	attempts int
}

func startUsageFleet(t *testing.T) *usageFleet {
	u := &usageFleet{}
	for number := range 4 {
		u.standIns = append(u.standIns,
			newStandInReplica(fmt.Sprintf("i-%d", number), fmt.Sprintf("10.1.2.%d", number+1), "north", "swift"))
	}
	u.fleet = startFleetOf(t, 0, 1, 0, u.standIns...)
	u.adjustSettings = func(settings *nodesettings.Settings) {
		settings.CloudAPI.Duties = []string{nodesettings.DutyUsage}
		settings.CloudAPI.DutyPerS = 50
		settings.TimingBounds.UsageWindowS = usageWindow.Seconds()
		settings.TimingBounds.UsageDelayS = usageDelay.Seconds()
	}
	u.cores = 3
	for number := 1; number <= u.cores; number++ {
		u.startCore(coreHost(number), true, 1, 2, 3)
	}
	for number := 1; number <= usageEdges; number++ {
		u.startEdge(edgeHost(number))
	}
	time.Sleep(3 * time.Second)
	assert.Equal(t, u.putConfiguration(1, 0, limitedDocument(1, quota.Limit{RatePerS: 200, Burst: 200})).status, http.StatusOK)
	time.Sleep(3 * time.Second)
	return u
}

// sendFor sends requests to all data planes, one after the other.
func (u *usageFleet) sendFor(duration time.Duration) {
	var sending sync.WaitGroup
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(usageInterval) {
		u.attempts++
		attempt, edge := fmt.Sprint("u-", u.attempts), u.attempts%usageEdges+1
		sending.Go(func() {
			u.call(http.MethodPost, edgeHost(edge)+":8161", "/quick/", "prompt", map[string]string{
				"Host": "shop.example", replica.HeaderAttemptID: attempt, replica.HeaderModel: "swift", replica.HeaderTokenCount: "10,2",
				replica.HeaderAPIKey: oldKey, replica.HeaderTimeRemaining: "3000",
			})
		})
	}
	sending.Wait()
}

// executedByWindow counts the requests that replicas ran, by window.
func (u *usageFleet) executedByWindow() map[uint64]uint64 {
	windows := usage.Windows{Length: usageWindow}
	counts := map[uint64]uint64{}
	for _, standIn := range u.standIns {
		for _, run := range standIn.executed() {
			if run.header.Get(replica.HeaderTenant) == "one" {
				counts[windows.At(run.at)]++
			}
		}
	}
	return counts
}

// reports returns the reports that the platform has accepted, and fails if two of one window differ.
func (u *usageFleet) reports() map[uint64]usage.Report {
	reports := map[uint64]usage.Report{}
	contents := map[uint64]string{}
	for _, call := range u.platform.accepted(discovery.PathUsage) {
		var report usage.Report
		assert.NilError(u.t, json.Unmarshal([]byte(call.body), &report))
		if earlier, known := contents[report.Window]; known {
			assert.Equal(u.t, earlier, call.body, "two reports of one window")
		}
		reports[report.Window], contents[report.Window] = report, call.body
	}
	return reports
}

// checkReports compares the reported requests of each window with those that ran. allowed is the share by which they may differ.
func (u *usageFleet) checkReports(allowed func(window uint64) float64) {
	u.t.Helper()
	reports := u.reports()
	for window, count := range u.executedByWindow() {
		report, known := reports[window]
		assert.Assert(u.t, known, "no report of window %d with %d requests", window, count)
		difference := float64(count) - float64(report.Counts["one"])
		assert.Assert(u.t, max(difference, -difference) <= allowed(window)*float64(count),
			"window %d: %d ran, %d reported", window, count, report.Counts["one"])
	}
}

func inAnyWindow(share float64) func(uint64) float64 { return func(uint64) float64 { return share } }

// dueTime is the time after which the reports of all requests so far are due.
const dueTime = usageWindow + usageDelay

func TestUsage_EachWindowIsReportedOnceAndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUsageFleet(t)
		u.sendFor(20 * time.Second)
		time.Sleep(dueTime)
		u.checkReports(inAnyWindow(usageError))
		windows := usage.Windows{Length: usageWindow}
		for _, call := range u.platform.accepted(discovery.PathUsage) {
			var report usage.Report
			assert.NilError(t, json.Unmarshal([]byte(call.body), &report))
			assert.Assert(t, call.at.Before(windows.End(report.Window).Add(usageDelay)), "window %d is late", report.Window)
		}
	})
}

// usageFaults are injected at random moments while usage is reported.
var usageFaults = map[string]func(u *usageFleet, rng *rand.Rand){
	"a control plane is killed": func(u *usageFleet, rng *rand.Rand) {
		number := rng.IntN(u.cores) + 1
		u.kill(coreHost(number))
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		u.startCore(coreHost(number), false, 1, 2, 3)
	},
	"a control plane loses its disk": func(u *usageFleet, rng *rand.Rand) {
		number := rng.IntN(u.cores) + 1
		u.kill(coreHost(number))
		u.wipe(coreHost(number))
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		u.startCore(coreHost(number), false, 1, 2, 3)
		time.Sleep(4 * time.Second)
	},
	"a control plane freezes": func(u *usageFleet, rng *rand.Rand) {
		host := coreHost(rng.IntN(u.cores) + 1)
		u.network.freeze(host, true)
		time.Sleep(time.Duration(500+rng.IntN(3500)) * time.Millisecond)
		u.network.freeze(host, false)
	},
	"all control planes are killed": func(u *usageFleet, _ *rand.Rand) {
		u.restartCores(u.kill, 1, 2, 3)
	},
	"the platform is down": func(u *usageFleet, rng *rand.Rand) {
		u.platform.update(func(p *standInPlatform) { p.down = true })
		time.Sleep(time.Duration(1000+rng.IntN(3000)) * time.Millisecond)
		u.platform.update(func(p *standInPlatform) { p.down = false })
	},
	"answers of the platform are lost": func(u *usageFleet, rng *rand.Rand) {
		u.platform.update(func(p *standInPlatform) { p.dropAnswers = true })
		time.Sleep(time.Duration(1000+rng.IntN(6000)) * time.Millisecond)
		u.platform.update(func(p *standInPlatform) { p.dropAnswers = false })
	},
}

func TestUsage_OneReportOfEachWindowUnderFaults(t *testing.T) {
	for name, inject := range usageFaults {
		t.Run(name, func(t *testing.T) {
			from, to := keystoresim.SeedRange(1)
			for seed := from; seed < to; seed++ {
				synctest.Test(t, func(t *testing.T) {
					u := startUsageFleet(t)
					rng := rand.New(rand.NewPCG(uint64(seed), 3))
					var injecting sync.WaitGroup
					injecting.Go(func() {
						for range 3 {
							time.Sleep(time.Duration(rng.IntN(6000)) * time.Millisecond)
							inject(u, rng)
						}
					})
					u.sendFor(25 * time.Second)
					injecting.Wait()
					time.Sleep(2 * dueTime)
					u.checkReports(inAnyWindow(usageError))
					assert.Equal(t, u.platform.rejectedCalls, 0, "calls under a lower fence")
				})
			}
		})
	}
}

// TestUsage_KilledDataPlaneLosesOnlyUnreportedRequests kills a data plane in the middle of a window: what it has reported by then
// counts.
func TestUsage_KilledDataPlaneLosesOnlyUnreportedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUsageFleet(t)
		faultWindow := usage.Windows{Length: usageWindow}.At(time.Now().Add(4 * time.Second))
		time.AfterFunc(4*time.Second, func() {
			u.kill(edgeHost(1))
			u.startEdge(edgeHost(1))
		})
		u.sendFor(12 * time.Second)
		time.Sleep(dueTime)
		// Of the five seconds of the window, half a second of one data plane out of usageEdges may be unknown.
		lost := 0.5 / usageEdges / usageWindow.Seconds()
		u.checkReports(func(window uint64) float64 {
			if window == faultWindow {
				return usageError + lost
			}
			return usageError
		})
	})
}
