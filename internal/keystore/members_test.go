package keystore_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

func runReplacements(seed uint64) error {
	cluster := keystoresim.New(seed, 3)
	random := rand.New(rand.NewPCG(seed, 17))
	for _, name := range cluster.Names {
		cluster.Start(name, true)
	}
	recorded := &history{}
	until := time.Now().Add(25 * time.Second)
	var clients sync.WaitGroup
	for number := range 2 {
		source := rand.New(rand.NewPCG(seed, uint64(200+number)))
		clients.Go(func() { runClient(cluster, number, source, until, recorded) })
	}
	var failed error
	for turn := 0; time.Now().Before(until) && failed == nil; turn++ {
		time.Sleep(time.Duration(random.IntN(900)+100) * time.Millisecond)
		present := cluster.MemberNames()
		lost := present[random.IntN(3)]
		if random.IntN(2) == 0 {
			failed = cluster.Replace(lost, fmt.Sprintf("newcomer-%d", turn), random)
		} else {
			keystoresim.MachineFaults[random.IntN(len(keystoresim.MachineFaults))](cluster, lost, random, time.Duration(random.IntN(800)+20)*time.Millisecond)
		}
		if failed == nil && !cluster.WaitUntilAllVote(time.Minute) {
			failed = fmt.Errorf("a member never voted again")
		}
	}
	clients.Wait()
	final := cluster.MemberNames()
	defer func() {
		for _, name := range final {
			cluster.Kill(name)
		}
		time.Sleep(time.Minute)
	}()
	if failed != nil {
		return failed
	}
	last, err := readBack(cluster, final[0], keystore.ConfigurationKey)
	if err != nil {
		return err
	}
	return recorded.check(last)
}

func TestStore_KeepsAcknowledgedWritesWhileMembersReplaced(t *testing.T) {
	from, to := keystoresim.SeedRange(250)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			assert.NilError(t, runReplacements(uint64(seed)), "FERRYSPAR_SEED=%d replays this schedule", seed)
		})
	}
}

func pick(names []string, random *rand.Rand) string { return names[random.IntN(len(names))] }
