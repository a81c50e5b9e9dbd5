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
	errNeverVoted = errors.New("a member never voted again")
	errNoMajority = errors.New("no majority after all came back")
)

const (
	// voteTimeout is how long the members may take to vote again after a fault.
	voteTimeout = time.Minute
	// shutDownTime lets everything that still sleeps come to its end in fake time.
	shutDownTime = time.Minute
)

// forEachSeed plays the schedule of each seed in fake time.
func forEachSeed(t *testing.T, amount int, play func(seed uint64) error) {
	t.Helper()
	from, to := keystoresim.SeedRange(amount)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			assert.NilError(t, play(uint64(seed)), "%s=%d replays this schedule", keystoresim.SeedVariable, seed)
		})
	}
}

// findFailure returns the first of the seeds below limit whose schedule fails, and how; 0 if none does.
func findFailure(t *testing.T, limit int, play func(seed uint64) error) (seed int, failure error) {
	t.Helper()
	for seed = 1; seed < limit; seed++ {
		synctest.Test(t, func(*testing.T) { failure = play(uint64(seed)) })
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

// readAfterPowerLoss takes the power from all machines at once and reads what is left of a key.
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

// readBack reads a key at a machine once a majority is there.
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

// strikeMachine strikes a machine with a fault of its own.
func strikeMachine(cluster *keystoresim.Cluster, name string, random *rand.Rand, maxDuration time.Duration) {
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

// playMachineFaults strikes one machine after the other while clients read and change a key.
func playMachineFaults(seed uint64, size int, votesWithoutCatchUp bool) error {
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
		strikeMachine(cluster, cluster.Names[random.IntN(size)], random, 1500*time.Millisecond)
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

// playReplacements replaces members, by drivers that stop midway, and strikes others meanwhile.
func playReplacements(seed uint64) error {
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
			strikeMachine(cluster, name, random, 800*time.Millisecond)
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

// scheduledKeys are those that operators change in a zoneSchedule.
var scheduledKeys = []string{keystore.ConfigurationKey, keystore.ZonePrefix + "a"}

// zoneSchedule plays five members in zones, whose faults coincide, while operators change two keys and every member follows
// one of them.
type zoneSchedule struct {
	seed uint64
	// faults strike at about the same time.
	faults          []keystoresim.Fault
	replacesMembers bool
	retransmits     bool
	// breakCluster plants a broken variant, and may be nil.
	breakCluster func(cluster *keystoresim.Cluster)
}

// run plays the schedule. The reports are by key; with an error they hold what was seen until then.
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
	if err := s.playFaults(cluster, random, reports); err != nil {
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

// playFaults returns the first failure once everybody is done.
func (s zoneSchedule) playFaults(cluster *keystoresim.Cluster, random *rand.Rand, reports map[string]*report) error {
	until := time.Now().Add(12 * time.Second)
	var working sync.WaitGroup
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
			working.Go(caller.run)
		}
	}
	for position, name := range cluster.MemberNames() {
		interval := 353*time.Millisecond + time.Duration(position*997)
		working.Go(func() {
			failures <- followKey(cluster, name, keystore.ConfigurationKey, interval, until)
		})
	}
	var failure error
	for turn := 0; time.Now().Before(until) && failure == nil; turn++ {
		failure = s.strike(cluster, random, turn)
	}
	failures <- failure
	working.Wait()
	close(failures)
	for failure := range failures {
		if failure != nil {
			return failure
		}
	}
	return nil
}

// strike has the faults strike, and waits until all members vote again.
func (s zoneSchedule) strike(cluster *keystoresim.Cluster, random *rand.Rand, turn int) error {
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
