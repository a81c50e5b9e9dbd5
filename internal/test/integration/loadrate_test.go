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
	storedModels    = 22
	storePeriod     = 5 * time.Second
	storeLoads      = 8 // 1 a second x 5 s x an overage of 1.1, and 3
	troublesEnd     = 15 * time.Second
	everythingStood = 90 * time.Second
)

// manyModels is a configuration with models that stand nowhere at first.
func manyModels() string {
	var models []string
	for number := range storedModels {
		models = append(models, fmt.Sprintf(`{"name":"m%02d","weightSizeMb":100,"loadTimeS":1,"adapterList":0,"adapterSizeMb":1}`, number))
	}
	whole := document(1, "")
	from, to := strings.Index(whole, `"modelList":[`), strings.Index(whole, `"weightSizeMb":210`)
	return whole[:from] + `"modelList":[` + strings.Join(models, ",") + `],` + whole[to:]
}

// mostLoads is the highest number of loads from the store that began within any period.
func mostLoads(replicas []*standInReplica) int {
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
			if at.Sub(from) < storePeriod {
				within++
			}
		}
		most = max(most, within)
	}
	return most
}

// modelsLoaded counts the models that were loaded by a replica, be they held still or not.
func modelsLoaded(replicas []*standInReplica) int {
	loaded := map[string]bool{}
	for _, standIn := range replicas {
		standIn.lock.Lock()
		for model := range standIn.disk {
			loaded[model] = true
		}
		standIn.lock.Unlock()
	}
	return len(loaded)
}

// leaseHolderFault is something that happens to the holder of the placement lease and is soon over.
type leaseHolderFault func(f *fleet, holder string, draw *rand.Rand)

func killAndStart(f *fleet, holder string, draw *rand.Rand) {
	f.kill(holder)
	startSoon(f, holder, draw)
}

func killWithoutPower(f *fleet, holder string, draw *rand.Rand) {
	f.kill(holder)
	f.losePower(holder)
	startSoon(f, holder, draw)
}

func startSoon(f *fleet, holder string, draw *rand.Rand) {
	time.Sleep(20*time.Millisecond + time.Duration(draw.Int64N(int64(280*time.Millisecond))))
	f.startCore(holder, false, 1, 2, 3)
}

// killOrFreeze kills the holder, or freezes it, at times for so long that another takes the lease.
func killOrFreeze(f *fleet, holder string, draw *rand.Rand) {
	if draw.IntN(2) == 0 {
		killAndStart(f, holder, draw)
		return
	}
	f.network.freeze(holder, true)
	time.Sleep(300*time.Millisecond + time.Duration(draw.Int64N(int64(3*time.Second))))
	f.network.freeze(holder, false)
}

// injectLeaseHolderFaults has troubles meet whoever holds the placement lease, over and over.
func (f *fleet) injectLeaseHolderFaults(draw *rand.Rand, least, spread time.Duration, trouble leaseHolderFault) {
	watcher := newOperators(f, 1, 1, 2, 3)
	for until := time.Now().Add(troublesEnd); time.Now().Before(until); {
		time.Sleep(least + time.Duration(draw.Int64N(int64(spread))))
		if holder := hostOf(watcher.status(coreHost(1 + draw.IntN(3))).PlacementHolder); holder != "" {
			trouble(f, holder, draw)
		}
	}
}

// emptyReplicas are replicas that together have room for twice the models.
func emptyReplicas() []*standInReplica {
	var replicas []*standInReplica
	for number := range storedModels {
		standIn := newStandInReplica(fmt.Sprint("i-", number), fmt.Sprintf("10.1.2.%d", number+1), "north")
		standIn.loadTime = 300 * time.Millisecond
		replicas = append(replicas, standIn)
	}
	return replicas
}

// requestModels asks for models, each until it has been served, for as long as the bound allows.
func (f *fleet) requestModels(from, to int, bound time.Duration) {
	began := time.Now()
	for number := from; number < to; number++ {
		go func() {
			status := 0
			for status != http.StatusOK && time.Since(began) < bound {
				status = f.request(1, fmt.Sprint("attempt-", number), "/patient/", fmt.Sprintf("m%02d", number)).status
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
}

// waitLoaded waits until so many models have been loaded, as long as the bound allows.
func waitLoaded(replicas []*standInReplica, models int, bound time.Duration) int {
	for began := time.Now(); modelsLoaded(replicas) < models && time.Since(began) < bound; {
		time.Sleep(100 * time.Millisecond)
	}
	return modelsLoaded(replicas)
}

func runLeaseHolderFaults(t *testing.T, seed uint64, least, spread time.Duration, trouble leaseHolderFault) {
	draw := rand.New(rand.NewPCG(seed, 83))
	replicas := emptyReplicas()
	f := startFleet(t, 1, replicas...)
	time.Sleep(3*time.Second + time.Duration(draw.Int64N(int64(3*time.Second))))
	assert.Equal(t, f.put(1, 0, 1, manyModels()).status, http.StatusOK)
	f.requestModels(0, storedModels, everythingStood)
	f.injectLeaseHolderFaults(draw, least, spread, trouble)
	loaded := waitLoaded(replicas, storedModels, everythingStood-troublesEnd)
	assert.Equal(t, loaded, storedModels, "every model that is asked for is loaded in the end")
	assert.Assert(t, mostLoads(replicas) <= storeLoads, "seed %d: %d loads began within %s", seed, mostLoads(replicas), storePeriod)
}

func TestLoadRate_KeptWhileLeaseHolderFailsRepeatedly(t *testing.T) {
	paces := map[string]struct{ least, spread time.Duration }{
		"every 0.6 to 1.7 s": {600 * time.Millisecond, 1100 * time.Millisecond},
		"every 1.6 to 3.1 s": {1600 * time.Millisecond, 1500 * time.Millisecond},
	}
	troubles := map[string]leaseHolderFault{
		"killed": killAndStart, "killed without power": killWithoutPower, "killed or frozen": killOrFreeze,
	}
	for often, pace := range paces {
		for name, trouble := range troubles {
			for seed := range uint64(casesFor(4, 40)) {
				t.Run(fmt.Sprintf("%s %s, seed %d", name, often, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runLeaseHolderFaults(t, seed, pace.least, pace.spread, trouble) })
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
		assert.Equal(t, f.put(1, 0, 1, manyModels()).status, http.StatusOK)
		time.Sleep(2 * time.Second)
		holder := hostOf(newOperators(f, 1, 1, 2, 3).status(coreHost(1)).PlacementHolder)
		for number := 1; number <= 3; number++ {
			if host := coreHost(number); host != holder {
				f.kill(host)
				f.wipe(host)
				f.startCore(host, false, 1, 2, 3)
				time.Sleep(2 * syncTime)
			}
		}
		f.requestModels(0, storedModels, everythingStood)
		loaded := waitLoaded(replicas, storedModels, storedModels*time.Second)
		assert.Equal(t, loaded, storedModels, "a load a second, and some at once")
	})
}
