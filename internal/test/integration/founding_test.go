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
	startStagger   = 15 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
	foundedWithin  = 4 * time.Second
	foundingSweep  = 600 * time.Millisecond
	foundingStep   = 5 * time.Millisecond
	foundingStride = 8
)

// bootstrapMoments are the moments after the start at which all daemons are killed.
func bootstrapMoments(offset int) []time.Duration {
	var found []time.Duration
	stride := casesFor(foundingStride, 1)
	for step := offset % stride; time.Duration(step)*foundingStep <= foundingSweep; step += stride {
		found = append(found, time.Duration(step)*foundingStep)
	}
	return found
}

// bootstrapCase is a deployment and how often all its daemons are killed before they stay.
type bootstrapCase struct {
	name    string
	cores   int
	losses  int
	seeds   []int
	members int
	kills   int
	power   bool
}

var foundingCases = []bootstrapCase{
	{"three", 3, 1, []int{1, 2, 3}, 3, 1, false},
	{"three without power", 3, 1, []int{1, 2, 3}, 3, 1, true},
	{"three, four times", 3, 1, []int{1, 2, 3}, 3, 4, true},
	{"five", 5, 2, []int{1, 2, 3}, 5, 1, false},
	{"five, without power, twice", 5, 2, []int{1, 2, 3}, 5, 2, true},
	{"one", 1, 0, []int{1}, 1, 1, true},
	{"two, twice", 2, 0, []int{1, 2}, 2, 2, true},
}

func TestBootstrap_FoundsOneClusterWhenAllMembersAreKilledMeanwhile(t *testing.T) {
	for index, test := range foundingCases {
		for _, moment := range bootstrapMoments(3 * index) {
			t.Run(fmt.Sprintf("%s, %s", test.name, moment), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newBootstrapScenario(t, test.cores, test.losses, test.seeds, uint64(moment))
					for life := range test.kills {
						s.start(life == 0)
						time.Sleep(moment)
						s.kill(test.power, s.hosts()...)
						time.Sleep(restartDelay)
					}
					s.start(false)
					s.checkFounded(t, test.members)
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
				s.start(true)
				var playing sync.WaitGroup
				for number, host := range s.hosts() {
					playing.Go(func() { s.lives(host, rand.New(rand.NewPCG(uint64(seed), uint64(number))), 3*time.Second) })
				}
				playing.Wait()
				s.checkFounded(t, 3)
			})
		})
	}
}

func TestBootstrap_NotRepeatedWhenTooManyDisksAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newBootstrapScenario(t, 3, 1, []int{1, 2, 3}, 1)
		s.start(true)
		s.checkFounded(t, 3)
		s.kill(false, s.hosts()...)
		for _, host := range []string{coreHost(1), coreHost(2)} {
			s.disks[host] = keystoresim.NewDisk()
		}
		s.start(false)
		time.Sleep(10 * time.Second)
		for number := 1; number <= 3; number++ {
			assert.Assert(
				t,
				s.f.put(number, 0, 1, document(1, "")).status != http.StatusOK,
				"core %d takes a first configuration again",
				number,
			)
		}
	})
}

func TestBootstrap_KeepsFirstConfigurationAfterDiskLossAndKill(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		synctest.Test(t, func(t *testing.T) {
			s := newBootstrapScenario(t, 3, 1, []int{1, 2, 3}, uint64(lost))
			s.start(true)
			for s.f.put(1, 0, 1, document(1, "")).status != http.StatusOK {
				time.Sleep(10 * time.Millisecond)
			}
			s.kill(true, s.hosts()...)
			s.disks[coreHost(lost)] = keystoresim.NewDisk()
			time.Sleep(restartDelay)
			s.start(false)
			time.Sleep(syncTime)
			for number := 1; number <= 3; number++ {
				read := s.f.call(http.MethodGet, coreHost(number)+":8166", "/ferryspar/config", "", nil)
				assert.Equal(t, read.status, http.StatusOK, "core %d without the disk of %d: %s", number, lost, read.body)
			}
		})
	}
}

func TestBootstrap_NotRepeatedByNonVotersThatAreEachOthersSeeds(t *testing.T) {
	for _, apart := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newBootstrapScenario(t, 6, 1, []int{1, 2, 3}, 1)
			s.cutStandbys(apart)
			s.start(true)
			time.Sleep(2 * restartDelay)
			s.kill(true, s.hosts()...)
			s.cutStandbys(false)
			s.seeds = []int{4, 5, 6}
			for number := 4; number <= 6; number++ {
				s.startOne(coreHost(number), false, 0)
			}
			time.Sleep(10 * time.Second)
			for number := 4; number <= 6; number++ {
				put := s.f.put(number, 0, 1, document(1, ""))
				assert.Assert(t, put.status != http.StatusOK, "core %d takes a configuration, apart before: %t", number, apart)
			}
			for number := 1; number <= 3; number++ {
				s.startOne(coreHost(number), false, 0)
			}
			s.checkFounded(t, 3)
		})
	}
}
