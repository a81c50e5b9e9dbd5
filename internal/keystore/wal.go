package keystore

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"
)

// Errors of a WAL that a retry does not resolve.
var (
	// ErrRecordTooLong means that one register exceeds the length limit of a record.
	ErrRecordTooLong = errors.New("record is too long")
	// ErrStateTooLarge means that all registers together don't fit into one segment.
	ErrStateTooLarge = errors.New("state does not fit into a segment")
)

// SegmentCount is the number of segments in a member's data directory.
const SegmentCount = 3

// saltShift is the number of low bits of a record's index that hold the record's position. The bits above hold the salt
// of the attempt to write the generation.
const saltShift = 32

// WAL is the write-ahead log of one member's registers. It is a ring of preallocated files, the segments. Each
// generation starts with a full copy of the state at the beginning of the next segment, followed by a record for each
// register that changes. See segments for the rules by which they are written, and by which damage is distinguished
// from a crash.
//
// A WAL is not safe for concurrent use.
type WAL struct {
	directory    Directory
	segmentCount int
	segmentBytes int64
	// generation is the newest that is complete and synced. Before the first one it is 0 or, after damage, base-1.
	generation uint64
	// base is the first generation since the log was created, or since damage was found.
	base uint64
	// index is the index of the next record, and offset its position in the segment.
	index  uint64
	offset int64
	// mustRotate is whether the segment can't be appended to, so that the next append starts a generation.
	mustRotate bool
	damage     *Damage
	// registers holds the registers that are synced, by key.
	registers map[string]Register
}

// OpenWAL reads the log in a directory and prepares it for appending. segmentBytes is the length of a segment,
// segmentCount their number (2 or more). The state is synced before the call returns: otherwise the state that was read
// could be lost in the next power failure, after a reply has been based on it.
//
// If the newest state may be missing, the log is returned with an empty state, Damage returns the reason, and later
// starts find the log damaged as well until the first append. An error means that the disk failed or rejected an
// operation; the call may be repeated.
func OpenWAL(directory Directory, segmentCount int, segmentBytes int64) (*WAL, error) {
	found, err := readSegments(directory, segmentCount)
	if err != nil {
		return nil, err
	}
	log := &WAL{
		directory:    directory,
		segmentCount: segmentCount,
		segmentBytes: segmentBytes,
		base:         1,
		mustRotate:   true,
		registers:    map[string]Register{},
	}
	log.damage = found.damage()
	if log.damage != nil {
		return log, log.writeDamageMarker(found)
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
		return log, log.writeReadyMarkers(found)
	}
	return log, errors.Wrapf(directory.Sync(newest.name), "segment %s", newest.name)
}

// Damage returns the reason why the state on disk was not used, or nil.
func (w *WAL) Damage() *Damage { return w.damage }

// Generation returns the number of the newest generation that is complete and synced.
func (w *WAL) Generation() uint64 { return w.generation }

// State returns a copy of the registers that are synced, by key.
func (w *WAL) State() map[string]Register { return maps.Clone(w.registers) }

// prepareSegments opens all segments and creates those that are missing.
func (w *WAL) prepareSegments() error {
	for position := range w.segmentCount {
		name := segmentName(position)
		if err := w.directory.Prepare(name, w.segmentBytes); err != nil {
			return errors.Wrapf(err, "segment %s", name)
		}
	}
	return nil
}

// writeReadyMarkers syncs the names of all segments to disk, and then writes the ready marker to those that hold no data.
// An existing ready marker is written again, since a process that was killed may not have synced it.
func (w *WAL) writeReadyMarkers(found segments) error {
	if err := w.directory.SyncDirectory(); err != nil {
		return errors.Wrap(err, "data directory")
	}
	for _, segment := range found {
		if segment.state != SegmentMissing && segment.state != SegmentBlank && segment.state != SegmentReady {
			continue
		}
		if err := w.writeAndSync(segment.name, 0, readyMarker); err != nil {
			return errors.Wrapf(err, "segment %s", segment.name)
		}
	}
	return nil
}

// writeDamageMarker writes a damage marker, which keeps the log damaged until a generation above anything found in it is
// complete, and then creates the segments that are missing. The marker is written to a segment that was in use, and not
// to that of the next generation.
func (w *WAL) writeDamageMarker(found segments) error {
	target, _ := found.firstIn(SegmentDamaged)
	if target.name == "" {
		target, _ = found.firstIn(SegmentComplete, SegmentTorn, SegmentUnreadable, SegmentReady)
	}
	// At most as many generations were lost above the highest one found as there are segments.
	base := found.highestGeneration() + uint64(w.segmentCount) + 1
	for found.forGeneration(base).name == target.name {
		base++
	}
	w.base, w.generation = base, base-1
	content, err := encodeDamageMarker(damagePayload{Base: base, Reason: w.damage.Reason})
	if err != nil {
		return err
	}
	if err := w.directory.Prepare(target.name, w.segmentBytes); err != nil {
		return errors.Wrapf(err, "segment %s", target.name)
	}
	if err := w.writeAndSync(target.name, 0, content); err != nil {
		return errors.Wrapf(err, "damage marker of segment %s", target.name)
	}
	if err := w.prepareSegments(); err != nil {
		return err
	}
	for position := range found {
		if found[position].name == target.name {
			found[position].state = SegmentDamaged
		}
	}
	return w.writeReadyMarkers(found)
}

// Append returns nil once the registers are on disk. After an error they may or may not be found at the next start. The
// log's own state remains unchanged, and the next append starts a generation.
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

// segmentFor returns the name of the segment that a generation is written to.
func (w *WAL) segmentFor(generation uint64) string {
	return segmentName(int(generation % uint64(w.segmentCount)))
}

// encodeRegisters returns the records to append for the registers, and the index of the record after them.
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

// rotate starts the generation after the newest complete one, which is not overwritten until the new one is synced: a
// failed attempt is repeated under the same number, and so in the same segment, which holds nothing that is still
// needed.
func (w *WAL) rotate(next map[string]Register) error {
	w.mustRotate = true
	generation := w.generation + 1
	content, index, err := encodeGeneration(generation, w.base, next)
	if err != nil {
		return err
	}
	if int64(len(content)) > w.segmentBytes {
		return errors.Wrapf(ErrStateTooLarge, "%d bytes, a segment has %d", len(content), w.segmentBytes)
	}
	if err := w.writeAndSync(w.segmentFor(generation), 0, content); err != nil {
		return err
	}
	w.generation, w.offset, w.index, w.mustRotate = generation, int64(len(content)), index, false
	w.registers = next
	return nil
}

// encodeGeneration returns the full copy of the state with which a generation starts, and the index of the record after
// it.
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
