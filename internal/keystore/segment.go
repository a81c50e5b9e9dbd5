package keystore

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// SegmentState is the kind of content of a segment, see names.go.
type SegmentState string

// blankProbeBytes is the number of bytes at the start of a segment that must be zero for it to count as blank.
const blankProbeBytes = 64

// segment is the content of one file of the write-ahead log.
type segment struct {
	name  string
	state SegmentState
	// usedBytes is the length of the consecutive records at the start.
	usedBytes  int64
	generation uint64
	base       uint64
	// payloads are those of the records that hold registers, in their order.
	payloads [][]byte
}

func segmentName(position int) string { return fmt.Sprintf(segmentNameFormat, position) }

// scanSegment reads the consecutive records at the start of a segment. Payloads aren't decoded.
func scanSegment(name string, content []byte) segment {
	scanned := segment{name: name}
	probe := content[:min(len(content), blankProbeBytes)]
	if len(bytes.Trim(probe, "\x00")) == 0 {
		scanned.state = SegmentBlank
		return scanned
	}
	switch content[0] {
	case readyMarkerByte:
		scanned.state = SegmentReady
	case damageMarkerByte:
		scanned.state = SegmentDamaged
		scanned.base = damageMarkerBase(content)
	default:
		scanned.scanGeneration(content)
	}
	return scanned
}

// scanGeneration sets the fields of the generation at the start of the content.
func (s *segment) scanGeneration(content []byte) {
	first, readable := decodeRecord(content)
	var begin beginPayload
	if !readable || first.kind != recordBegin || json.Unmarshal(first.payload, &begin) != nil {
		s.state = SegmentUnreadable
		return
	}
	// Earlier versions wrote no base.
	s.state, s.generation, s.base = SegmentTorn, first.generation, max(begin.Base, 1)
	s.usedBytes = int64(first.length)
	for index := first.index + 1; ; index++ {
		next, readable := decodeRecord(content[s.usedBytes:])
		if !readable || next.generation != first.generation || next.index != index {
			return
		}
		switch next.kind {
		case recordRegister:
			s.payloads = append(s.payloads, next.payload)
		case recordEnd:
			s.state = SegmentComplete
		default:
			return
		}
		s.usedBytes += int64(next.length)
	}
}

// hasGeneration reports whether the segment contains at least the readable start of a generation.
func (s segment) hasGeneration() bool { return s.state == SegmentComplete || s.state == SegmentTorn }

// decodeRegisters returns the newest register of each key in the segment's records. A record that is complete but can't
// be decoded is an error: skipping it could return an older state.
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
