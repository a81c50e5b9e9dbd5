package story

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane"
	"ferryspar/internal/membersim"
)

const (
	startStagger   = 15 * time.Millisecond
	restartDelay   = 300 * time.Millisecond
	foundedWithin  = 4 * time.Second
	foundingSweep  = 600 * time.Millisecond
	foundingStep   = 5 * time.Millisecond
	foundingStride = 8
)

// coreProcess is one life of a control daemon, which may be killed before it has opened its disk.
type coreProcess struct {
	lock   sync.Mutex
	handle *membersim.Handle
	killed bool
}

// foundingStory is a fleet whose control daemons are killed while the system starts for the first time.
type foundingStory struct {
	f         *fleet
	seeds     []int
	disks     map[string]*membersim.Disk
	lock      sync.Mutex
	processes map[string]*coreProcess
	draw      *rand.Rand
}

func newFoundingStory(t *testing.T, cores, losses int, seeds []int, seed uint64) *foundingStory {
	s := &foundingStory{
		f: startFleetOf(t, 0, losses, 0), seeds: seeds, disks: map[string]*membersim.Disk{}, processes: map[string]*coreProcess{},
		draw: rand.New(rand.NewPCG(seed, 1)),
	}
	for number := 1; number <= cores; number++ {
		s.disks[coreHost(number)] = membersim.NewDisk()
	}
	return s
}

func (s *foundingStory) cores() int { return len(s.disks) }

// start begins a life of every daemon, in drawn order, one shortly after the other.
func (s *foundingStory) start(bootstrap bool) {
	for position, number := range s.draw.Perm(s.cores()) {
		s.startOne(coreHost(number+1), bootstrap, time.Duration(position)*startStagger)
	}
}

func (s *foundingStory) startOne(host string, bootstrap bool, delay time.Duration) {
	process := &coreProcess{handle: s.disks[host].Attach()}
	s.lock.Lock()
	s.processes[host] = process
	s.lock.Unlock()
	go func() {
		time.Sleep(delay)
		process.lock.Lock()
		killed := process.killed
		process.lock.Unlock()
		if killed {
			return
		}
		daemon, err := controlplane.New(s.f.settings(host, bootstrap, s.seeds...), "", s.f.network.machine(host), process.handle)
		process.lock.Lock()
		defer process.lock.Unlock()
		if err == nil && !process.killed {
			s.f.launch(host, daemon.Run)
		}
	}()
}

// kill ends daemons at the same instant; with power their unsynced writes meet the fate that is drawn.
func (s *foundingStory) kill(power bool, hosts ...string) {
	for _, host := range hosts {
		s.lock.Lock()
		process := s.processes[host]
		s.lock.Unlock()
		process.handle.Kill()
		process.lock.Lock()
		process.killed = true
		if running := s.f.daemon(host); running != nil {
			running.cancel()
		}
		process.lock.Unlock()
		s.f.network.breakOff(host)
	}
	time.Sleep(10 * time.Millisecond)
	for _, host := range hosts {
		s.f.network.breakOff(host)
		if power {
			s.lock.Lock()
			s.disks[host].LosePower(s.draw)
			s.lock.Unlock()
		}
	}
}

func (s *foundingStory) hosts() []string {
	var hosts []string
	for number := 1; number <= s.cores(); number++ {
		hosts = append(hosts, coreHost(number))
	}
	return hosts
}

// checkFounded expects the first configuration to be acknowledged soon, and all daemons to be one system.
func (s *foundingStory) checkFounded(t *testing.T, members int) {
	t.Helper()
	began, last := time.Now(), reply{}
	for last.status != http.StatusOK && time.Since(began) < foundedWithin {
		last = s.f.put(1+s.draw.IntN(s.cores()), 0, 1, document(1, ""))
		time.Sleep(firstPause)
	}
	assert.Equal(t, last.status, http.StatusOK, "the first configuration is not acknowledged: %s", last.body)
	time.Sleep(syncTime + time.Duration(2*members)*time.Second)
	o := newOperators(s.f, 1, 1)
	first := o.status(coreHost(1)).Members
	assert.Equal(t, len(first), members)
	for _, host := range s.hosts() {
		status := o.status(host)
		assert.Assert(t, slices.Equal(status.Members, first), "%s: members %v, others %v", host, status.Members, first)
		assert.Equal(t, int(status.Revision), 1, "%s", host)
	}
	assert.Equal(t, s.f.put(2%s.cores()+1, 0, 2, document(2, "")).status, http.StatusPreconditionFailed)
	assert.Equal(t, s.f.put(2%s.cores()+1, 1, 2, document(2, "")).status, http.StatusOK)
}

// foundingMoments are the moments after the start at which all daemons are killed.
func foundingMoments(offset int) []time.Duration {
	var found []time.Duration
	stride := bySweep(foundingStride, 1)
	for step := offset % stride; time.Duration(step)*foundingStep <= foundingSweep; step += stride {
		found = append(found, time.Duration(step)*foundingStep)
	}
	return found
}

// foundingCase is a deployment and how often all its daemons are killed before they stay.
type foundingCase struct {
	name    string
	cores   int
	losses  int
	seeds   []int
	members int
	kills   int
	power   bool
}

var foundingCases = []foundingCase{
	{"three", 3, 1, []int{1, 2, 3}, 3, 1, false},
	{"three without power", 3, 1, []int{1, 2, 3}, 3, 1, true},
	{"three, four times", 3, 1, []int{1, 2, 3}, 3, 4, true},
	{"five", 5, 2, []int{1, 2, 3}, 5, 1, false},
	{"five, without power, twice", 5, 2, []int{1, 2, 3}, 5, 2, true},
	{"one", 1, 0, []int{1}, 1, 1, true},
	{"two, twice", 2, 0, []int{1, 2}, 2, 2, true},
}

func TestGivenAllControlDaemonsKilledWhileTheyFoundTheSystemThenOneSystemIsFounded(t *testing.T) {
	for index, one := range foundingCases {
		for _, moment := range foundingMoments(3 * index) {
			t.Run(fmt.Sprintf("%s, %s", one.name, moment), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newFoundingStory(t, one.cores, one.losses, one.seeds, uint64(moment))
					for life := range one.kills {
						s.start(life == 0)
						time.Sleep(moment)
						s.kill(one.power, s.hosts()...)
						time.Sleep(restartDelay)
					}
					s.start(false)
					s.checkFounded(t, one.members)
				})
			})
		}
	}
}

// lifeBounds are how long a life may last: some end before the disk is written, some after the vote was gained.
var lifeBounds = []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, foundingSweep}

// lives kills and starts one daemon at drawn moments until the bound has passed, and leaves it running.
func (s *foundingStory) lives(host string, draw *rand.Rand, bound time.Duration) {
	for end := time.Now().Add(bound); time.Now().Before(end); {
		time.Sleep(time.Duration(draw.IntN(int(lifeBounds[draw.IntN(len(lifeBounds))]))))
		s.kill(draw.IntN(2) == 0, host)
		time.Sleep(time.Duration(draw.IntN(int(restartDelay))))
		s.startOne(host, false, 0)
	}
}

func TestGivenControlDaemonsThatDieAtAnyMomentsWhileTheyFoundTheSystemThenOneSystemIsFounded(t *testing.T) {
	for seed := range bySweep(12, 400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFoundingStory(t, 3, 1, []int{1, 2, 3}, uint64(seed))
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

func TestGivenAFoundedSystemAndMoreDisksLostThanItBearsThenItWaitsAndNoSecondOneIsFounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFoundingStory(t, 3, 1, []int{1, 2, 3}, 1)
		s.start(true)
		s.checkFounded(t, 3)
		s.kill(false, s.hosts()...)
		for _, host := range []string{coreHost(1), coreHost(2)} {
			s.disks[host] = membersim.NewDisk()
		}
		s.start(false)
		time.Sleep(10 * time.Second)
		for number := 1; number <= 3; number++ {
			assert.Assert(t, s.f.put(number, 0, 1, document(1, "")).status != http.StatusOK, "core %d takes a first configuration again", number)
		}
	})
}

func TestGivenOneDiskLostAndAllKilledRightAfterTheFirstConfigurationThenItIsStillThere(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		synctest.Test(t, func(t *testing.T) {
			s := newFoundingStory(t, 3, 1, []int{1, 2, 3}, uint64(lost))
			s.start(true)
			for s.f.put(1, 0, 1, document(1, "")).status != http.StatusOK {
				time.Sleep(10 * time.Millisecond)
			}
			s.kill(true, s.hosts()...)
			s.disks[coreHost(lost)] = membersim.NewDisk()
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
