package keystore

import (
	"slices"

	"github.com/pkg/errors"
)

// segments is the content of all segments, in their order.
//
// The rules by which they are written determine what they can contain:
//
//  1. All segments are created and synced, then their directory, and only then is the ready marker written to each. So a
//     missing file beside one that isn't blank was lost, and while all existing files are blank nothing was ever promised.
//  2. All ready markers are synced before generation 1 is started. So a blank segment beside a generation was lost and
//     created again.
//  3. Generation g is written to segment g modulo the number of segments, and started only once g-1 is complete and
//     synced. A failed attempt is repeated with the same number in the same segment. So with n segments and the newest
//     complete generation N, generations N-1 down to N-n+2 are complete, and only the segment of N+1 can have any other
//     content: generation N+1-n (or, if there never was one, the ready marker) or the remains of attempts to write N+1. No
//     generation above N+1 can have been started.
//  4. State read at a start is synced before it is used, so it can't be lost later.
//  5. When damage is found, a damage marker with a new base is synced over the start of one segment. A complete generation
//     with that base ends the damage. Generations below the base are ignored, and rule 3 doesn't require them. Damage markers
//     and ready markers start with bytes of their own, so even a torn one differs from a torn generation. The base is above
//     any generation that was found or can have been lost, and the generation of that number isn't written to the segment
//     that holds the marker.
//
// Each attempt to write a generation draws a salt that is part of the index of each of its records. So the remains of one
// attempt are never taken for the continuation of another.
//
// It isn't detected if the content of an existing, synced file reverts to an older state. Disks are assumed to keep what
// they have synced.
type segments []segment

// directoryReader is the read-only part of a Directory.
type directoryReader interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
}

// readSegments reads all segments of a directory without modifying it.
func readSegments(directory directoryReader, count int) (segments, error) {
	names, err := directory.List()
	if err != nil {
		return nil, errors.Wrap(err, "data directory")
	}
	result := make(segments, count)
	for position := range result {
		name := segmentName(position)
		if !slices.Contains(names, name) {
			result[position] = segment{name: name, state: SegmentMissing}
			continue
		}
		content, err := directory.Read(name)
		if err != nil {
			return nil, errors.Wrapf(err, "segment %s", name)
		}
		result[position] = scanSegment(name, content)
	}
	return result, nil
}

// forGeneration returns the segment that a generation is written to.
func (s segments) forGeneration(generation uint64) segment { return s[generation%uint64(len(s))] }

// newest returns the segment of the newest complete generation; its state is SegmentMissing if there is none.
func (s segments) newest() segment {
	newest := segment{state: SegmentMissing}
	for _, candidate := range s {
		if candidate.state == SegmentComplete && candidate.generation > newest.generation {
			newest = candidate
		}
	}
	return newest
}

// firstIn returns the first segment in one of the states.
func (s segments) firstIn(states ...SegmentState) (segment, bool) {
	for _, candidate := range s {
		if slices.Contains(states, candidate.state) {
			return candidate, true
		}
	}
	return segment{}, false
}

// inUse reports whether anything was ever written to a segment.
func (s segments) inUse() bool {
	_, used := s.firstIn(SegmentReady, SegmentComplete, SegmentTorn, SegmentUnreadable, SegmentDamaged)
	return used
}

// isRecognized reports whether any file was created by a write-ahead log. A blank file counts, since an interrupted
// first start leaves nothing else; a file that is unreadable does not.
func (s segments) isRecognized() bool {
	_, recognized := s.firstIn(SegmentBlank, SegmentReady, SegmentComplete, SegmentTorn, SegmentDamaged)
	return recognized
}

// highestGeneration returns the highest generation that any segment contains or refers to.
func (s segments) highestGeneration() uint64 {
	highest := uint64(0)
	for _, segment := range s {
		highest = max(highest, segment.generation)
		if segment.base != unreadableBase {
			highest = max(highest, segment.base)
		}
	}
	return highest
}
