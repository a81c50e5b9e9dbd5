package keystore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"

	"gotest.tools/v3/assert"
)

type document struct {
	Version int      `json:"version"`
	Labels  []string `json:"marks"`
}

type operation struct {
	label          string
	started, ended time.Time
	version        int
	read           bool
	acknowledged   bool
}

type history struct {
	lock sync.Mutex
	done []operation
}

func (h *history) add(call operation) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.done = append(h.done, call)
}

func (h *history) check(final document) error {
	versions := map[int]string{}
	for _, call := range h.done {
		if !call.acknowledged {
			continue
		}
		if call.read {
			continue
		}
		if other, taken := versions[call.version]; taken && other != call.label {
			return fmt.Errorf("version %d acknowledged to both %s and %s", call.version, other, call.label)
		}
		versions[call.version] = call.label
		if call.version > len(final.Labels) || final.Labels[call.version-1] != call.label {
			return fmt.Errorf("acknowledged %s at version %d is lost: %v", call.label, call.version, final.Labels)
		}
	}
	for _, earlier := range h.done {
		for _, later := range h.done {
			if !earlier.acknowledged || !later.acknowledged || !earlier.ended.Before(later.started) {
				continue
			}
			if later.version < earlier.version || !later.read && later.version == earlier.version {
				return fmt.Errorf("%s (version %d) ended before %s (version %d) began", earlier.label, earlier.version, later.label, later.version)
			}
		}
	}
	return nil
}

func decodeDocument(register keystore.Register) document {
	var value document
	_ = json.Unmarshal(register.Value, &value)
	return value
}

func runClient(cluster *keystoresim.Cluster, number int, random *rand.Rand, until time.Time, recorded *history) {
	for turn := 0; time.Now().Before(until); turn++ {
		time.Sleep(time.Duration(random.IntN(400)+1) * time.Millisecond)
		store := cluster.StoreOf(pick(cluster.MemberNames(), random))
		if store == nil {
			continue
		}
		call := operation{label: fmt.Sprintf("%d-%d", number, turn), started: time.Now(), read: random.IntN(3) == 0}
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		var register keystore.Register
		var err error
		if call.read {
			register, err = store.Read(ctx, keystore.ConfigurationKey)
		} else {
			register, err = store.Change(ctx, keystore.ConfigurationKey, func(current keystore.Register) (json.RawMessage, error) {
				value := decodeDocument(current)
				value.Version++
				value.Labels = append(append([]string{}, value.Labels...), call.label)
				return json.Marshal(value)
			})
		}
		cancel()
		call.ended, call.acknowledged, call.version = time.Now(), err == nil, decodeDocument(register).Version
		recorded.add(call)
	}
}

func runSchedule(seed uint64, size int, wild bool) error {
	cluster := keystoresim.New(seed, size)
	random := rand.New(rand.NewPCG(seed, 7))
	cluster.Lossy = seed%2 == 0
	for _, name := range cluster.Names {
		cluster.Start(name, true)
	}
	cluster.VotesWithoutCatchUp = wild
	recorded := &history{}
	until := time.Now().Add(12 * time.Second)
	var clients sync.WaitGroup
	for number := range 3 {
		source := rand.New(rand.NewPCG(seed, uint64(100+number)))
		clients.Go(func() { runClient(cluster, number, source, until, recorded) })
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.IntN(700)+50) * time.Millisecond)
		name := cluster.Names[random.IntN(size)]
		keystoresim.MachineFaults[random.IntN(len(keystoresim.MachineFaults))](cluster, name, random, time.Duration(random.IntN(1500)+20)*time.Millisecond)
		if !cluster.WaitUntilAllVote(time.Minute) {
			return fmt.Errorf("a member never voted again")
		}
	}
	clients.Wait()
	cluster.Lossy = false
	for _, name := range cluster.Names {
		cluster.Kill(name)
		cluster.LosePower(name, random)
	}
	for _, name := range cluster.Names {
		cluster.Start(name, false)
	}
	defer func() {
		for _, name := range cluster.Names {
			cluster.Kill(name)
		}
		time.Sleep(time.Minute)
	}()
	last, err := readBack(cluster, cluster.Names[0], keystore.ConfigurationKey)
	if err != nil {
		return err
	}
	return recorded.check(last)
}

func TestStore_KeepsAcknowledgedWritesUnderFaults(t *testing.T) {
	from, to := keystoresim.SeedRange(1200)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			size := 3 + 2*(seed%4/3)
			assert.NilError(t, runSchedule(uint64(seed), size, false), "FERRYSPAR_SEED=%d replays this schedule", seed)
		})
	}
}

func TestStore_WipedMemberVotingAtOnceIsCaught(t *testing.T) {
	caught := 0
	for seed := 1; seed < 400 && caught == 0; seed++ {
		synctest.Test(t, func(t *testing.T) {
			if runSchedule(uint64(seed), 3, true) != nil {
				caught = seed
			}
		})
	}
	assert.Assert(t, caught > 0, "no schedule shows the loss that a wiped voter causes")
}
