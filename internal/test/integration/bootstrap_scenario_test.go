package integration

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ferryspar/internal/controlplane"
	"ferryspar/internal/test/keystoresim"
)

// memberProcess is one run of a control-plane node, which may be killed before it has opened its disk.
type memberProcess struct {
	lock   sync.Mutex
	handle *keystoresim.Handle
	killed bool
}

// bootstrapScenario is a fleet whose members are killed while the cluster starts for the first time.
type bootstrapScenario struct {
	fleet     *fleet
	seeds     []int
	disks     map[string]*keystoresim.Disk
	lock      sync.Mutex
	processes map[string]*memberProcess
	rng       *rand.Rand
}

func newBootstrapScenario(t *testing.T, cores, losses int, seeds []int, seed uint64) *bootstrapScenario {
	s := &bootstrapScenario{
		fleet:     startFleetOf(t, 0, losses, 0),
		seeds:     seeds,
		disks:     map[string]*keystoresim.Disk{},
		processes: map[string]*memberProcess{},
		rng:       rand.New(rand.NewPCG(seed, 1)),
	}
	for number := 1; number <= cores; number++ {
		s.disks[coreHost(number)] = keystoresim.NewDisk()
	}
	return s
}

func (s *bootstrapScenario) cores() int { return len(s.disks) }

// startMembers starts every member, in random order, startStagger apart.
func (s *bootstrapScenario) startMembers(bootstrap bool) {
	for position, number := range s.rng.Perm(s.cores()) {
		s.startMember(coreHost(number+1), bootstrap, time.Duration(position)*startStagger)
	}
}

// startMember starts one member after a delay, unless it is killed before.
func (s *bootstrapScenario) startMember(host string, bootstrap bool, delay time.Duration) {
	process := &memberProcess{handle: s.disks[host].Attach()}
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
		daemon, err := controlplane.New(s.fleet.settings(host, bootstrap, s.seeds...), "", s.fleet.network.machine(host), process.handle)
		process.lock.Lock()
		defer process.lock.Unlock()
		if err == nil && !process.killed {
			s.fleet.launch(host, daemon.Run)
		}
	}()
}

// killMembers ends members at the same instant. With losePower, a random part of their unsynced writes is lost.
func (s *bootstrapScenario) killMembers(losePower bool, hosts ...string) {
	for _, host := range hosts {
		s.lock.Lock()
		process := s.processes[host]
		s.lock.Unlock()
		process.handle.Kill()
		process.lock.Lock()
		process.killed = true
		if running := s.fleet.runningNode(host); running != nil {
			running.cancel()
		}
		process.lock.Unlock()
		s.fleet.network.resetHost(host)
	}
	time.Sleep(10 * time.Millisecond)
	for _, host := range hosts {
		s.fleet.network.resetHost(host)
		if losePower {
			s.lock.Lock()
			s.disks[host].LosePower(s.rng)
			s.lock.Unlock()
		}
	}
}

// partitionStandbys partitions the members beyond the first three from those three, or heals the partition.
func (s *bootstrapScenario) partitionStandbys(partitioned bool) {
	for founder := 1; founder <= 3; founder++ {
		for standby := 4; standby <= s.cores(); standby++ {
			s.fleet.network.partition(coreHost(founder), coreHost(standby), partitioned)
		}
	}
}

func (s *bootstrapScenario) hosts() []string {
	var hosts []string
	for number := 1; number <= s.cores(); number++ {
		hosts = append(hosts, coreHost(number))
	}
	return hosts
}

// checkOneCluster expects the first configuration to be acknowledged within bootstrapTimeout and all members to
// agree on the membership and the revision.
func (s *bootstrapScenario) checkOneCluster(t *testing.T, members int) {
	t.Helper()
	began, last := time.Now(), reply{}
	for last.status != http.StatusOK && time.Since(began) < bootstrapTimeout {
		last = s.fleet.putConfiguration(1+s.rng.IntN(s.cores()), 0, document(1, ""))
		time.Sleep(initialBackoff)
	}
	assert.Equal(t, last.status, http.StatusOK, "the first configuration is not acknowledged: %s", last.body)
	time.Sleep(syncTime + time.Duration(2*members)*time.Second)
	o := newOperators(s.fleet, 1, 1)
	first := o.status(coreHost(1)).Members
	assert.Equal(t, len(first), members)
	for _, host := range s.hosts() {
		status := o.status(host)
		assert.Assert(t, slices.Equal(status.Members, first), "%s: members %v, others %v", host, status.Members, first)
		assert.Equal(t, int(status.Revision), 1, "%s", host)
	}
	assert.Equal(t, s.fleet.putConfiguration(2%s.cores()+1, 0, document(2, "")).status, http.StatusPreconditionFailed)
	assert.Equal(t, s.fleet.putConfiguration(2%s.cores()+1, 1, document(2, "")).status, http.StatusOK)
}

// uptimeLimits bound how long a member runs: some runs end before the disk is written, some after a vote was cast.
var uptimeLimits = []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, bootstrapSweep}

// restartRandomly kills and starts one member at random moments for a duration and leaves it running.
func (s *bootstrapScenario) restartRandomly(host string, rng *rand.Rand, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.IntN(int(uptimeLimits[rng.IntN(len(uptimeLimits))]))))
		s.killMembers(rng.IntN(2) == 0, host)
		time.Sleep(time.Duration(rng.IntN(int(restartDelay))))
		s.startMember(host, false, 0)
	}
}
