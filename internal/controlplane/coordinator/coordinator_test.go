package coordinator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"ferryspar/internal/coordination"
	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

const (
	applicationCount = 4
	watchCount       = 2
	// faultTime is how long faults are injected.
	faultTime = 14 * time.Second
	// answerLimit is the time after the end of the last fault within which each item must have an owner that answers.
	// answerLimitAfterKill is the limit if that fault killed all processes. Both are requirements of docs/design/coordination.md.
	answerLimit          = time.Second
	answerLimitAfterKill = 2 * time.Second
	// attemptInterval is the interval between attempts of the calls that check these limits.
	attemptInterval = 20 * time.Millisecond
	// attemptStagger is the interval between the first attempts of two such calls.
	attemptStagger = 1777 * time.Microsecond
)

// schedule is one simulated run of applications under faults, determined by its seed.
type schedule struct {
	seed   uint64
	faults []keystoresim.Fault
	// killsAll means that the faults kill all processes at once.
	killsAll bool
	// injectDefect injects a defect into the coordinator. It may be nil.
	injectDefect func(simulation *simulation)
}

func (s schedule) run() error {
	simulated := newSimulation(s.seed)
	if s.injectDefect != nil {
		s.injectDefect(simulated)
	}
	simulated.start()
	defer simulated.end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go simulated.runHeartbeats(ctx)
	seen := newRecords()
	if err := s.runApplications(simulated, seen); err != nil {
		return err
	}
	return seen.check()
}

// runApplications runs applications until some time after the last fault, and then reads all items back.
func (s schedule) runApplications(simulated *simulation, seen *records) error {
	until := time.Now().Add(faultTime)
	newApplication := func(number int) *application {
		return &application{
			simulation: simulated,
			number:     number,
			random:     rand.New(rand.NewPCG(s.seed, uint64(100+number))),
			records:    seen,
			until:      until.Add(time.Second),
		}
	}
	var calling, watching sync.WaitGroup
	for number := range applicationCount {
		calling.Go(newApplication(number).run)
	}
	var final atomic.Uint64
	for number := range watchCount {
		watcher := newApplication(number)
		watcher.random = rand.New(rand.NewPCG(s.seed, uint64(200+number)))
		watching.Go(func() {
			watcher.watch(func(revision uint64) bool {
				end := final.Load()
				return end > 0 && revision >= end
			})
		})
	}
	err := simulated.injectFaults(rand.New(rand.NewPCG(s.seed, 7)), s.faults, until)
	reader := newApplication(applicationCount)
	limit := answerLimit
	if s.killsAll {
		limit = answerLimitAfterKill
	}
	if err == nil {
		err = reader.awaitAnswers(limit)
	}
	calling.Wait()
	if err == nil {
		err = readBack(reader, &final, limit+longestHold)
	}
	final.CompareAndSwap(0, 1)
	watching.Wait()
	return err
}

// faultMixes holds the combinations of faults that the schedules use in turn.
var faultMixes = [][]keystoresim.Fault{
	{keystoresim.RestartFaults},
	{keystoresim.LinkFaults},
	{keystoresim.DiskFaults},
	{keystoresim.Freeze, keystoresim.Freeze},
	{keystoresim.RestartFaults, keystoresim.LinkFaults},
	{keystoresim.LinkFaults, keystoresim.DiskFaults},
	{killAll},
	{keystoresim.Freeze, keystoresim.RestartFaults},
}

// killAllMix is the index of the mix that kills all processes.
const killAllMix = 6

func TestRouter_GuaranteesHoldUnderFaults(t *testing.T) {
	from, to := keystoresim.SeedRange(48)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			mix := seed % len(faultMixes)
			err := schedule{seed: uint64(seed), faults: faultMixes[mix], killsAll: mix == killAllMix}.run()
			assert.NilError(t, err, "%s=%d replays this schedule", keystoresim.SeedVariable, seed)
		})
	}
}

// contestedSeeds are the seeds of schedules in which a counter was once answered too late: over slow links, nodes preempted each
// other as its owner, each with a higher proposal number than the one before.
var contestedSeeds = []uint64{216, 564}

func TestRouter_ContendedItemSettlesOnOneOwner(t *testing.T) {
	for _, seed := range contestedSeeds {
		synctest.Test(t, func(t *testing.T) {
			assert.NilError(t, schedule{seed: seed, faults: faultMixes[seed%uint64(len(faultMixes))]}.run(), "seed %d", seed)
		})
	}
}

// staleStore is a Store that accepts proofs of ownership of any age.
type staleStore struct{ Store }

func (s staleStore) ReadModifyWrite(ctx context.Context, name string, step keystore.ModifyFunc) (keystore.Register, error) {
	return s.Store.ReadModifyWrite(ctx, name, func(current keystore.Register, adoptedFrom keystore.ProposalNumber) keystore.Decision {
		decided := step(current, adoptedFrom)
		decided.MaxAge = time.Hour
		return decided
	})
}

// openBackdated returns an openFunc that opens items of one kind as if that had happened earlier by the given duration.
func openBackdated(kind coordination.Kind, by time.Duration) openFunc {
	return func(
		opened coordination.Kind, value json.RawMessage, now time.Time, config coordination.Config, known coordination.VolatileState,
	) (coordination.Item, error) {
		if opened == kind {
			now = now.Add(-by)
		}
		return coordination.Open(opened, value, now, config, known)
	}
}

func openWithShortHistory(
	kind coordination.Kind, value json.RawMessage, now time.Time, config coordination.Config, known coordination.VolatileState,
) (coordination.Item, error) {
	config.EventRetention = 100 * time.Millisecond
	return coordination.Open(kind, value, now, config, known)
}

func reuseNumbers(record map[string]any) { record["reserved"] = max(record["reserved"].(float64)-8, 0) }

func resetFence(record map[string]any) {
	if record["holder"] == nil {
		record["fence"] = 0
	}
}

func dropFirstEvent(record map[string]any) {
	events := record["events"].(map[string]any)
	for name, column := range events {
		if list := column.([]any); len(list) > 1 {
			events[name] = list[1:]
		}
	}
}

// defect is a fault in the coordinator itself that the checks of a schedule must detect.
type defect struct {
	inject func(simulation *simulation)
	faults []keystoresim.Fault
}

// takeoverFaults are faults that cause items to change owners.
var takeoverFaults = []keystoresim.Fault{
	keystoresim.Freeze, keystoresim.OneOf(keystoresim.Restart, keystoresim.Isolate),
}

func defectInOpen(open openFunc) defect {
	return defect{inject: func(simulation *simulation) { simulation.open = open }, faults: takeoverFaults}
}

var defects = map[string]defect{
	"a takeover that does not wait for the previous holder": defectInOpen(openBackdated(coordination.KindLock, time.Hour)),
	"clock drift far beyond the allowed drift": {
		inject: func(simulation *simulation) { simulation.cluster.ClockDrift = 0.3 },
		faults: takeoverFaults,
	},
	"a previous owner that reports no remaining hold": {
		inject: func(simulation *simulation) {
			simulation.changeHandover = func(handover *coordination.Handover) { handover.RemainingUs = 0 }
		},
		faults: takeoverFaults,
	},
	"a block of numbers issued twice": defectInOpen(rewrite(coordination.KindCounter, reuseNumbers)),
	"fences that start over":          defectInOpen(rewrite(coordination.KindLock, resetFence)),
	"puts lost at a takeover":         defectInOpen(rewrite(coordination.KindGroup, dropFirstEvent)),
	"a history that is too short":     defectInOpen(openWithShortHistory),
	"renewals, numbers and reads answered from stale memory": {
		inject: func(simulation *simulation) {
			simulation.wrapStore = func(store Store) Store { return staleStore{store} }
		},
		faults: takeoverFaults,
	},
	"a wiped member that votes at once": {
		inject: func(simulation *simulation) { simulation.cluster.VotesWithoutCatchUp = true },
		faults: []keystoresim.Fault{
			keystoresim.OneOf(keystoresim.WipeTwoDisks, keystoresim.LoseZone), keystoresim.LinkFaults,
		},
	},
}

func TestRouter_InjectedDefectsAreDetected(t *testing.T) {
	for name, injected := range defects {
		t.Run(name, func(t *testing.T) {
			failure := findFailure(t, injected.faults, injected.inject)
			assert.Assert(t, failure != nil, "no schedule detects the defect")
		})
	}
}

// findFailure returns the first safety failure of the schedules with seeds 1 to 40, or nil. Liveness failures do not count.
func findFailure(t *testing.T, faults []keystoresim.Fault, injectDefect func(simulation *simulation)) error {
	t.Helper()
	for seed := uint64(1); seed <= 40; seed++ {
		var failure error
		synctest.Test(t, func(*testing.T) {
			failure = schedule{seed: seed, faults: faults, injectDefect: injectDefect}.run()
		})
		if failure != nil && !errors.Is(failure, errUnanswered) {
			t.Log(seed, failure)
			return failure
		}
	}
	return nil
}
