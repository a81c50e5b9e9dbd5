package keystore

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"
)

// SegmentCount is how many ring files a member's data folder has.
const SegmentCount = 3

// WAL keeps the slots of one member on its disk, in a ring of preallocated files. Each generation begins with a
// full copy of the state in the next file, which is followed by a record for each slot that changes. See ring for
// what the files hold and how damage is told. A WAL is used by one goroutine at a time.
type WAL struct {
	directory    Directory
	segmentCount int
	segmentBytes int64
	// generation is the newest that is whole and synced; 0 or, after damage, base-1 before the first.
	generation uint64
	base       uint64
	index      uint64
	offset     int64
	// broken says that the current file can't be appended to, so the next append begins a generation.
	mustRotate bool
	damage     *Damage
	registers  map[string]Register
}

// OpenWAL reads the ring in a folder and makes it ready to be appended to. size is the length of a ring file in
// bytes, files their number (2 or more). The state is synced before it is returned.
//
// If the newest state may be missing, the journal is returned with an empty state, Damage says why, and the ring
// stays damaged for later starts until the first append. An error means that the disk failed or refused; the call may
// be repeated.
func OpenWAL(directory Directory, files int, size int64) (*WAL, error) {
	found, err := readSegments(directory, files)
	if err != nil {
		return nil, err
	}
	log := &WAL{directory: directory, segmentCount: files, segmentBytes: size, base: 1, mustRotate: true, registers: map[string]Register{}}
	log.damage = found.damage()
	if log.damage != nil {
		return log, log.markDamaged(found)
	}
	newest := found.newest()
	if newest.state == SegmentComplete {
		if log.registers, err = newest.decodeRegisters(); err != nil {
			return nil, err
		}
		log.generation, log.base = newest.generation, newest.base
	}
	if err := log.prepareSegments(); err != nil {
		return nil, err
	}
	if newest.state != SegmentComplete {
		return log, log.markReady(found)
	}
	return log, errors.Wrap(directory.Sync(newest.name), "ring file")
}

// Damage says why the state on the disk was not used, or is nil.
func (w *WAL) Damage() *Damage { return w.damage }

// Generation returns the number of the newest generation that is whole and synced.
func (w *WAL) Generation() uint64 { return w.generation }

// State returns a copy of the slots that are synced, by key.
func (w *WAL) State() map[string]Register { return maps.Clone(w.registers) }

// prepare opens all files and makes those that are missing.
func (w *WAL) prepareSegments() error {
	for position := range w.segmentCount {
		if err := w.directory.Prepare(segmentName(position), w.segmentBytes); err != nil {
			return errors.Wrap(err, "ring file")
		}
	}
	return nil
}

// markReady has the names of all files last, and then stamps those that hold nothing else. A stamp that is there is
// document again, since a life that was killed may not have synced it.
func (w *WAL) markReady(found segments) error {
	if err := w.directory.SyncDirectory(); err != nil {
		return errors.Wrap(err, "data folder")
	}
	for _, file := range found {
		if file.state != SegmentMissing && file.state != SegmentBlank && file.state != SegmentReady {
			continue
		}
		if err := w.writeAndSync(file.name, 0, readyMarker); err != nil {
			return errors.Wrap(err, "ring file")
		}
	}
	return nil
}

// markDamaged marks a damaged ring, so that it stays so until a generation above anything in it is whole, and then makes
// the files that are missing. The marked file is one that was in use, and isn't the file of the next generation.
func (w *WAL) markDamaged(found segments) error {
	segment, _ := found.firstIn(SegmentDamaged)
	if segment.name == "" {
		segment, _ = found.firstIn(SegmentComplete, SegmentTorn, SegmentUnreadable, SegmentReady)
	}
	// The generations that were lost are at most as many as there are files above the highest that is seen.
	base := found.highestGeneration() + uint64(w.segmentCount) + 1
	for found.forGeneration(base).name == segment.name {
		base++
	}
	w.base, w.generation = base, base-1
	content, err := encodeDamageMarker(damagePayload{Base: base, Reason: w.damage.Reason})
	if err != nil {
		return err
	}
	if err := w.directory.Prepare(segment.name, w.segmentBytes); err != nil {
		return errors.Wrap(err, "ring file")
	}
	if err := w.writeAndSync(segment.name, 0, content); err != nil {
		return errors.Wrap(err, "damage mark")
	}
	if err := w.prepareSegments(); err != nil {
		return err
	}
	for position := range found {
		if found[position].name == segment.name {
			found[position].state = SegmentDamaged
		}
	}
	return w.markReady(found)
}

// Append has the slots on the disk before it returns nil. After an error they may or may not be found at the next
// start; the journal's own state stays as it was, and the next append begins a generation.
func (w *WAL) Append(registers []Register) error {
	next := w.State()
	for _, register := range registers {
		next[register.Key] = register
	}
	if w.mustRotate {
		return w.rotate(next)
	}
	content, index, err := w.encodeRegisters(registers)
	if err != nil {
		return err
	}
	if w.offset+int64(len(content)) > w.segmentBytes {
		return w.rotate(next)
	}
	if err := w.writeAndSync(w.segmentFor(w.generation), w.offset, content); err != nil {
		w.mustRotate = true
		return err
	}
	w.offset += int64(len(content))
	w.index, w.registers = index, next
	return nil
}

func (w *WAL) segmentFor(generation uint64) string {
	return segmentName(int(generation % uint64(w.segmentCount)))
}

// encodeRegisters returns the records that follow the last one, and the index after them.
func (w *WAL) encodeRegisters(registers []Register) ([]byte, uint64, error) {
	var content []byte
	index := w.index
	for _, register := range registers {
		record, err := encodeRecord(w.generation, index, recordRegister, register)
		if err != nil {
			return nil, 0, err
		}
		content = append(content, record...)
		index++
	}
	return content, index, nil
}

// rotate begins the generation after the newest whole one. Until it is synced the newest whole one stays as it is: a
// failed attempt is repeated under the same number, so in the same file, which holds nothing that is still needed.
func (w *WAL) rotate(next map[string]Register) error {
	w.mustRotate = true
	generation := w.generation + 1
	content, index, err := encodeGeneration(generation, w.base, next)
	if err != nil {
		return err
	}
	if int64(len(content)) > w.segmentBytes {
		return errors.Errorf("live state of %d bytes does not fit a ring file of %d", len(content), w.segmentBytes)
	}
	if err := w.writeAndSync(w.segmentFor(generation), 0, content); err != nil {
		return err
	}
	w.generation, w.offset, w.index, w.mustRotate = generation, int64(len(content)), index, false
	w.registers = next
	return nil
}

// encodeGeneration returns the full copy of the state with which a generation begins, and the index after it.
func encodeGeneration(generation, base uint64, state map[string]Register) ([]byte, uint64, error) {
	index := uint64(rand.Uint32()) << saltShift
	content, err := encodeRecord(generation, index, recordBegin, beginPayload{Base: base})
	if err != nil {
		return nil, 0, err
	}
	add := func(kind recordKind, payload any) error {
		index++
		record, err := encodeRecord(generation, index, kind, payload)
		content = append(content, record...)
		return err
	}
	for _, key := range slices.Sorted(maps.Keys(state)) {
		if err := add(recordRegister, state[key]); err != nil {
			return nil, 0, err
		}
	}
	if err := add(recordEnd, struct{}{}); err != nil {
		return nil, 0, err
	}
	return content, index + 1, nil
}

func (w *WAL) writeAndSync(name string, offset int64, content []byte) error {
	if err := w.directory.Write(name, offset, content); err != nil {
		return err
	}
	return w.directory.Sync(name)
}
