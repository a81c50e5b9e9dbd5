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

// coreProcess is one life of a control daemon, which may be killed before it has opened its disk.
type coreProcess struct {
	lock   sync.Mutex
	handle *keystoresim.Handle
	killed bool
}

// bootstrapScenario is a fleet whose control daemons are killed while the system starts for the first time.
type bootstrapScenario struct {
	f         *fleet
	seeds     []int
	disks     map[string]*keystoresim.Disk
	lock      sync.Mutex
	processes map[string]*coreProcess
	draw      *rand.Rand
}

func newBootstrapScenario(t *testing.T, cores, losses int, seeds []int, seed uint64) *bootstrapScenario {
	s := &bootstrapScenario{
		f: startFleetOf(t, 0, losses, 0), seeds: seeds, disks: map[string]*keystoresim.Disk{}, processes: map[string]*coreProcess{},
		draw: rand.New(rand.NewPCG(seed, 1)),
	}
	for number := 1; number <= cores; number++ {
		s.disks[coreHost(number)] = keystoresim.NewDisk()
	}
	return s
}

func (s *bootstrapScenario) cores() int { return len(s.disks) }

// start begins a life of every daemon, in drawn order, one shortly after the other.
func (s *bootstrapScenario) start(bootstrap bool) {
	for position, number := range s.draw.Perm(s.cores()) {
		s.startOne(coreHost(number+1), bootstrap, time.Duration(position)*startStagger)
	}
}

func (s *bootstrapScenario) startOne(host string, bootstrap bool, delay time.Duration) {
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
func (s *bootstrapScenario) kill(power bool, hosts ...string) {
	for _, host := range hosts {
		s.lock.Lock()
		process := s.processes[host]
		s.lock.Unlock()
		process.handle.Kill()
		process.lock.Lock()
		process.killed = true
		if running := s.f.runningNode(host); running != nil {
			running.cancel()
		}
		process.lock.Unlock()
		s.f.network.resetAll(host)
	}
	time.Sleep(10 * time.Millisecond)
	for _, host := range hosts {
		s.f.network.resetAll(host)
		if power {
			s.lock.Lock()
			s.disks[host].LosePower(s.draw)
			s.lock.Unlock()
		}
	}
}

// cutStandbys cuts the daemons that are no founders from the three that are, or heals that.
func (s *bootstrapScenario) cutStandbys(cut bool) {
	for founder := 1; founder <= 3; founder++ {
		for standby := 4; standby <= s.cores(); standby++ {
			s.f.network.partition(coreHost(founder), coreHost(standby), cut)
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

// checkFounded expects the first configuration to be acknowledged soon, and all daemons to be one system.
func (s *bootstrapScenario) checkFounded(t *testing.T, members int) {
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

// lifeBounds are how long a life may last: some end before the disk is written, some after the vote was gained.
var lifeBounds = []time.Duration{60 * time.Millisecond, 150 * time.Millisecond, foundingSweep}

// lives kills and starts one daemon at drawn moments until the bound has passed, and leaves it running.
func (s *bootstrapScenario) lives(host string, draw *rand.Rand, bound time.Duration) {
	for end := time.Now().Add(bound); time.Now().Before(end); {
		time.Sleep(time.Duration(draw.IntN(int(lifeBounds[draw.IntN(len(lifeBounds))]))))
		s.kill(draw.IntN(2) == 0, host)
		time.Sleep(time.Duration(draw.IntN(int(restartDelay))))
		s.startOne(host, false, 0)
	}
}
