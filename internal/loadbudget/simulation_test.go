package loadbudget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/loadbudget"
)

const (
	period        = 5 * time.Second
	overage       = 1.1
	maxStartDelay = time.Second
	acceptedDelay = 250 * time.Millisecond
	tick          = 50 * time.Millisecond
	processCount  = 3
	faultPhase    = 40 * time.Second
	maxDuration   = 400 * time.Second

	maxAnswerTime     = 400 * time.Millisecond
	maxReportTime     = 3 * time.Second
	maxWriteTime      = 300 * time.Millisecond
	maxTakeoverDelay  = 3 * time.Second
	agesOverstatement = 2 * time.Second
	diskLoadTime      = 300 * time.Millisecond
	storeLoadTime     = 1200 * time.Millisecond
)

// seedCount is how many seeds are run.
const seedCount = 3000

// noHolder is the value of simulation.holderIndex while no process holds the lease.
const noHolder = -1

// plantedFault is a fault that the simulation must detect.
type plantedFault int

const (
	noFault plantedFault = iota
	// reservationIgnored: a takeover does not count the loads that were reserved.
	reservationIgnored
	// priorIncarnationIgnored: a restarted holder does not count the loads that its prior incarnation reserved.
	priorIncarnationIgnored
	// uncertainWriteTrusted: a reservation is used although the outcome of its write is uncertain.
	uncertainWriteTrusted
	// countedWhenAnswered: a load counts only from the answer to its order on.
	countedWhenAnswered
	// unseenGrantContinued: a grant that was lost before its holder acted under it counts as continued.
	unseenGrantContinued
	// agesOverstated: loads count as older than they are.
	agesOverstated
	// possibleDiskLoadIgnored: a load that may come from a disk counts only once it has run for too long to do so.
	possibleDiskLoadIgnored
	// withdrawnWithoutProof: every load that may come from a disk is withdrawn.
	withdrawnWithoutProof
)

// order is an ordered load. It starts at startsAt, and its answer or the report of its outcome arrives at answeredAt.
type order struct {
	name       string
	answeredAt time.Time
	startsAt   time.Time
	rejected   bool
	// maybeFromDisk is set for a load of a model that the previous replica at the address had loaded. It comes from the
	// disk (fromDisk) if the disk was not replaced.
	maybeFromDisk, fromDisk bool
}

// runningLoad is a load that may come from a disk, counted as started at countedAt. It ends at endsAt, and its duration shows
// whether it came from the disk.
type runningLoad struct {
	countedAt, endsAt time.Time
	fromDisk          bool
}

// reservationWrite is a write of a reservation in flight.
type reservationWrite struct {
	fence       uint64
	reservation loadbudget.Reservation
	completesAt time.Time
	certain     bool // the write is known to have succeeded
	takesEffect bool
}

// process is an incarnation of a control plane.
type process struct {
	budget loadbudget.Budget
	orders []order
	loads  []runningLoad
	write  *reservationWrite
	fence  uint64
	index  int
	// takeover is a new grant that has not been passed to the budget yet. That happens at effectiveFrom.
	takeover      *loadbudget.Takeover
	effectiveFrom time.Time
}

// simulation runs successive lease holders that order loads under injected faults. It is determined by its seed.
type simulation struct {
	random *rand.Rand
	// disks draws which loads come from a disk; it is nil in runs without such loads. It is separate from random, so that it
	// does not change what random draws.
	disks     *rand.Rand
	fault     plantedFault
	now       time.Time
	faultsEnd time.Time
	rates     []rateChange
	processes [processCount]*process
	// holderIndex is the index of the process that holds the lease, or noHolder, and lastHolderIndex that of the last holder.
	holderIndex     int
	lastHolderIndex int
	fence           uint64
	// reserved is the reservation in the lease's record.
	reserved         *loadbudget.Reservation
	suspendedUntil   time.Time
	leaseVacantUntil time.Time
	unorderedLoads   int
	startTimes       []time.Time
}

type rateChange struct {
	at   time.Time
	rate float64
}

// runSeed runs the simulation of a seed with a planted fault.
func runSeed(seed uint64, planted plantedFault) error {
	random := rand.New(rand.NewPCG(seed, 31))
	s := &simulation{
		random:         random,
		fault:          planted,
		now:            startTime,
		holderIndex:    noHolder,
		unorderedLoads: 10 + random.IntN(120),
	}
	if seed%2 == 1 {
		s.disks = rand.New(rand.NewPCG(seed, 32))
	}
	s.rates = []rateChange{{startTime, 0.5 + float64(random.IntN(4))}}
	for index := range s.processes {
		s.processes[index] = &process{index: index}
	}
	return s.run()
}

func (s *simulation) oneIn(n int) bool { return s.random.IntN(n) == 0 }

func (s *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *simulation) bounds() loadbudget.Bounds {
	return boundsOf(s.rates[len(s.rates)-1].rate)
}

// boundsOf returns the bounds for a rate of the model store.
func boundsOf(rate float64) loadbudget.Bounds {
	limit := loadbudget.StoreLimit{Rate: rate, Period: period, Overage: overage}
	return loadbudget.NewBounds(limit, loadbudget.StartDelays{Accepted: acceptedDelay, Uncertain: maxStartDelay})
}

func (s *simulation) run() error {
	end := s.now.Add(maxDuration)
	s.faultsEnd = s.now.Add(faultPhase)
	for s.now.Before(end) && (s.now.Before(s.faultsEnd) || s.unorderedLoads > 0) {
		s.now = s.now.Add(tick)
		if s.now.Before(s.faultsEnd) {
			s.injectFault()
		}
		s.deliver()
		s.runHolder()
	}
	if err := s.check(); err != nil {
		return err
	}
	if s.unorderedLoads > 0 {
		return errors.Wrapf(errNeverStarted, "%d at a rate of %f", s.unorderedLoads, s.rates[len(s.rates)-1].rate)
	}
	return nil
}

// deliver passes answers, reports and the outcomes of writes that are due to the processes.
func (s *simulation) deliver() {
	for _, process := range s.processes {
		if process.index == s.holderIndex && s.now.Before(s.suspendedUntil) {
			continue
		}
		process.orders = slices.DeleteFunc(process.orders, func(sent order) bool {
			if sent.answeredAt.After(s.now) {
				return false
			}
			s.handleAnswer(process, sent)
			return true
		})
		process.loads = slices.DeleteFunc(process.loads, func(load runningLoad) bool {
			if load.endsAt.After(s.now) {
				return false
			}
			s.handleLoadEnd(process, load)
			return true
		})
		if written := process.write; written != nil && !written.completesAt.After(s.now) {
			s.resolveWrite(process)
			certain := written.certain && written.fence == s.fence || s.fault == uncertainWriteTrusted
			process.budget.CompleteWrite(written.fence, written.reservation, certain, s.now)
		}
	}
}

func (s *simulation) handleAnswer(process *process, sent order) {
	s.recordStart(sent)
	if s.fault == countedWhenAnswered {
		process.budget.RecordOrdered(sent.name)
	}
	if sent.rejected {
		process.budget.RecordRejected(sent.name)
		return
	}
	process.budget.RecordStarted(sent.name, s.now)
	if !sent.maybeFromDisk {
		return
	}
	duration := storeLoadTime
	if sent.fromDisk {
		duration = diskLoadTime
	}
	process.loads = append(process.loads, runningLoad{s.now, s.now.Add(duration), sent.fromDisk})
}

// handleLoadEnd withdraws a load that has proven to come from a disk.
func (s *simulation) handleLoadEnd(process *process, load runningLoad) {
	switch {
	case s.fault == possibleDiskLoadIgnored && !load.fromDisk:
		process.budget.AddStarted(load.countedAt)
	case s.fault == possibleDiskLoadIgnored:
	case load.fromDisk || s.fault == withdrawnWithoutProof:
		process.budget.Withdraw(load.countedAt)
	}
}

// runHolder assigns a vacant lease to a process, and lets the holder reserve and order loads.
func (s *simulation) runHolder() {
	if s.holderIndex == noHolder {
		if s.now.Before(s.leaseVacantUntil) {
			return
		}
		s.takeLease()
	}
	if s.now.Before(s.suspendedUntil) {
		return
	}
	process := s.processes[s.holderIndex]
	if s.now.Before(process.effectiveFrom) {
		return
	}
	if process.takeover != nil {
		process.budget.TakeOver(*process.takeover, s.bounds())
		process.takeover = nil
	}
	s.propose(process)
	for s.unorderedLoads > 0 && process.budget.Available(s.now, s.bounds()) >= 1 && s.oneIn(2) {
		s.order(process)
		s.propose(process)
	}
}

func (s *simulation) takeLease() {
	s.holderIndex = s.random.IntN(processCount)
	if s.oneIn(2) && s.fence > 0 {
		s.holderIndex = s.lastHolderIndex
	}
	process := s.processes[s.holderIndex]
	for _, other := range s.processes {
		s.resolveWrite(other)
	}
	takeover := s.takeoverOf(process)
	s.fence++
	process.fence, process.takeover, process.effectiveFrom = s.fence, &takeover, s.now
	if takeover.ContinuesFence == 0 && s.oneIn(2) {
		process.effectiveFrom = s.now.Add(s.randomDuration(maxTakeoverDelay))
	}
}

// takeoverOf returns what a process learns with a new grant, altered by the planted fault.
func (s *simulation) takeoverOf(process *process) loadbudget.Takeover {
	takeover := loadbudget.Takeover{Fence: s.fence + 1, PredecessorStoppedAt: s.now, Reserved: s.reserved}
	continues := process.fence == s.fence
	if continues {
		takeover.ContinuesFence = s.fence
	}
	restarted := process.index == s.lastHolderIndex && process.fence == 0
	switch {
	case s.fault == reservationIgnored:
		takeover.Reserved = new(loadbudget.Reservation)
	case s.fault == priorIncarnationIgnored && restarted:
		takeover.Reserved = new(loadbudget.Reservation)
	case s.fault == agesOverstated && s.reserved != nil:
		takeover.Reserved = withOlderAges(*s.reserved)
	case s.fault == unseenGrantContinued && continues:
		takeover.ContinuesFence = process.budget.Fence()
	}
	return takeover
}

// withOlderAges returns the reservation with loads that seem to have started earlier than they did.
func withOlderAges(reserved loadbudget.Reservation) *loadbudget.Reservation {
	changed := loadbudget.Reservation{Loads: reserved.Loads, Aged: slices.Clone(reserved.Aged)}
	for index := range changed.Aged {
		changed.Aged[index].AgeMs += agesOverstatement.Milliseconds()
	}
	return &changed
}

func (s *simulation) propose(holder *process) {
	reservation, due := holder.budget.Propose(s.now, s.bounds())
	if !due {
		return
	}
	write := &reservationWrite{
		fence:       s.fence,
		reservation: reservation,
		completesAt: s.now.Add(s.randomDuration(maxWriteTime)),
		certain:     !s.oneIn(4),
	}
	write.takesEffect = write.certain || s.oneIn(2)
	holder.write = write
}

// order sends the order of a load. One in four has no clear answer, and a report shows its outcome much later.
func (s *simulation) order(holder *process) {
	s.unorderedLoads--
	sent := order{
		name:       fmt.Sprint("replica ", s.random.IntN(1000000)),
		answeredAt: s.now.Add(s.randomDuration(maxAnswerTime)),
	}
	if s.oneIn(4) {
		sent.answeredAt = s.now.Add(s.randomDuration(maxReportTime))
	}
	sent.startsAt = s.now.Add(s.randomDuration(sent.answeredAt.Sub(s.now) + 1))
	sent.rejected = s.oneIn(5)
	if s.disks != nil {
		sent.maybeFromDisk = s.disks.IntN(3) == 0
		sent.fromDisk = sent.maybeFromDisk && s.disks.IntN(2) == 0
	}
	uncounted := s.fault == possibleDiskLoadIgnored && sent.maybeFromDisk
	if s.fault != countedWhenAnswered && !uncounted {
		holder.budget.RecordOrdered(sent.name)
	}
	holder.orders = append(holder.orders, sent)
}

func TestBudget_KeepsBoundsUnderFaults(t *testing.T) {
	for seed := range uint64(seedCount) {
		assert.NilError(t, runSeed(seed, noFault), "seed %d", seed)
	}
}

func TestSimulation_CatchesPlantedFaults(t *testing.T) {
	faults := map[string]plantedFault{
		"a takeover ignores the reservation":                                         reservationIgnored,
		"a restart ignores the prior incarnation's reservation":                      priorIncarnationIgnored,
		"a write of uncertain outcome is trusted":                                    uncertainWriteTrusted,
		"loads count from the answer on":                                             countedWhenAnswered,
		"a grant that was lost before its holder acted under it counts as continued": unseenGrantContinued,
		"loads count as older than they are":                                         agesOverstated,
		"a load that may come from a disk is not counted":                            possibleDiskLoadIgnored,
		"a load is withdrawn without proof":                                          withdrawnWithoutProof,
	}
	for name, planted := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seedCount) {
				if err := runSeed(seed, planted); err != nil && !errors.Is(err, errNeverStarted) {
					t.Logf("seed %d: %s", seed, err)
					return
				}
			}
			t.Fatal("no seed detects the planted fault")
		})
	}
}
