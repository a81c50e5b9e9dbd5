package keystore

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/pkg/errors"
)

// recordKind is the kind of content of a record, see names.go.
type recordKind byte

const (
	// recordHeaderBytes is the length of a record before its payload: length (4 bytes), checksum (4), generation (8),
	// index (8) and kind (1), big-endian. The checksum is the CRC-32 (IEEE) of everything after it.
	recordHeaderBytes = 25
	lengthOffset      = 0
	checksumOffset    = 4
	generationOffset  = 8
	indexOffset       = 16
	kindOffset        = 24

	// maxPayloadBytes keeps the first byte of every record 0, so that the first byte of a segment distinguishes a
	// generation from a marker even if the write was torn after it.
	maxPayloadBytes = 1<<24 - 1
)

// beginPayload is the content of a recordBegin.
type beginPayload struct {
	// Base is the first generation since the log was created, or since damage was found. Generations below it belong to
	// a state that was discarded.
	Base uint64 `json:"base"`
}

// damagePayload is the content of a recordDamageMarker.
type damagePayload struct {
	// Base is the generation from which the log is valid again. It counts as damaged until a generation with this base
	// or a higher one is complete.
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

// record is one decoded record. Its payload is a slice of the segment's content, not a copy.
type record struct {
	generation uint64
	index      uint64
	kind       recordKind
	payload    []byte
	// length is the length of the whole record in bytes.
	length int
}

// decodeRecord decodes the record at the start of the content, and reports whether it is complete and its checksum
// matches.
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

// readyMarker is written at the start of each segment once the names of all segments are on disk.
var readyMarker = append([]byte{readyMarkerByte}, readyMarkerText...)

// encodeDamageMarker returns a marker for a damaged log. Its first byte differs from that of any other content, so that
// a torn marker is recognized too.
func encodeDamageMarker(payload damagePayload) ([]byte, error) {
	record, err := encodeRecord(payload.Base, 0, recordDamageMarker, payload)
	return append([]byte{damageMarkerByte}, record...), err
}

// unreadableBase is the base of a damage marker that can't be read. No generation ever reaches it.
const unreadableBase = ^uint64(0)

// damageMarkerBase decodes the base in a segment that starts with a damage marker.
func damageMarkerBase(content []byte) uint64 {
	marker, readable := decodeRecord(content[1:])
	var payload damagePayload
	if !readable || marker.kind != recordDamageMarker || json.Unmarshal(marker.payload, &payload) != nil {
		return unreadableBase
	}
	return payload.Base
}
