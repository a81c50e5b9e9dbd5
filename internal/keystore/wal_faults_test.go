package keystore_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

const (
	smallSegment  = 2 << 10
	maxValueBytes = 120
	diskSteps     = 60
)

var diskKeys = []string{"a", "b", "c", "d"}

// wrapFunc wraps the directory that a log is opened on. A broken variant injects its fault there.
type wrapFunc func(directory keystore.Directory) keystore.Directory

func unwrapped(directory keystore.Directory) keystore.Directory { return directory }

// diskRun simulates one log on a disk and records what was acknowledged.
type diskRun struct {
	disk      *keystoresim.Disk
	random    *rand.Rand
	wrap      wrapFunc
	variant   func(handle *keystoresim.Handle)
	directory *faultyDirectory
	log       *keystore.WAL
	// acked is the newest sequence of each key that was acknowledged, or read at an undamaged start.
	acked map[string]uint64
	// sequence is the newest that an append was attempted with. Those up to discardedUpTo belong to a state that was
	// discarded.
	sequence, discardedUpTo uint64
	// removedSinceStart is whether a file was removed since the last start.
	removedSinceStart bool
	// reportedDamage is whether damage was reported, and no append acknowledged since.
	reportedDamage bool
	// triedAppend is whether an append was attempted since damage was reported.
	triedAppend bool
	// removed holds the names removed since the log was last opened: never all of them, which would be a wiped disk.
	removed     map[string]bool
	damageCount int
}

func newDiskRun(seed uint64, wrap wrapFunc) *diskRun {
	return &diskRun{
		disk:    keystoresim.NewDisk(),
		random:  rand.New(rand.NewPCG(seed, 41)),
		wrap:    wrap,
		variant: func(*keystoresim.Handle) {},
		acked:   map[string]uint64{},
		removed: map[string]bool{},
	}
}

func (r *diskRun) run() error {
	for range diskSteps {
		if r.log == nil {
			if err := r.open(); err != nil {
				return err
			}
			continue
		}
		if r.directory.dead || r.random.IntN(8) == 0 {
			r.stop()
			continue
		}
		if err := r.append(); err != nil {
			return err
		}
	}
	return nil
}

// open opens the log once. It remains closed if that is rejected.
func (r *diskRun) open() error {
	handle := r.disk.Attach()
	r.variant(handle)
	r.directory = newFaultyDirectory(handle, r.random)
	log, err := keystore.OpenWAL(r.wrap(r.directory), keystore.SegmentCount, smallSegment)
	if err != nil {
		r.stop()
		return nil
	}
	r.log = log
	r.removed = map[string]bool{}
	if log.Damage() != nil {
		return r.checkDamage()
	}
	if r.removedSinceStart && len(r.acked) > 0 {
		return fmt.Errorf("a segment of a log in use was removed without damage reported")
	}
	if r.reportedDamage && !r.triedAppend {
		return fmt.Errorf("a damaged log was accepted again without a write")
	}
	state := log.State()
	if err := r.checkState(state); err != nil {
		return err
	}
	r.removedSinceStart, r.reportedDamage = false, r.reportedDamage && len(state) == 0
	for key, register := range state {
		r.acked[key] = register.Sequence
	}
	return nil
}

func (r *diskRun) checkDamage() error {
	damage := r.log.Damage()
	if !r.removedSinceStart && !r.reportedDamage {
		return fmt.Errorf("damage reported although no segment was removed: %s", damage)
	}
	if len(r.log.State()) > 0 {
		return fmt.Errorf("state of a damaged log is returned: %s", damage)
	}
	r.damageCount++
	r.acked, r.discardedUpTo = map[string]uint64{}, r.sequence
	r.removedSinceStart, r.reportedDamage, r.triedAppend = false, true, false
	return nil
}

func (r *diskRun) checkState(state map[string]keystore.Register) error {
	for key, acked := range r.acked {
		if state[key].Sequence < acked {
			return fmt.Errorf("%s is at sequence %d, acknowledged was %d", key, state[key].Sequence, acked)
		}
	}
	for key, register := range state {
		if register.Sequence <= r.discardedUpTo {
			return fmt.Errorf("%s at sequence %d comes from a state that was discarded at %d", key, register.Sequence, r.discardedUpTo)
		}
	}
	return nil
}

func (r *diskRun) append() error {
	var registers []keystore.Register
	for range 1 + r.random.IntN(3) {
		r.sequence++
		value, _ := json.Marshal(strings.Repeat("v", r.random.IntN(maxValueBytes)))
		registers = append(registers, keystore.Register{
			Key:      diskKeys[r.random.IntN(len(diskKeys))],
			Sequence: r.sequence,
			Value:    value,
		})
	}
	before := r.log.State()
	r.triedAppend = true
	if r.log.Append(registers) != nil {
		for key, register := range r.log.State() {
			if before[key].Sequence != register.Sequence {
				return fmt.Errorf("a rejected append changed the log's state")
			}
		}
		return nil
	}
	r.reportedDamage = false
	for _, register := range registers {
		r.acked[register.Key] = register.Sequence
	}
	return nil
}

// stop kills the process. Sometimes the power fails as well, and sometimes one or two files are then removed.
func (r *diskRun) stop() {
	r.log = nil
	r.directory.handle.Kill()
	if r.random.IntN(2) == 0 {
		r.disk.LosePower(r.random)
	}
	if r.random.IntN(10) > 0 {
		return
	}
	names, _ := r.directory.handle.List()
	for range 1 + r.random.IntN(2) {
		if len(names) < 2 {
			return
		}
		position := r.random.IntN(len(names))
		name := names[position]
		if r.removed[name] || len(r.removed)+1 == keystore.SegmentCount {
			return
		}
		r.disk.Remove(name)
		r.removed[name] = true
		names = append(names[:position:position], names[position+1:]...)
		r.removedSinceStart = true
	}
}

func runDisk(t *testing.T, seed uint64, wrap wrapFunc, variant func(handle *keystoresim.Handle)) (run *diskRun, failed error) {
	synctest.Test(t, func(*testing.T) {
		run = newDiskRun(seed, wrap)
		if variant != nil {
			run.variant = variant
		}
		failed = run.run()
	})
	return run, failed
}

func TestWAL_KeepsAcknowledgedAppendsThroughDiskFaults(t *testing.T) {
	damages, appended := 0, uint64(0)
	from, to := keystoresim.SeedRange(1500)
	for seed := from; seed < to; seed++ {
		run, failed := runDisk(t, uint64(seed), unwrapped, nil)
		assert.NilError(t, failed, "FERRYSPAR_SEED=%d replays this schedule", seed)
		damages += run.damageCount
		appended += run.sequence
	}
	t.Logf("%d schedules, %d register writes attempted, %d logs found damaged", to-from, appended, damages)
}

// findFailingSeed returns the first seed at which a broken variant fails, with its error.
func findFailingSeed(t *testing.T, wrap wrapFunc, variant func(handle *keystoresim.Handle)) (int, error) {
	for seed := 1; seed < 1500; seed++ {
		if _, failed := runDisk(t, uint64(seed), wrap, variant); failed != nil {
			return seed, failed
		}
	}
	return 0, nil
}

func TestWAL_BrokenVariantsAreCaught(t *testing.T) {
	cases := []struct {
		name    string
		wrap    wrapFunc
		variant func(handle *keystoresim.Handle)
	}{
		{"directory never synced", unwrapped, func(handle *keystoresim.Handle) { handle.SkipsDirectorySync = true }},
		{"missing file not detected", func(directory keystore.Directory) keystore.Directory {
			return &hidesMissingSegments{directory}
		}, nil},
		{"failed rotation continues in the next segment", func(directory keystore.Directory) keystore.Directory {
			return &skipsAheadOnFailure{Directory: directory}
		}, nil},
		{"state used before it is synced at startup", func(directory keystore.Directory) keystore.Directory {
			return &skipsStartupSync{Directory: directory, written: map[string]bool{}}
		}, nil},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			seed, failed := findFailingSeed(t, testCase.wrap, testCase.variant)
			assert.Assert(t, failed != nil, "no schedule detects this variant")
			t.Logf("seed %d: %s", seed, failed)
		})
	}
}
