package keystore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

var zoneSizes = [][]int{{2, 2, 1}, {2, 1, 1, 1}, {1, 2, 1, 1}}

type schedule struct {
	seed            uint64
	faults          []keystoresim.Fault
	replacesMembers bool
	retransmits     bool
	breakCluster    func(cluster *keystoresim.Cluster)
}

func (s schedule) run() (map[string]*clientReport, error) {
	cluster := keystoresim.New(s.seed, 5)
	random := rand.New(rand.NewPCG(s.seed, 23))
	cluster.AssignZones(zoneSizes[s.seed%3]...)
	cluster.Lossy, cluster.Retransmits = s.seed%2 == 0, s.retransmits
	if s.breakCluster != nil {
		s.breakCluster(cluster)
	}
	for _, name := range cluster.Names {
		cluster.Start(name, true)
	}
	reports := map[string]*clientReport{
		keystore.ConfigurationKey: newClientReport(),
		keystore.ZonePrefix + "a": newClientReport(),
	}
	until := time.Now().Add(12 * time.Second)
	var working sync.WaitGroup
	failures := make(chan error, 16)
	for position, key := range []string{keystore.ConfigurationKey, keystore.ZonePrefix + "a"} {
		for number := range 2 {
			source := rand.New(rand.NewPCG(s.seed, uint64(300+10*position+number)))
			working.Go(func() { runOperator(cluster, key, number, source, until, reports[key]) })
		}
	}
	for position, name := range cluster.MemberNames() {
		working.Go(func() {
			failures <- followKey(cluster, name, keystore.ConfigurationKey, 353*time.Millisecond+time.Duration(position*997), until)
		})
	}
	var failed error
	for turn := 0; time.Now().Before(until) && failed == nil; turn++ {
		failed = s.injectFaults(cluster, random, turn)
	}
	failures <- failed
	working.Wait()
	close(failures)
	defer s.shutDown(cluster)
	for failed := range failures {
		if failed != nil {
			return reports, failed
		}
	}
	for key, one := range reports {
		final, err := readAfterRestart(cluster, key, random)
		if err != nil {
			return reports, err
		}
		if err := one.check(final); err != nil {
			return reports, err
		}
	}
	return reports, nil
}

func (s schedule) injectFaults(cluster *keystoresim.Cluster, random *rand.Rand, turn int) error {
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
		if err := s.replaceDuringZoneLoss(cluster, random, turn); err != nil {
			return err
		}
	}
	if !cluster.WaitUntilAllVote(time.Minute) {
		return fmt.Errorf("a member never voted again")
	}
	return nil
}

func (s schedule) replaceDuringZoneLoss(cluster *keystoresim.Cluster, random *rand.Rand, turn int) error {
	lost := pick(cluster.MemberNames(), random)
	var together sync.WaitGroup
	source := rand.New(rand.NewPCG(random.Uint64(), 31))
	duration := time.Duration(random.Int64N(int64(3*time.Second))) + time.Second
	together.Go(func() { keystoresim.LoseOtherZone(cluster, lost, source, duration) })
	err := cluster.Replace(lost, fmt.Sprintf("newcomer-%d", turn), random)
	together.Wait()
	return err
}

func (s schedule) shutDown(cluster *keystoresim.Cluster) {
	for _, name := range cluster.MemberNames() {
		cluster.Kill(name)
	}
	time.Sleep(time.Minute)
}

func readAfterRestart(cluster *keystoresim.Cluster, key string, random *rand.Rand) (document, error) {
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
	return document{}, fmt.Errorf("no majority after all came back")
}
