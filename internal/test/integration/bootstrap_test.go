package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/test/keystoresim"
)

const (
	startStagger     = 15 * time.Millisecond
	restartDelay     = 300 * time.Millisecond
	bootstrapTimeout = 4 * time.Second
	bootstrapSweep   = 600 * time.Millisecond
	bootstrapStep    = 5 * time.Millisecond
	bootstrapStride  = 8
)

// bootstrapMoments are the moments after the start at which all members are killed.
func bootstrapMoments(offset int) []time.Duration {
	var found []time.Duration
	stride := casesFor(bootstrapStride, 1)
	for step := offset % stride; time.Duration(step)*bootstrapStep <= bootstrapSweep; step += stride {
		found = append(found, time.Duration(step)*bootstrapStep)
	}
	return found
}

// bootstrapCase is a deployment and how often all its members are killed before they keep running.
type bootstrapCase struct {
	name       string
	cores      int
	losses     int
	seeds      []int
	members    int
	kills      int
	losesPower bool
}

var bootstrapCases = []bootstrapCase{
	{
		name:       "three",
		cores:      3,
		losses:     1,
		seeds:      []int{1, 2, 3},
		members:    3,
		kills:      1,
		losesPower: false,
	},
	{
		name:       "three without power",
		cores:      3,
		losses:     1,
		seeds:      []int{1, 2, 3},
		members:    3,
		kills:      1,
		losesPower: true,
	},
	{
		name:       "three, four times",
		cores:      3,
		losses:     1,
		seeds:      []int{1, 2, 3},
		members:    3,
		kills:      4,
		losesPower: true,
	},
	{
		name:       "five",
		cores:      5,
		losses:     2,
		seeds:      []int{1, 2, 3},
		members:    5,
		kills:      1,
		losesPower: false,
	},
	{
		name:       "five, without power, twice",
		cores:      5,
		losses:     2,
		seeds:      []int{1, 2, 3},
		members:    5,
		kills:      2,
		losesPower: true,
	},
	{
		name:       "one",
		cores:      1,
		losses:     0,
		seeds:      []int{1},
		members:    1,
		kills:      1,
		losesPower: true,
	},
	{
		name:       "two, twice",
		cores:      2,
		losses:     0,
		seeds:      []int{1, 2},
		members:    2,
		kills:      2,
		losesPower: true,
	},
}

func TestBootstrap_FoundsOneClusterWhenAllMembersAreKilledMeanwhile(t *testing.T) {
	for index, test := range bootstrapCases {
		for _, moment := range bootstrapMoments(3 * index) {
			t.Run(fmt.Sprintf("%s, %s", test.name, moment), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newBootstrapScenario(t, test.cores, test.losses, test.seeds, uint64(moment))
					for start := range test.kills {
						s.startMembers(start == 0)
						time.Sleep(moment)
						s.killMembers(test.losesPower, s.hosts()...)
						time.Sleep(restartDelay)
					}
					s.startMembers(false)
					s.checkOneCluster(t, test.members)
				})
			})
		}
	}
}

func TestBootstrap_FoundsOneClusterWhenMembersDieAtAnyMoment(t *testing.T) {
	for seed := range casesFor(12, 400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newBootstrapScenario(t, 3, 1, []int{1, 2, 3}, uint64(seed))
				s.startMembers(true)
				var group sync.WaitGroup
				for number, host := range s.hosts() {
					group.Go(func() { s.restartRandomly(host, rand.New(rand.NewPCG(uint64(seed), uint64(number))), 3*time.Second) })
				}
				group.Wait()
				s.checkOneCluster(t, 3)
			})
		})
	}
}

func TestBootstrap_NotRepeatedWhenTooManyDisksAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBootstrapScenario(t, 3, 1, []int{1, 2, 3}, 1)
		s.startMembers(true)
		s.checkOneCluster(t, 3)
		s.killMembers(false, s.hosts()...)
		for _, host := range []string{coreHost(1), coreHost(2)} {
			s.disks[host] = keystoresim.NewDisk()
		}
		s.startMembers(false)
		time.Sleep(10 * time.Second)
		for number := 1; number <= 3; number++ {
			assert.Assert(
				t,
				s.fleet.putConfiguration(number, 0, document(1, "")).status != http.StatusOK,
				"core %d accepts a first configuration again",
				number,
			)
		}
	})
}

func TestBootstrap_KeepsFirstConfigurationAfterDiskLossAndKill(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		synctest.Test(t, func(t *testing.T) {
			s := newBootstrapScenario(t, 3, 1, []int{1, 2, 3}, uint64(lost))
			s.startMembers(true)
			for s.fleet.putConfiguration(1, 0, document(1, "")).status != http.StatusOK {
				time.Sleep(10 * time.Millisecond)
			}
			s.killMembers(true, s.hosts()...)
			s.disks[coreHost(lost)] = keystoresim.NewDisk()
			time.Sleep(restartDelay)
			s.startMembers(false)
			time.Sleep(syncTime)
			for number := 1; number <= 3; number++ {
				read := s.fleet.call(http.MethodGet, coreHost(number)+":8166", "/ferryspar/config", "", nil)
				assert.Equal(t, read.status, http.StatusOK, "core %d without the disk of %d: %s", number, lost, read.body)
			}
		})
	}
}

func TestBootstrap_NotRepeatedByNonVotersThatAreEachOthersSeeds(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newBootstrapScenario(t, 6, 1, []int{1, 2, 3}, 1)
			s.partitionStandbys(partitioned)
			s.startMembers(true)
			time.Sleep(2 * restartDelay)
			s.killMembers(true, s.hosts()...)
			s.partitionStandbys(false)
			s.seeds = []int{4, 5, 6}
			for number := 4; number <= 6; number++ {
				s.startMember(coreHost(number), false, 0)
			}
			time.Sleep(10 * time.Second)
			for number := 4; number <= 6; number++ {
				put := s.fleet.putConfiguration(number, 0, document(1, ""))
				assert.Assert(t, put.status != http.StatusOK, "core %d accepts a configuration, partitioned: %t", number, partitioned)
			}
			for number := 1; number <= 3; number++ {
				s.startMember(coreHost(number), false, 0)
			}
			s.checkOneCluster(t, 3)
		})
	}
}
