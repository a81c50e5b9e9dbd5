package keystore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/pkg/errors"
)

// recordKind says what a record in a ring file holds. The numbers are part of the file format.
type recordKind byte

const (
	// recordRegister holds one slot as JSON.
	recordRegister recordKind = iota + 1
	// recordBegin is the first record of a generation and holds a beginPayload.
	recordBegin
	// recordEnd follows the full copy of the state with which a generation begins.
	recordEnd
	// recordDamageMarker is the mark that a damaged ring was given up; it holds a damagePayload.
	recordDamageMarker
)

const (
	// recordHeaderBytes is the length of a record before its payload: length (4), checksum (4), generation (8),
	// index (8) and kind (1), big-endian.
	recordHeaderBytes = 25
	lengthOffset      = 0
	checksumOffset    = 4
	generationOffset  = 8
	indexOffset       = 16
	kindOffset        = 24

	// maxPayloadBytes keeps the first byte of every record 0, so that the first byte of a file tells a generation
	// from a stamp and from a damage mark, however little of them was written.
	maxPayloadBytes = 1<<24 - 1

	// saltShift separates the salt of one attempt to write a generation from the position of a record in it.
	saltShift = 32
)

const (
	readyMarkerByte  = 0xF5
	damageMarkerByte = 0xDA
	// blankProbeBytes is how many bytes at the start of a file are looked at to call it blank.
	blankProbeBytes = 64
)

// readyMarker is written at the start of each ring file once the names of all of them are on the disk.
var readyMarker = []byte{readyMarkerByte, 'f', 'e', 'r', 'r', 'y', 's', 'p', 'a', 'r', ' ', 'r', 'i', 'n', 'g', ' ', 'f', 'i', 'l', 'e', '\n'}

// beginPayload is the content of a recordBegin.
type beginPayload struct {
	// Base is the first generation of this ring's life. Generations below it belong to a state that was given up.
	Base uint64 `json:"base"`
}

// damagePayload is the content of a recordDamageMarker.
type damagePayload struct {
	// Base is the generation from which the ring is good again. While no whole generation has this base or a
	// higher one, the ring counts as damaged.
	Base   uint64       `json:"base"`
	Reason DamageReason `json:"reason"`
}

// encodeRecord returns the bytes of one record.
func encodeRecord(generation, index uint64, kind recordKind, payload any) ([]byte, error) {
	content, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	if len(content) > maxPayloadBytes {
		return nil, errors.Errorf("record of %d bytes is longer than %d", len(content), maxPayloadBytes)
	}
	record := make([]byte, recordHeaderBytes, recordHeaderBytes+len(content))
	binary.BigEndian.PutUint32(record[lengthOffset:], uint32(len(content)))
	binary.BigEndian.PutUint64(record[generationOffset:], generation)
	binary.BigEndian.PutUint64(record[indexOffset:], index)
	record[kindOffset] = byte(kind)
	record = append(record, content...)
	binary.BigEndian.PutUint32(record[checksumOffset:], crc32.ChecksumIEEE(record[generationOffset:]))
	return record, nil
}

// record is one decoded record; its payload is a part of the file's content, not a copy.
type record struct {
	generation uint64
	index      uint64
	kind       recordKind
	payload    []byte
	length     int
}

// decodeRecord reads the record at the start of the content, and says whether one is there whole.
func decodeRecord(content []byte) (record, bool) {
	if len(content) < recordHeaderBytes {
		return record{}, false
	}
	length := int(binary.BigEndian.Uint32(content[lengthOffset:]))
	if length > len(content)-recordHeaderBytes {
		return record{}, false
	}
	encoded := content[:recordHeaderBytes+length]
	if binary.BigEndian.Uint32(encoded[checksumOffset:]) != crc32.ChecksumIEEE(encoded[generationOffset:]) {
		return record{}, false
	}
	return record{
		generation: binary.BigEndian.Uint64(encoded[generationOffset:]),
		index:      binary.BigEndian.Uint64(encoded[indexOffset:]),
		kind:       recordKind(encoded[kindOffset]),
		payload:    encoded[recordHeaderBytes:],
		length:     len(encoded),
	}, true
}

// SegmentState says what a ring file holds.
type SegmentState string

// The states of a ring file.
const (
	SegmentMissing    SegmentState = "missing"    // there is no file of this name
	SegmentBlank      SegmentState = "blank"      // made, nothing written
	SegmentReady      SegmentState = "ready"      // stamped, no generation yet
	SegmentComplete   SegmentState = "whole"      // a generation with its full state
	SegmentTorn       SegmentState = "torn"       // a generation whose full state isn't whole
	SegmentUnreadable SegmentState = "unreadable" // something else: the remains of a write
	SegmentDamaged    SegmentState = "given up"   // marked when damage was found
)

// segment is what was read of one ring file.
type segment struct {
	name       string
	state      SegmentState
	usedBytes  int64
	generation uint64
	base       uint64
	payloads   [][]byte
}

// hasGeneration tells whether the start of a generation can be read in the file.
func (s segment) hasGeneration() bool { return s.state == SegmentComplete || s.state == SegmentTorn }

// scanSegment reads a ring file's content as far as its records follow each other. Payloads aren't decoded.
func scanSegment(name string, content []byte) segment {
	file := segment{name: name}
	probe := content[:min(len(content), blankProbeBytes)]
	if len(bytes.Trim(probe, "\x00")) == 0 {
		file.state = SegmentBlank
		return file
	}
	switch content[0] {
	case readyMarkerByte:
		file.state = SegmentReady
	case damageMarkerByte:
		file.state = SegmentDamaged
		file.base = damageMarkerBase(content)
	default:
		scanGeneration(&file, content)
	}
	return file
}

// scanGeneration fills in the generation that begins at the start of the content.
func scanGeneration(file *segment, content []byte) {
	first, readable := decodeRecord(content)
	var begin beginPayload
	if !readable || first.kind != recordBegin || json.Unmarshal(first.payload, &begin) != nil {
		file.state = SegmentUnreadable
		return
	}
	file.state, file.generation, file.base = SegmentTorn, first.generation, max(begin.Base, 1)
	file.usedBytes = int64(first.length)
	for index := first.index + 1; ; index++ {
		next, readable := decodeRecord(content[file.usedBytes:])
		if !readable || next.generation != first.generation || next.index != index {
			return
		}
		switch next.kind {
		case recordRegister:
			file.payloads = append(file.payloads, next.payload)
		case recordEnd:
			file.state = SegmentComplete
		default:
			return
		}
		file.usedBytes += int64(next.length)
	}
}

// decodeRegisters returns the newest slot of each key in the file's records. A record that is whole but can't be
// decoded is an error: to pass it over would be to return an older state.
func (s segment) decodeRegisters() (map[string]Register, error) {
	registers := map[string]Register{}
	for _, payload := range s.payloads {
		var register Register
		if err := json.Unmarshal(payload, &register); err != nil {
			return nil, errors.Wrapf(err, "record in %s", s.name)
		}
		registers[register.Key] = register
	}
	return registers, nil
}

// encodeDamageMarker returns a damage mark. A mark begins with a byte of its own, so that any part of it is seen as one.
func encodeDamageMarker(payload damagePayload) ([]byte, error) {
	record, err := encodeRecord(payload.Base, 0, recordDamageMarker, payload)
	return append([]byte{damageMarkerByte}, record...), err
}

// unreadableBase stands for the base of a mark that can't be read: no generation ever reaches it.
const unreadableBase = ^uint64(0)

func damageMarkerBase(content []byte) uint64 {
	marker, readable := decodeRecord(content[1:])
	var payload damagePayload
	if !readable || marker.kind != recordDamageMarker || json.Unmarshal(marker.payload, &payload) != nil {
		return unreadableBase
	}
	return payload.Base
}
