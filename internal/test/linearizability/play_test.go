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

// variant spoils one thing, so that the checks can show that they notice. The zero variant is
// the product as it is.
type variant struct {
	fleet func(cluster *keystoresim.Cluster)
	// store wraps what the control state decides on.
	store func(store controlstate.Store) controlstate.Store
	// ignoresTokenExpiry lets every copy of an evacuation begin, however late it comes.
	ignoresTokenExpiry bool
	// staysFreshUntilFailure counts a confirmation until a look fails, however long ago it was asked.
	staysFreshUntilFailure bool
	// ignoresUndecided confirms in spite of a newer proposal on a minority.
	ignoresUndecided bool
}

// simulation is one run of a schedule.
type simulation struct {
	schedule     schedule
	variant      variant
	fleet        *keystoresim.Cluster
	startedAt    time.Time
	standbyCount int

	lock sync.Mutex
	// busy machines have a trouble of their process or disk; no second one begins there.
	faulted map[string]bool
	// empty machines lost their disk or never had one; they count as lost until they vote.
	diskLost        map[string]bool
	machines        []string
	lastHeartbeat   map[[2]string]time.Time
	startedMachines map[string]time.Time
	followers       map[string]*follower
	// committed are the member lists that were acknowledged, by number.
	committed      map[uint64]keystore.Membership
	knownRevisions [2]int64
	simulationResult
	acknowledgements acknowledgements
	failed           error
	stopped          bool
	callSlots        chan struct{}
	running          sync.WaitGroup
}

// maxConcurrentCalls is how many calls may be under way.
const maxConcurrentCalls = 8

// simulationResult is what came of a play.
type simulationResult struct {
	history           []callRecord
	membershipChanges uint64
	acts              []leaseAct
	polls             int
	faults            int
}

func runSimulation(planned schedule, spoiled variant) (simulationResult, error) {
	p := &simulation{
		schedule:         planned,
		variant:          spoiled,
		fleet:            keystoresim.New(planned.seed, planned.size),
		startedAt:        time.Now(),
		faulted:          map[string]bool{},
		diskLost:         map[string]bool{},
		lastHeartbeat:    map[[2]string]time.Time{},
		startedMachines:  map[string]time.Time{},
		followers:        map[string]*follower{},
		committed:        map[uint64]keystore.Membership{},
		callSlots:        make(chan struct{}, maxConcurrentCalls),
		acknowledgements: newAcknowledgements(),
	}
	p.fleet.Lossy = planned.lossy
	if planned.size == 3 {
		p.fleet.AssignZones(1, 1, 1)
	} else {
		p.fleet.AssignZones(2, 2, 1)
	}
	if spoiled.fleet != nil {
		spoiled.fleet(p.fleet)
	}
	for _, name := range p.fleet.Names {
		p.fleet.Start(name, true)
		p.startMachine(name)
	}
	if planned.standby {
		p.startStandby(p.fleet.Names[0])
	}
	go p.exchangeHeartbeats()
	p.runSchedule()
	err := p.finish()
	done := p.simulationResult
	done.membershipChanges = p.newestMembership().Version - 1
	p.shutDown()
	return done, err
}

func (s *simulation) now() time.Duration { return time.Since(s.startedAt) }

func (s *simulation) fail(err error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.failed == nil {
		s.failed = err
	}
}

func (s *simulation) isStopped() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.stopped
}

// work plays all steps and calls and returns once each has ended.
func (s *simulation) runSchedule() {
	for index, item := range s.schedule.faults {
		s.running.Go(func() {
			time.Sleep(item.at + time.Duration(index*211))
			s.injectFault(item)
		})
	}
	for _, item := range s.schedule.calls {
		s.running.Go(func() {
			time.Sleep(item.at + time.Duration(item.number*337))
			s.callSlots <- struct{}{}
			s.sendCall(item)
			<-s.callSlots
		})
	}
	s.running.Wait()
}

// attend starts what a machine does besides answering messages.
func (s *simulation) startMachine(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.startedMachines[name] = time.Now()
	s.followers[name] = newFollower(s, name)
	s.machines = append(s.machines, name)
	go s.followers[name].run()
	go s.followers[name].pollConfirmed()
	go s.manageMembership(name, len(s.followers))
	go s.holdLease(name, len(s.followers))
}

// settle ends all troubles, takes the power from all machines at once, and reads what is left.
func (s *simulation) finish() error {
	s.fleet.Lossy = false
	random := rand.New(rand.NewPCG(s.schedule.seed, 43))
	names := s.fleet.MemberNames()
	for _, name := range names {
		s.fleet.Kill(name)
		s.fleet.LosePower(name, random)
	}
	time.Sleep(time.Second)
	for _, name := range names {
		s.fleet.Start(name, false)
	}
	if err := s.readBack(names); err != nil {
		return err
	}
	s.resendAcknowledged(names)
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.failed
}

// readBackRounds is how often the final read goes round all daemons.
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
			return errors.Wrapf(errNoAnswer, "the last %s after all came back", callNames[read.kind])
		}
	}
	return nil
}

// resendAcknowledged sends acknowledged configurations again: they must be recognised.
func (s *simulation) resendAcknowledged(names []string) {
	s.lock.Lock()
	history := append([]callRecord(nil), s.history...)
	s.lock.Unlock()
	for index, record := range history {
		if record.result == acknowledged && (record.call.kind == callPut || record.call.kind == callPatch) {
			again := s.attempt(record.call, record.condition, names[index%len(names)])
			again.note = "(sent again at the end)"
			s.record(again)
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
		s.fleet.Kill(name)
	}
	time.Sleep(time.Minute)
}

func (s *simulation) controlState(store *keystore.Store, name string) *controlstate.State {
	var decided controlstate.Store = store
	if s.variant.store != nil {
		decided = s.variant.store(decided)
	}
	zones := map[string]string{}
	for _, zone := range zoneNames {
		zones[zone] = "land"
	}
	return &controlstate.State{Store: decided, Zones: zones, Clock: s.fleet.Clock(name)}
}

// waitWhileFrozen holds back a step of a machine's process while the machine is frozen.
func (s *simulation) waitWhileFrozen(name string) {
	for s.fleet.Frozen(name) {
		time.Sleep(3*time.Millisecond + 11*time.Nanosecond)
	}
}

func withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}
