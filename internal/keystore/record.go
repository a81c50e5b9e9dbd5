package keystore

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/pkg/errors"
)

// recordKind says what a record holds, see names.go.
type recordKind byte

const (
	// recordHeaderBytes is the length of a record before its payload: length (4 bytes), checksum (4), generation (8),
	// index (8) and kind (1), big-endian. The checksum is the CRC-32 (IEEE) of all that follows it.
	recordHeaderBytes = 25
	lengthOffset      = 0
	checksumOffset    = 4
	generationOffset  = 8
	indexOffset       = 16
	kindOffset        = 24

	// maxPayloadBytes keeps the first byte of every record 0, so that the first byte of a segment distinguishes a generation
	// from a marker, however little of them was written.
	maxPayloadBytes = 1<<24 - 1
)

// beginPayload is the content of a recordBegin.
type beginPayload struct {
	// Base is the first generation since the log was made, or since damage was found. Generations below it belong to a
	// state that was given up.
	Base uint64 `json:"base"`
}

// damagePayload is the content of a recordDamageMarker.
type damagePayload struct {
	// Base is the generation from which the log is good again. While no complete generation has this base or a higher
	// one, the log counts as damaged.
	Base   uint64       `json:"base"`
	Reason DamageReason `json:"reason"`
}

// encodeRecord returns the bytes of one record, or ErrRecordTooLong.
func encodeRecord(generation, index uint64, kind recordKind, payload any) ([]byte, error) {
	content, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	if len(content) > maxPayloadBytes {
		return nil, errors.Wrapf(ErrRecordTooLong, "%d bytes, at most %d", len(content), maxPayloadBytes)
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

// record is one decoded record; its payload is a part of the segment's content, not a copy.
type record struct {
	generation uint64
	index      uint64
	kind       recordKind
	payload    []byte
	// length is that of the whole record, in bytes.
	length int
}

// decodeRecord reads the record at the start of the content, and says whether one is there in full.
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

// readyMarker is written at the start of each segment once the names of all of them are on the disk.
var readyMarker = append([]byte{readyMarkerByte}, readyMarkerText...)

// encodeDamageMarker returns a marker that says that the log was damaged. It begins with a byte of its own, so that any
// part of it is seen as one.
func encodeDamageMarker(payload damagePayload) ([]byte, error) {
	record, err := encodeRecord(payload.Base, 0, recordDamageMarker, payload)
	return append([]byte{damageMarkerByte}, record...), err
}

// unreadableBase stands for the base of a damage marker that can't be read: no generation ever reaches it.
const unreadableBase = ^uint64(0)

// damageMarkerBase reads the base from a segment that begins with a damage marker.
func damageMarkerBase(content []byte) uint64 {
	marker, readable := decodeRecord(content[1:])
	var payload damagePayload
	if !readable || marker.kind != recordDamageMarker || json.Unmarshal(marker.payload, &payload) != nil {
		return unreadableBase
	}
	return payload.Base
}
