package linearizability_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"ferryspar/internal/controlstate"
	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

// variant injects one implementation fault that the checks must detect. The zero variant is the unmodified product.
type variant struct {
	breakCluster func(cluster *keystoresim.Cluster)
	// wrapStore wraps the store that the control state uses.
	wrapStore func(store controlstate.Store) controlstate.Store
	// ignoresTokenExpiry lets every attempt of a drain start, even after its token has expired.
	ignoresTokenExpiry bool
	// staysFreshUntilFailure keeps a confirmation valid until a digest fails, however old it is.
	staysFreshUntilFailure bool
	// ignoresUndecided confirms the state in spite of a newer proposal on a minority.
	ignoresUndecided bool
}

// simulation is one run of a schedule.
type simulation struct {
	schedule     schedule
	variant      variant
	cluster      *keystoresim.Cluster
	startedAt    time.Time
	standbyCount int

	lock sync.Mutex
	// faultyMachines have a fault of their process or disk, and get no second one at the same time.
	faultyMachines map[string]bool
	// diskLost holds the machines that started with an empty disk or lost theirs. They count as lost until they vote.
	diskLost           map[string]bool
	machines           []string
	lastHeartbeat      map[[2]string]time.Time
	startedAtByMachine map[string]time.Time
	followers          map[string]*follower
	// committed holds the acknowledged memberships by version.
	committed      map[uint64]keystore.Membership
	knownRevisions [2]int64
	simulationResult
	acknowledgements acknowledgements
	failure          error
	stopped          bool
	callSlots        chan struct{}
	work             sync.WaitGroup
}

// maxConcurrentCalls is the maximum number of concurrent calls.
const maxConcurrentCalls = 8

// simulationResult is the history and the event counts of a simulation.
type simulationResult struct {
	history           []callRecord
	membershipChanges uint64
	acts              []leaseAct
	polls             int
	faults            int
}

// runSimulation runs a schedule in fake time. The error is the first failure, if any.
func runSimulation(planned schedule, broken variant) (simulationResult, error) {
	s := &simulation{
		schedule:           planned,
		variant:            broken,
		cluster:            keystoresim.New(planned.seed, planned.size),
		startedAt:          time.Now(),
		faultyMachines:     map[string]bool{},
		diskLost:           map[string]bool{},
		lastHeartbeat:      map[[2]string]time.Time{},
		startedAtByMachine: map[string]time.Time{},
		followers:          map[string]*follower{},
		committed:          map[uint64]keystore.Membership{},
		callSlots:          make(chan struct{}, maxConcurrentCalls),
		acknowledgements:   newAcknowledgements(),
	}
	s.cluster.Lossy = planned.lossy
	if planned.size == 3 {
		s.cluster.AssignZones(1, 1, 1)
	} else {
		s.cluster.AssignZones(2, 2, 1)
	}
	if broken.breakCluster != nil {
		broken.breakCluster(s.cluster)
	}
	for _, name := range s.cluster.Names {
		s.cluster.Start(name, true)
		s.startMachine(name)
	}
	if planned.standby {
		s.startStandby(s.cluster.Names[0])
	}
	go s.exchangeHeartbeats()
	s.runSchedule()
	err := s.finish()
	done := s.simulationResult
	done.membershipChanges = s.newestMembership().Version - 1
	s.shutDown()
	return done, err
}

func (s *simulation) now() time.Duration { return time.Since(s.startedAt) }

func (s *simulation) fail(err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.failure == nil {
		s.failure = err
	}
}

func (s *simulation) isStopped() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.stopped
}

// runSchedule runs all faults and calls, and returns once each has ended.
func (s *simulation) runSchedule() {
	for index, item := range s.schedule.faults {
		s.work.Go(func() {
			time.Sleep(item.at + time.Duration(index*211))
			s.injectFault(item)
		})
	}
	for _, item := range s.schedule.calls {
		s.work.Go(func() {
			time.Sleep(item.at + time.Duration(item.number*337))
			s.callSlots <- struct{}{}
			s.sendCall(item)
			<-s.callSlots
		})
	}
	s.work.Wait()
}

// startMachine starts the periodic tasks of a machine.
func (s *simulation) startMachine(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.startedAtByMachine[name] = time.Now()
	s.followers[name] = newFollower(s, name)
	s.machines = append(s.machines, name)
	go s.followers[name].run()
	go s.followers[name].pollConfirmed()
	go s.manageMembership(name, len(s.followers))
	go s.holdLease(name, len(s.followers))
}

// finish runs after all faults have ended: it cuts the power of all machines at once, restarts them and reads back the state.
func (s *simulation) finish() error {
	s.cluster.Lossy = false
	random := rand.New(rand.NewPCG(s.schedule.seed, 43))
	names := s.cluster.MemberNames()
	for _, name := range names {
		s.cluster.Kill(name)
		s.cluster.LosePower(name, random)
	}
	time.Sleep(time.Second)
	for _, name := range names {
		s.cluster.Start(name, false)
	}
	if err := s.readBack(names); err != nil {
		return err
	}
	s.resendAcknowledged(names)
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.failure
}

// readBackRounds is how often each final read is tried on all nodes.
const readBackRounds = 12

func (s *simulation) readBack(names []string) error {
	reads := []operatorCall{{number: -1, kind: callGet}}
	for _, zone := range zoneNames {
		reads = append(reads, operatorCall{number: -1, kind: callReadZone, zone: zone})
	}
	for _, read := range reads {
		found := false
		for attempt := 0; attempt < readBackRounds*len(names) && !found; attempt++ {
			last := s.attempt(read, 0, names[attempt%len(names)])
			if found = last.result == acknowledged; found {
				s.record(last)
			} else {
				time.Sleep(300 * time.Millisecond)
			}
		}
		if !found {
			return errors.Wrapf(errNoAnswer, "final %s after the restart of all machines", callNames[read.kind])
		}
	}
	return nil
}

// resendAcknowledged resends acknowledged configurations, which must be recognized as applied.
func (s *simulation) resendAcknowledged(names []string) {
	s.lock.Lock()
	history := append([]callRecord(nil), s.history...)
	s.lock.Unlock()
	for index, record := range history {
		if record.result == acknowledged && (record.call.kind == callPut || record.call.kind == callPatch) {
			resent := s.attempt(record.call, record.condition, names[index%len(names)])
			resent.note = "(resent at the end)"
			s.record(resent)
		}
	}
}

func (s *simulation) record(record callRecord) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.history = append(s.history, record)
}

func (s *simulation) shutDown() {
	s.lock.Lock()
	s.stopped = true
	names := s.machines
	s.lock.Unlock()
	for _, name := range names {
		s.cluster.Kill(name)
	}
	time.Sleep(time.Minute)
}

func (s *simulation) controlState(store *keystore.Store, name string) *controlstate.State {
	var wrapped controlstate.Store = store
	if s.variant.wrapStore != nil {
		wrapped = s.variant.wrapStore(wrapped)
	}
	zones := map[string]string{}
	for _, zone := range zoneNames {
		zones[zone] = "land"
	}
	return &controlstate.State{Store: wrapped, Zones: zones, Clock: s.cluster.Clock(name)}
}

// waitWhileFrozen delays a step of a machine's process while the machine is frozen.
func (s *simulation) waitWhileFrozen(name string) {
	for s.cluster.IsFrozen(name) {
		time.Sleep(3*time.Millisecond + 11*time.Nanosecond)
	}
}

func withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}
