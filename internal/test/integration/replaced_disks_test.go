package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	replacedReplicas   = 12
	modelsPerReplica   = 2
	replicasPerCrash   = 4
	crashCount         = 4
	crashInterval      = 1100 * time.Millisecond
	settleAfterCrashes = 25 * time.Second
	diskLoadDuration   = 250 * time.Millisecond
)

// diskFate is the state of a replica's disk when the replica comes back at its address.
type diskFate int

const (
	diskKept diskFate = iota
	diskLost
	diskPartlyKept
)

// returnReplica replaces a replica by another incarnation at its address, with nothing loaded.
func (f *fleet) returnReplica(lost *standInReplica, id string, fate diskFate) *standInReplica {
	f.loseReplicas(hostOf(lost.listed.Address), lost.listed.ID)
	time.Sleep(100 * time.Millisecond)
	returned := newStandInReplica(id, hostOf(lost.listed.Address), lost.listed.Zone)
	returned.loadTime, returned.diskLoadTime = lost.loadTime, lost.diskLoadTime
	lost.lock.Lock()
	defer lost.lock.Unlock()
	returned.modelsOnDisk = map[string]bool{}
	for model := range lost.modelsOnDisk {
		if fate == diskKept || fate == diskPartlyKept && len(returned.modelsOnDisk) == 0 {
			returned.modelsOnDisk[model] = true
		}
	}
	f.addReplica(returned)
	return returned
}

// loadedReplicas returns replicas that each have two models of their own loaded.
func loadedReplicas() []*standInReplica {
	var replicas []*standInReplica
	for number := range replacedReplicas {
		models := []string{fmt.Sprintf("m%02d", 2*number%modelCount), fmt.Sprintf("m%02d", (2*number+1)%modelCount)}
		standIn := newStandInReplica(fmt.Sprint("i-", number), fmt.Sprintf("10.1.2.%d", number+1), "north", models...)
		standIn.loadTime, standIn.diskLoadTime = time.Second, diskLoadDuration
		standIn.modelsOnDisk = map[string]bool{}
		for _, model := range models {
			standIn.modelsOnDisk[model] = true
		}
		replicas = append(replicas, standIn)
	}
	return replicas
}

// crashRepeatedly crashes several replicas at a time and replaces them at their addresses. It returns all replicas,
// including the replaced ones.
func (f *fleet) crashRepeatedly(rng *rand.Rand, replicas []*standInReplica, fate diskFate) []*standInReplica {
	all := append([]*standInReplica(nil), replicas...)
	for crash := range crashCount {
		for _, index := range rng.Perm(len(replicas))[:replicasPerCrash] {
			id := fmt.Sprintf("i-%d-%d", index, crash+1)
			replicas[index] = f.returnReplica(replicas[index], id, fate)
			all = append(all, replicas[index])
		}
		time.Sleep(crashInterval - replicasPerCrash*100*time.Millisecond)
	}
	time.Sleep(settleAfterCrashes)
	return all
}

func TestLoadRate_KeptWhenReplicasComeBackAtTheirAddresses(t *testing.T) {
	fates := map[string]diskFate{"with their disks": diskKept, "with empty disks": diskLost, "with half of their disks": diskPartlyKept}
	for name, fate := range fates {
		for seed := range uint64(casesFor(3, 20)) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					rng := rand.New(rand.NewPCG(seed, 84))
					replicas := loadedReplicas()
					f := startFleet(t, 1, replicas...)
					time.Sleep(3 * time.Second)
					assert.Equal(t, f.putConfiguration(1, 0, manyModels()).status, http.StatusOK)
					time.Sleep(2 * time.Second)
					f.requestModels(0, modelCount, settleAfterCrashes)
					all := f.crashRepeatedly(rng, replicas, fate)
					for number := range modelCount {
						f.waitServed(t, fmt.Sprintf("m%02d", number))
					}
					most := maxLoadsInAnyWindow(all)
					assert.Assert(t, most <= maxLoadsPerWindow, "%d loads began within %s", most, loadRateWindow)
				})
			})
		}
	}
}
