package keystore_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

const testSegmentBytes = 64 << 10

func openWALAt(t *testing.T, path string, size int64) *keystore.WAL {
	directory, err := keystore.NewDirectory(path)
	assert.NilError(t, err)
	log, err := keystore.OpenWAL(directory, keystore.SegmentCount, size)
	assert.NilError(t, err)
	return log
}

// writeGenerations opens the log and appends to it once per generation, and returns the path.
func writeGenerations(t *testing.T, generations int) string {
	path := filepath.Join(t.TempDir(), "member")
	for generation := range generations {
		assert.NilError(t, openWALAt(t, path, testSegmentBytes).Append([]keystore.Register{{
			Key:      "old",
			Sequence: uint64(generation + 1),
		}}))
	}
	return path
}

func TestWAL_MissingSegmentIsDamage(t *testing.T) {
	for generations := 1; generations <= 7; generations++ {
		for position := range keystore.SegmentCount {
			path := writeGenerations(t, generations)
			name := filepath.Join(path, fmt.Sprintf("ring-%d", position))
			removed, err := os.ReadFile(name)
			assert.NilError(t, err)
			assert.NilError(t, os.Remove(name))

			log := openWALAt(t, path, testSegmentBytes)
			assert.Equal(t, log.Damage().Reason, keystore.DamageFileMissing, "generation %d, segment %d", generations, position)
			assert.Equal(t, len(log.State()), 0)
			unwritten := openWALAt(t, path, testSegmentBytes)
			assert.Equal(t, unwritten.Damage().Reason, keystore.DamageStateDiscarded, "a start without a write repairs nothing")

			log = openWALAt(t, path, testSegmentBytes)
			assert.NilError(t, log.Append([]keystore.Register{{Key: "new", Sequence: 1}}))
			assert.Assert(t, log.Generation() > uint64(generations))
			again := openWALAt(t, path, testSegmentBytes)
			assert.Assert(t, again.Damage() == nil, "generation %d, segment %d: %v", generations, position, again.Damage())
			assert.Equal(t, len(again.State()), 1)

			assert.NilError(t, os.WriteFile(name, removed, 0o644))
			back := openWALAt(t, path, testSegmentBytes)
			_, old := back.State()["old"]
			assert.Assert(t, !old, "generation %d: putting the removed file back restored old state", generations)
		}
	}
}

func TestWAL_RecreatedBlankSegmentIsDamage(t *testing.T) {
	for generations := 2; generations <= 5; generations++ {
		path := writeGenerations(t, generations)
		newest := filepath.Join(path, fmt.Sprintf("ring-%d", generations%keystore.SegmentCount))
		assert.NilError(t, os.WriteFile(newest, make([]byte, testSegmentBytes), 0o644))
		assert.Equal(t, openWALAt(t, path, testSegmentBytes).Damage().Reason, keystore.DamageFileBlank)
	}
}

// dyingDirectory returns a directory whose process is killed in the middle of the given operation.
func dyingDirectory(handle *keystoresim.Handle, random *rand.Rand, operation int) *faultyDirectory {
	return &faultyDirectory{handle: handle, random: random, operationsLeft: operation}
}

func TestWAL_CrashDuringFirstStartsIsNotDamage(t *testing.T) {
	const steps, draws = 40, 25
	for step := 1; step <= steps; step++ {
		for seed := range uint64(draws) {
			synctest.Test(t, func(t *testing.T) {
				random, disk := rand.New(rand.NewPCG(seed, uint64(step))), keystoresim.NewDisk()
				handle := disk.Attach()
				acknowledged := uint64(0)
				log, err := keystore.OpenWAL(dyingDirectory(handle, random, step), keystore.SegmentCount, smallSegment)
				for sequence := uint64(1); err == nil && sequence < steps; sequence++ {
					if err = log.Append([]keystore.Register{{
						Key:      "a",
						Sequence: sequence,
						Value:    []byte(`"` + fmt.Sprintf("%0400d", sequence) + `"`),
					}}); err == nil {
						acknowledged = sequence
					}
				}
				handle.Kill()
				if seed%2 == 0 {
					disk.LosePower(random)
				}
				log, err = keystore.OpenWAL(disk.Attach(), keystore.SegmentCount, smallSegment)
				assert.NilError(t, err)
				assert.Assert(t, log.Damage() == nil, "step %d, draw %d: %v", step, seed, log.Damage())
				assert.Assert(t, log.State()["a"].Sequence >= acknowledged, "step %d, draw %d", step, seed)
			})
		}
	}
}

func TestWAL_SmallerSegmentSizeKeepsContent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "member")
	log := openWALAt(t, path, testSegmentBytes)
	for sequence := range uint64(400) {
		assert.NilError(t, log.Append([]keystore.Register{{Key: "a", Sequence: sequence}}))
	}
	smaller := openWALAt(t, path, 1<<10)
	assert.Assert(t, smaller.Damage() == nil)
	assert.Equal(t, smaller.State()["a"].Sequence, uint64(399))
}

func TestDirectory_NewSegmentsReserveDiskSpace(t *testing.T) {
	const size, reserved = 4 << 20, 1 << 20
	path := filepath.Join(t.TempDir(), "made", "too")
	openWALAt(t, path, size)
	for position := range keystore.SegmentCount {
		information, err := os.Stat(filepath.Join(path, fmt.Sprintf("ring-%d", position)))
		assert.NilError(t, err)
		assert.Equal(t, information.Size(), int64(size))
		allocated := information.Sys().(*syscall.Stat_t).Blocks * 512
		assert.Assert(t, allocated >= reserved, "%d bytes are allocated", allocated)
	}
}

// fullDisk rejects writes beyond the reserved bytes.
type fullDisk struct {
	keystore.Directory
	reserved       int64
	rejectedWrites int
}

func (f *fullDisk) Write(name string, offset int64, content []byte) error {
	if offset+int64(len(content)) > f.reserved {
		f.rejectedWrites++
		return errFault
	}
	return f.Directory.Write(name, offset, content)
}

func TestWAL_FullDiskContinuesInNextSegment(t *testing.T) {
	directory, err := keystore.NewDirectory(t.TempDir())
	assert.NilError(t, err)
	disk := &fullDisk{Directory: directory, reserved: 8 << 10}
	log, err := keystore.OpenWAL(disk, keystore.SegmentCount, testSegmentBytes)
	assert.NilError(t, err)
	for sequence := range uint64(1000) {
		registers := []keystore.Register{{Key: "a", Sequence: sequence}}
		if log.Append(registers) != nil {
			assert.NilError(t, log.Append(registers), "the next append has room")
		}
	}
	assert.Assert(t, disk.rejectedWrites > 3, "%d writes were rejected", disk.rejectedWrites)
	again, err := keystore.OpenWAL(disk, keystore.SegmentCount, testSegmentBytes)
	assert.NilError(t, err)
	assert.Equal(t, again.State()["a"].Sequence, uint64(999))
}
