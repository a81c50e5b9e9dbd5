package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	modelCount        = 22
	loadRateWindow    = 5 * time.Second
	maxLoadsPerWindow = 8 // 1/s for 5 s with an overage of 1.1, and a slack of 3
	faultDuration     = 15 * time.Second
	loadTimeout       = 90 * time.Second
)

// manyModels returns a configuration with models that no replica has loaded at first.
func manyModels() string {
	var models []string
	for number := range modelCount {
		models = append(models, fmt.Sprintf(`{"name":"m%02d","weightSizeMb":100,"loadTimeS":1,"adapterList":0,"adapterSizeMb":1}`, number))
	}
	full := document(1, "")
	from, to := strings.Index(full, `"modelList":[`), strings.Index(full, `"weightSizeMb":210`)
	return full[:from] + `"modelList":[` + strings.Join(models, ",") + `],` + full[to:]
}

// maxLoadsInAnyWindow returns the highest number of loads from the model store that started within any window.
func maxLoadsInAnyWindow(replicas []*standInReplica) int {
	var began []time.Time
	for _, standIn := range replicas {
		standIn.lock.Lock()
		began = append(began, standIn.storeLoads...)
		standIn.lock.Unlock()
	}
	slices.SortFunc(began, time.Time.Compare)
	most := 0
	for first, from := range began {
		within := 0
		for _, at := range began[first:] {
			if at.Sub(from) < loadRateWindow {
				within++
			}
		}
		most = max(most, within)
	}
	return most
}

// modelsLoaded counts the models that any replica has loaded at some time.
func modelsLoaded(replicas []*standInReplica) int {
	loaded := map[string]bool{}
	for _, standIn := range replicas {
		standIn.lock.Lock()
		for model := range standIn.modelsOnDisk {
			loaded[model] = true
		}
		standIn.lock.Unlock()
	}
	return len(loaded)
}

// leaseHolderFault is a short fault of the node that holds the placement lease.
type leaseHolderFault func(f *fleet, leaseHolder string, rng *rand.Rand)

func killAndRestart(f *fleet, leaseHolder string, rng *rand.Rand) {
	f.kill(leaseHolder)
	restartAfterDelay(f, leaseHolder, rng)
}

func killWithPowerLoss(f *fleet, leaseHolder string, rng *rand.Rand) {
	f.kill(leaseHolder)
	f.losePower(leaseHolder)
	restartAfterDelay(f, leaseHolder, rng)
}

func restartAfterDelay(f *fleet, leaseHolder string, rng *rand.Rand) {
	time.Sleep(20*time.Millisecond + time.Duration(rng.Int64N(int64(280*time.Millisecond))))
	f.startCore(leaseHolder, false, 1, 2, 3)
}

// killOrFreeze kills the lease holder or freezes it, sometimes long enough for another node to take the lease.
func killOrFreeze(f *fleet, leaseHolder string, rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		killAndRestart(f, leaseHolder, rng)
		return
	}
	f.network.freeze(leaseHolder, true)
	time.Sleep(300*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second))))
	f.network.freeze(leaseHolder, false)
}

// injectLeaseHolderFaults injects the fault at whichever node holds the placement lease, until faultDuration is over.
func (f *fleet) injectLeaseHolderFaults(rng *rand.Rand, shortest, spread time.Duration, fault leaseHolderFault) {
	watcher := newOperators(f, 1, 1, 2, 3)
	for until := time.Now().Add(faultDuration); time.Now().Before(until); {
		time.Sleep(shortest + time.Duration(rng.Int64N(int64(spread))))
		if leaseHolder := hostOf(watcher.status(coreHost(1 + rng.IntN(3))).PlacementLeaseHolder); leaseHolder != "" {
			fault(f, leaseHolder, rng)
		}
	}
}

// emptyReplicas returns replicas without models that together have capacity for twice the number of models.
func emptyReplicas() []*standInReplica {
	var replicas []*standInReplica
	for number := range modelCount {
		standIn := newStandInReplica(fmt.Sprint("i-", number), fmt.Sprintf("10.1.2.%d", number+1), "north")
		standIn.loadTime = 300 * time.Millisecond
		replicas = append(replicas, standIn)
	}
	return replicas
}

// requestModels requests each model until it has been served, or until the timeout.
func (f *fleet) requestModels(from, to int, timeout time.Duration) {
	began := time.Now()
	for number := from; number < to; number++ {
		go func() {
			status := 0
			for status != http.StatusOK && time.Since(began) < timeout {
				status = f.request(1, fmt.Sprint("attempt-", number), "/patient/", fmt.Sprintf("m%02d", number)).status
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
}

// waitLoaded waits until a number of models have been loaded, or until the timeout, and returns how many were.
func waitLoaded(replicas []*standInReplica, models int, timeout time.Duration) int {
	for began := time.Now(); modelsLoaded(replicas) < models && time.Since(began) < timeout; {
		time.Sleep(100 * time.Millisecond)
	}
	return modelsLoaded(replicas)
}

func runLeaseHolderFaults(t *testing.T, seed uint64, shortest, spread time.Duration, fault leaseHolderFault) {
	rng := rand.New(rand.NewPCG(seed, 83))
	replicas := emptyReplicas()
	f := startFleet(t, 1, replicas...)
	time.Sleep(3*time.Second + time.Duration(rng.Int64N(int64(3*time.Second))))
	assert.Equal(t, f.putConfiguration(1, 0, manyModels()).status, http.StatusOK)
	f.requestModels(0, modelCount, loadTimeout)
	f.injectLeaseHolderFaults(rng, shortest, spread, fault)
	loaded := waitLoaded(replicas, modelCount, loadTimeout-faultDuration)
	assert.Equal(t, loaded, modelCount, "every requested model is loaded in the end")
	assert.Assert(
		t,
		maxLoadsInAnyWindow(replicas) <= maxLoadsPerWindow,
		"seed %d: %d loads began within %s",
		seed,
		maxLoadsInAnyWindow(replicas),
		loadRateWindow,
	)
}

func TestLoadRate_KeptWhileLeaseHolderFailsRepeatedly(t *testing.T) {
	intervals := map[string]struct{ shortest, spread time.Duration }{
		"every 0.6 to 1.7 s": {600 * time.Millisecond, 1100 * time.Millisecond},
		"every 1.6 to 3.1 s": {1600 * time.Millisecond, 1500 * time.Millisecond},
	}
	faults := map[string]leaseHolderFault{
		"killed": killAndRestart, "killed without power": killWithPowerLoss, "killed or frozen": killOrFreeze,
	}
	for label, interval := range intervals {
		for name, fault := range faults {
			for seed := range uint64(casesFor(4, 40)) {
				t.Run(fmt.Sprintf("%s %s, seed %d", name, label, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runLeaseHolderFaults(t, seed, interval.shortest, interval.spread, fault) })
				})
			}
		}
	}
}

func TestLoadRate_FullAfterAnotherMemberLosesItsDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicas := emptyReplicas()
		f := startFleet(t, 1, replicas...)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.putConfiguration(1, 0, manyModels()).status, http.StatusOK)
		time.Sleep(2 * time.Second)
		leaseHolder := hostOf(newOperators(f, 1, 1, 2, 3).status(coreHost(1)).PlacementLeaseHolder)
		for number := 1; number <= 3; number++ {
			if host := coreHost(number); host != leaseHolder {
				f.kill(host)
				f.wipe(host)
				f.startCore(host, false, 1, 2, 3)
				time.Sleep(2 * syncTime)
			}
		}
		f.requestModels(0, modelCount, loadTimeout)
		loaded := waitLoaded(replicas, modelCount, modelCount*time.Second)
		assert.Equal(t, loaded, modelCount, "one load per second, and some at once")
	})
}
