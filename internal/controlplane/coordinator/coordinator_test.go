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
	// faultTime is how long faults strike.
	faultTime = 14 * time.Second
	// answerLimit is how soon after the end of the last fault each item has an owner that answers, answerLimitAfterKill where that
	// fault killed all processes: the aims of coordination (docs/design/coordination.md).
	answerLimit          = time.Second
	answerLimitAfterKill = 2 * time.Second
	// attemptInterval lies between two attempts of the calls that measure it.
	attemptInterval = 20 * time.Millisecond
	// attemptStagger lies between the first attempts of two of them.
	attemptStagger = 1777 * time.Microsecond
)

// schedule is one play of applications under faults.
type schedule struct {
	seed   uint64
	faults []keystoresim.Fault
	// killsAll says that the faults kill all processes at once.
	killsAll bool
	// breakSimulation plants a broken variant, and may be nil.
	breakSimulation func(simulation *simulation)
}

func (p schedule) run() error {
	simulated := newSimulation(p.seed)
	if p.breakSimulation != nil {
		p.breakSimulation(simulated)
	}
	simulated.start()
	defer simulated.end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go simulated.runHeartbeats(ctx)
	seen := newRecords()
	if err := p.play(simulated, seen); err != nil {
		return err
	}
	return seen.check()
}

// play has applications call until some time after the last fault, and reads everything back then.
func (p schedule) play(simulated *simulation, seen *records) error {
	until := time.Now().Add(faultTime)
	newApplication := func(number int) *application {
		return &application{
			simulation: simulated,
			number:     number,
			random:     rand.New(rand.NewPCG(p.seed, uint64(100+number))),
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
		watcher.random = rand.New(rand.NewPCG(p.seed, uint64(200+number)))
		watching.Go(func() {
			watcher.watch(func(revision uint64) bool {
				end := final.Load()
				return end > 0 && revision >= end
			})
		})
	}
	err := simulated.strike(rand.New(rand.NewPCG(p.seed, 7)), p.faults, until)
	reader := newApplication(applicationCount)
	limit := answerLimit
	if p.killsAll {
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

// mixes are those that the schedules draw from.
var mixes = [][]keystoresim.Fault{
	{keystoresim.RestartFaults},
	{keystoresim.LinkFaults},
	{keystoresim.DiskFaults},
	{keystoresim.Freeze, keystoresim.Freeze},
	{keystoresim.RestartFaults, keystoresim.LinkFaults},
	{keystoresim.LinkFaults, keystoresim.DiskFaults},
	{killAll},
	{keystoresim.Freeze, keystoresim.RestartFaults},
}

// mixThatKillsAll is the position of the mix that kills all processes.
const mixThatKillsAll = 6

func TestRouter_KeepsPromisesToApplicationsUnderFaults(t *testing.T) {
	from, to := keystoresim.SeedRange(48)
	for seed := from; seed < to; seed++ {
		synctest.Test(t, func(t *testing.T) {
			mix := seed % len(mixes)
			err := schedule{seed: uint64(seed), faults: mixes[mix], killsAll: mix == mixThatKillsAll}.run()
			assert.NilError(t, err, "%s=%d replays this schedule", keystoresim.SeedVariable, seed)
		})
	}
}

// contestedSeeds are of schedules in which a number was answered too late: nodes took it from one another over links that are slow,
// each with a higher proposal number than the one before it.
var contestedSeeds = []uint64{216, 564}

func TestRouter_ContestedItemIsLeftToOneOwner(t *testing.T) {
	for _, seed := range contestedSeeds {
		synctest.Test(t, func(t *testing.T) {
			assert.NilError(t, schedule{seed: seed, faults: mixes[seed%uint64(len(mixes))]}.run(), "seed %d", seed)
		})
	}
}

// staleStore has a Store that takes any proof of ownership for fresh.
type staleStore struct{ Store }

func (s staleStore) ReadModifyWrite(ctx context.Context, name string, step keystore.ModifyFunc) (keystore.Register, error) {
	return s.Store.ReadModifyWrite(ctx, name, func(current keystore.Register, adoptedFrom keystore.ProposalNumber) keystore.Decision {
		decided := step(current, adoptedFrom)
		decided.MaxAge = time.Hour
		return decided
	})
}

// openedEarlier returns an openFunc that takes items of one kind for opened a while ago.
func openedEarlier(kind coordination.Kind, by time.Duration) openFunc {
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

func forgetFence(record map[string]any) {
	if record["holder"] == nil {
		record["fence"] = 0
	}
}

func forgetFirstEvent(record map[string]any) {
	events := record["events"].(map[string]any)
	for name, column := range events {
		if list := column.([]any); len(list) > 1 {
			events[name] = list[1:]
		}
	}
}

// brokenVariant is a fault of the coordinator itself that a schedule must show.
type brokenVariant struct {
	plant  func(simulation *simulation)
	faults []keystoresim.Fault
}

// takeoverFaults have items change their owners.
var takeoverFaults = []keystoresim.Fault{
	keystoresim.Freeze, keystoresim.OneOf(keystoresim.Restart, keystoresim.Isolate),
}

func opensBy(open openFunc) brokenVariant {
	return brokenVariant{plant: func(simulation *simulation) { simulation.open = open }, faults: takeoverFaults}
}

var brokenVariants = map[string]brokenVariant{
	"a takeover that does not wait for the holder before it": opensBy(openedEarlier(coordination.KindLock, time.Hour)),
	"clocks that run apart by far more than is allowed for": {
		plant:  func(simulation *simulation) { simulation.cluster.ClockDrift = 0.3 },
		faults: takeoverFaults,
	},
	"a former owner that forgets what it granted last": {
		plant: func(simulation *simulation) {
			simulation.changeHandover = func(handover *coordination.Handover) { handover.RemainingUs = 0 }
		},
		faults: takeoverFaults,
	},
	"a block of numbers used again": opensBy(rewrite(coordination.KindCounter, reuseNumbers)),
	"fences that begin anew":        opensBy(rewrite(coordination.KindLock, forgetFence)),
	"puts forgotten at a takeover":  opensBy(rewrite(coordination.KindGroup, forgetFirstEvent)),
	"a history that is too short":   opensBy(openWithShortHistory),
	"renewals, numbers and reads from memory": {
		plant: func(simulation *simulation) {
			simulation.wrapStore = func(store Store) Store { return staleStore{store} }
		},
		faults: takeoverFaults,
	},
	"a wiped member that votes at once": {
		plant: func(simulation *simulation) { simulation.cluster.VotesWithoutCatchUp = true },
		faults: []keystoresim.Fault{
			keystoresim.OneOf(keystoresim.WipeTwoDisks, keystoresim.LoseZone), keystoresim.LinkFaults,
		},
	},
}

func TestRouter_BrokenVariantsAreCaught(t *testing.T) {
	for name, variant := range brokenVariants {
		t.Run(name, func(t *testing.T) {
			failure := findFailure(t, variant.faults, variant.plant)
			assert.Assert(t, failure != nil, "no schedule shows what is wrong")
		})
	}
}

// findFailure returns the failure of the first schedule that has one, or nil.
func findFailure(t *testing.T, faults []keystoresim.Fault, breakSimulation func(simulation *simulation)) error {
	t.Helper()
	for seed := uint64(1); seed <= 40; seed++ {
		var failure error
		synctest.Test(t, func(*testing.T) {
			failure = schedule{seed: seed, faults: faults, breakSimulation: breakSimulation}.run()
		})
		if failure != nil && !errors.Is(failure, errUnanswered) {
			t.Log(seed, failure)
			return failure
		}
	}
	return nil
}
