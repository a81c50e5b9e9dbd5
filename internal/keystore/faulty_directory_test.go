package keystore_test

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"

	"github.com/pkg/errors"

	"ferryspar/internal/keystore"
	"ferryspar/internal/test/keystoresim"
)

var errFault = errors.New("simulated disk fault")

// faultyDirectory fails some writes and syncs, which may have been carried out partly or completely. After a random
// number of operations its process is killed in the middle of one.
type faultyDirectory struct {
	handle         *keystoresim.Handle
	random         *rand.Rand
	operationsLeft int
	dead           bool
	failOneIn      int
}

func newFaultyDirectory(handle *keystoresim.Handle, random *rand.Rand) *faultyDirectory {
	directory := &faultyDirectory{handle: handle, random: random, operationsLeft: 1 + random.IntN(120)}
	if random.IntN(3) == 0 {
		directory.failOneIn = 2 + random.IntN(8)
	}
	return directory
}

// fails decides at random whether the operation fails.
func (f *faultyDirectory) fails() bool {
	f.operationsLeft--
	f.dead = f.dead || f.operationsLeft <= 0
	return f.dead || f.failOneIn > 0 && f.random.IntN(f.failOneIn) == 0
}

func (f *faultyDirectory) List() ([]string, error) { return f.handle.List() }

func (f *faultyDirectory) Read(name string) ([]byte, error) { return f.handle.Read(name) }

func (f *faultyDirectory) Prepare(name string, size int64) error {
	if f.fails() {
		return errFault
	}
	return f.handle.Prepare(name, size)
}

func (f *faultyDirectory) Write(name string, offset int64, content []byte) error {
	if f.operationsLeft <= 0 {
		return errFault
	}
	if f.fails() {
		_ = f.handle.Write(name, offset, content[:f.random.IntN(len(content)+1)])
		return errFault
	}
	return f.handle.Write(name, offset, content)
}

func (f *faultyDirectory) Sync(name string) error {
	if f.fails() {
		if !f.dead && f.random.IntN(2) == 0 {
			_ = f.handle.Sync(name)
		}
		return errFault
	}
	return f.handle.Sync(name)
}

func (f *faultyDirectory) SyncDirectory() error {
	if f.fails() {
		return errFault
	}
	return f.handle.SyncDirectory()
}

// hidesMissingSegments makes a missing segment look like the remains of a write.
type hidesMissingSegments struct{ keystore.Directory }

func (h *hidesMissingSegments) List() ([]string, error) {
	names, err := h.Directory.List()
	if len(names) == 0 {
		return nil, err
	}
	names = nil
	for position := range keystore.SegmentCount {
		names = append(names, fmt.Sprintf("ring-%d", position))
	}
	return names, err
}

func (h *hidesMissingSegments) Read(name string) ([]byte, error) {
	content, err := h.Directory.Read(name)
	if len(content) == 0 {
		return []byte("\x00remains"), err
	}
	return content, err
}

// skipsAheadOnFailure continues in the next file, under the next number, after a failed rotation.
type skipsAheadOnFailure struct {
	keystore.Directory
	shift  uint64
	synced map[string]string
}

func (s *skipsAheadOnFailure) Write(name string, offset int64, content []byte) error {
	if content[0] != 0 {
		return s.Directory.Write(name, offset, content)
	}
	generation := binary.BigEndian.Uint64(content[8:]) + s.shift
	moved := fmt.Sprintf("ring-%d", generation%keystore.SegmentCount)
	s.synced = map[string]string{name: moved}
	err := s.Directory.Write(moved, offset, withGeneration(content, generation))
	if err != nil && offset == 0 {
		s.shift++
	}
	return err
}

func (s *skipsAheadOnFailure) Sync(name string) error {
	if moved, known := s.synced[name]; known {
		name = moved
	}
	return s.Directory.Sync(name)
}

// withGeneration returns the records under another generation.
func withGeneration(content []byte, generation uint64) []byte {
	copied := append([]byte(nil), content...)
	for rest := copied; len(rest) > 0; {
		record := rest[:25+binary.BigEndian.Uint32(rest)]
		binary.BigEndian.PutUint64(record[8:], generation)
		binary.BigEndian.PutUint32(record[4:], crc32.ChecksumIEEE(record[8:]))
		rest = rest[len(record):]
	}
	return copied
}

// skipsStartupSync syncs only files that this process has written.
type skipsStartupSync struct {
	keystore.Directory
	written map[string]bool
}

func (s *skipsStartupSync) Write(name string, offset int64, content []byte) error {
	s.written[name] = true
	return s.Directory.Write(name, offset, content)
}

func (s *skipsStartupSync) Sync(name string) error {
	if !s.written[name] {
		return nil
	}
	return s.Directory.Sync(name)
}
