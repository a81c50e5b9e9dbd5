package keystore_test

import (
	"context"
	"errors"
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

var (
	errNeverVoted = errors.New("a member did not get its vote back in time")
	errNoMajority = errors.New("no majority although all members are up")
)

const (
	// voteTimeout limits the time until all members vote again after a fault.
	voteTimeout = time.Minute
	// shutDownTime is the fake time in which all sleeping goroutines end.
	shutDownTime = time.Minute
)

// forEachSeed runs the schedule of each seed in fake time.
func forEachSeed(t *testing.T, amount int, run func(seed uint64) error) {
	t.Helper()
	from, to := keystoresim.SeedRange(amount)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			assert.NilError(t, run(uint64(seed)), "%s=%d replays this schedule", keystoresim.SeedVariable, seed)
		})
	}
}

// findFailure returns the first seed below limit whose schedule fails, with its error, or 0 if none does.
func findFailure(t *testing.T, limit int, run func(seed uint64) error) (seed int, failure error) {
	t.Helper()
	for seed = 1; seed < limit; seed++ {
		synctest.Test(t, func(*testing.T) { failure = run(uint64(seed)) })
		if failure != nil {
			return seed, failure
		}
	}
	return 0, nil
}

func bootstrap(cluster *keystoresim.Cluster) {
	for _, name := range cluster.Names {
		cluster.Start(name, true)
	}
}

func shutDown(cluster *keystoresim.Cluster) {
	for _, name := range cluster.MemberNames() {
		cluster.Kill(name)
	}
	time.Sleep(shutDownTime)
}

// readAfterPowerLoss cuts the power of all machines at once, restarts them and reads a key.
func readAfterPowerLoss(cluster *keystoresim.Cluster, key string, random *rand.Rand) (document, error) {
	cluster.Lossy = false
	for _, name := range cluster.MemberNames() {
		cluster.Kill(name)
		cluster.LosePower(name, random)
	}
	for _, name := range cluster.MemberNames() {
		cluster.Start(name, false)
	}
	return readBack(cluster, cluster.MemberNames()[0], key)
}

// readBack reads a key at a machine, with retries until a majority is up.
func readBack(cluster *keystoresim.Cluster, name, key string) (document, error) {
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		register, err := cluster.StoreOf(name).Read(ctx, key)
		cancel()
		if err == nil {
			return decodeDocument(register), nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return document{}, errNoMajority
}

// injectMachineFault injects a random fault of a single machine.
func injectMachineFault(cluster *keystoresim.Cluster, name string, random *rand.Rand, maxDuration time.Duration) {
	fault := keystoresim.MachineFaults[random.IntN(len(keystoresim.MachineFaults))]
	duration := time.Duration(random.IntN(int(maxDuration/time.Millisecond))+20) * time.Millisecond
	fault(cluster, name, random, duration)
}

// startClients starts clients that read and change the configuration.
func startClients(
	cluster *keystoresim.Cluster, seed, source uint64, count int, until time.Time, recorded *history,
) *sync.WaitGroup {
	var clients sync.WaitGroup
	for number := range count {
		random := rand.New(rand.NewPCG(seed, source+uint64(number)))
		clients.Go(func() { runClient(cluster, number, random, until, recorded) })
	}
	return &clients
}

// runMachineFaults injects faults into one machine after the other while clients read and change a key.
func runMachineFaults(seed uint64, size int, votesWithoutCatchUp bool) error {
	cluster := keystoresim.New(seed, size)
	random := rand.New(rand.NewPCG(seed, 7))
	cluster.Lossy = seed%2 == 0
	bootstrap(cluster)
	defer shutDown(cluster)
	cluster.VotesWithoutCatchUp = votesWithoutCatchUp
	recorded := &history{}
	until := time.Now().Add(12 * time.Second)
	clients := startClients(cluster, seed, 100, 3, until, recorded)
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.IntN(700)+50) * time.Millisecond)
		injectMachineFault(cluster, cluster.Names[random.IntN(size)], random, 1500*time.Millisecond)
		if !cluster.WaitUntilAllVote(voteTimeout) {
			return errNeverVoted
		}
	}
	clients.Wait()
	final, err := readAfterPowerLoss(cluster, keystore.ConfigurationKey, random)
	if err != nil {
		return err
	}
	return recorded.check(final)
}

// runReplacements replaces members, with interrupted drivers, and injects faults into other members meanwhile.
func runReplacements(seed uint64) error {
	cluster := keystoresim.New(seed, 3)
	random := rand.New(rand.NewPCG(seed, 17))
	bootstrap(cluster)
	defer shutDown(cluster)
	recorded := &history{}
	until := time.Now().Add(25 * time.Second)
	clients := startClients(cluster, seed, 200, 2, until, recorded)
	var failure error
	for turn := 0; time.Now().Before(until) && failure == nil; turn++ {
		time.Sleep(time.Duration(random.IntN(900)+100) * time.Millisecond)
		name := cluster.MemberNames()[random.IntN(3)]
		if random.IntN(2) == 0 {
			failure = cluster.Replace(name, fmt.Sprintf("newcomer-%d", turn), random)
		} else {
			injectMachineFault(cluster, name, random, 800*time.Millisecond)
		}
		if failure == nil && !cluster.WaitUntilAllVote(voteTimeout) {
			failure = errNeverVoted
		}
	}
	clients.Wait()
	if failure != nil {
		return failure
	}
	final, err := readBack(cluster, cluster.MemberNames()[0], keystore.ConfigurationKey)
	if err != nil {
		return err
	}
	return recorded.check(final)
}

var zoneSizes = [][]int{{2, 2, 1}, {2, 1, 1, 1}, {1, 2, 1, 1}}

// scheduledKeys are the keys that operators change in a zoneSchedule.
var scheduledKeys = []string{keystore.ConfigurationKey, keystore.ZonePrefix + "a"}

// zoneSchedule simulates five members in zones with coinciding faults, while operators change two keys and every member
// follows one of them.
type zoneSchedule struct {
	seed uint64
	// faults are injected at about the same time.
	faults          []keystoresim.Fault
	replacesMembers bool
	retransmits     bool
	// breakCluster makes the cluster a broken variant. It may be nil.
	breakCluster func(cluster *keystoresim.Cluster)
}

// run runs the schedule. It returns the reports by key; with an error they contain what was observed until then.
func (s zoneSchedule) run() (map[string]*report, error) {
	cluster := keystoresim.New(s.seed, 5)
	random := rand.New(rand.NewPCG(s.seed, 23))
	cluster.AssignZones(zoneSizes[s.seed%3]...)
	cluster.Lossy, cluster.Retransmits = s.seed%2 == 0, s.retransmits
	if s.breakCluster != nil {
		s.breakCluster(cluster)
	}
	bootstrap(cluster)
	defer shutDown(cluster)
	reports := map[string]*report{}
	for _, key := range scheduledKeys {
		reports[key] = newReport()
	}
	if err := s.runFaults(cluster, random, reports); err != nil {
		return reports, err
	}
	for key, seen := range reports {
		final, err := readAfterPowerLoss(cluster, key, random)
		if err != nil {
			return reports, err
		}
		if err := seen.check(final); err != nil {
			return reports, err
		}
	}
	return reports, nil
}

// runFaults returns the first failure once all goroutines have ended.
func (s zoneSchedule) runFaults(cluster *keystoresim.Cluster, random *rand.Rand, reports map[string]*report) error {
	until := time.Now().Add(12 * time.Second)
	var workers sync.WaitGroup
	failures := make(chan error, 16)
	for position, key := range scheduledKeys {
		for number := range 2 {
			caller := operator{
				cluster: cluster,
				key:     key,
				number:  number,
				random:  rand.New(rand.NewPCG(s.seed, uint64(300+10*position+number))),
				until:   until,
				report:  reports[key],
			}
			workers.Go(caller.run)
		}
	}
	for position, name := range cluster.MemberNames() {
		interval := 353*time.Millisecond + time.Duration(position*997)
		workers.Go(func() {
			failures <- followKey(cluster, name, keystore.ConfigurationKey, interval, until)
		})
	}
	var failure error
	for turn := 0; time.Now().Before(until) && failure == nil; turn++ {
		failure = s.injectFaults(cluster, random, turn)
	}
	failures <- failure
	workers.Wait()
	close(failures)
	for failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// injectFaults injects the faults, and waits until all members vote again.
func (s zoneSchedule) injectFaults(cluster *keystoresim.Cluster, random *rand.Rand, turn int) error {
	time.Sleep(time.Duration(random.Int64N(int64(700*time.Millisecond))) + 50*time.Millisecond)
	var together sync.WaitGroup
	for _, fault := range s.faults {
		name := pick(cluster.MemberNames(), random)
		duration := time.Duration(random.Int64N(int64(2500*time.Millisecond))) + 20*time.Millisecond
		source := rand.New(rand.NewPCG(random.Uint64(), 29))
		together.Go(func() {
			time.Sleep(time.Duration(source.Int64N(int64(100 * time.Millisecond))))
			fault(cluster, name, source, duration)
		})
	}
	together.Wait()
	if s.replacesMembers && random.IntN(2) == 0 {
		if err := replaceDuringZoneLoss(cluster, random, turn); err != nil {
			return err
		}
	}
	if !cluster.WaitUntilAllVote(voteTimeout) {
		return errNeverVoted
	}
	return nil
}

func replaceDuringZoneLoss(cluster *keystoresim.Cluster, random *rand.Rand, turn int) error {
	replaced := pick(cluster.MemberNames(), random)
	source := rand.New(rand.NewPCG(random.Uint64(), 31))
	duration := time.Duration(random.Int64N(int64(3*time.Second))) + time.Second
	var together sync.WaitGroup
	together.Go(func() { keystoresim.LoseOtherZone(cluster, replaced, source, duration) })
	err := cluster.Replace(replaced, fmt.Sprintf("newcomer-%d", turn), random)
	together.Wait()
	return err
}
