package keystore

import (
	"slices"

	"github.com/pkg/errors"
)

// segments is what was read of all segments, in their order.
//
// How they are written, and so what they can hold:
//
//  1. All segments are made and synced, then their directory, and only then does each get the ready marker. So a missing
//     file beside one that isn't blank was lost, and while all that exist are blank nothing was ever promised.
//  2. All ready markers are synced before generation 1 is begun. So a blank segment beside a generation was lost and made
//     anew.
//  3. Generation g is written to segment g modulo the number of segments, and begun only once g-1 is complete and synced;
//     a failed attempt is repeated with the same number in the same segment. So with n segments and N the newest complete
//     generation, N-1 down to N-n+2 are complete, and only the segment of N+1 may hold anything else: generation N+1-n
//     (or, if there never was one, the ready marker) or the remains of attempts to write N+1. No start of a generation
//     above N+1 can be there.
//  4. What was read at a start is synced before it is used, so it can't be lost later.
//  5. When damage is found, a damage marker with a new base is synced over the start of one segment. A complete generation
//     with that base ends the damage; generations below the base are void and rule 3 doesn't ask for them. Damage markers
//     and ready markers begin with bytes of their own, so even a torn one differs from a torn generation. The base is
//     above anything that was seen or can have been lost, and it isn't written to the marked segment.
//
// An attempt draws a salt that is part of the index of each of its records. So the remains of one attempt at a generation
// never continue another.
//
// Not noticed: content of a file that existed and was synced is turned back to something older. Disks are assumed to keep
// what they synced.
type segments []segment

// directoryReader is the part of a Directory that changes nothing.
type directoryReader interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
}

// readSegments reads all segments of a directory and changes nothing.
func readSegments(directory directoryReader, count int) (segments, error) {
	names, err := directory.List()
	if err != nil {
		return nil, errors.Wrap(err, "data directory")
	}
	read := make(segments, count)
	for position := range read {
		name := segmentName(position)
		if !slices.Contains(names, name) {
			read[position] = segment{name: name, state: SegmentMissing}
			continue
		}
		content, err := directory.Read(name)
		if err != nil {
			return nil, errors.Wrapf(err, "segment %s", name)
		}
		read[position] = scanSegment(name, content)
	}
	return read, nil
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

// inUse says whether anything was ever written to a segment.
func (s segments) inUse() bool {
	_, used := s.firstIn(SegmentReady, SegmentComplete, SegmentTorn, SegmentUnreadable, SegmentDamaged)
	return used
}

// isRecognized says whether any file was made by a write-ahead log. A file that is blank counts: a start that was cut
// short leaves no more; one that is only unreadable doesn't.
func (s segments) isRecognized() bool {
	_, recognized := s.firstIn(SegmentBlank, SegmentReady, SegmentComplete, SegmentTorn, SegmentDamaged)
	return recognized
}

// highestGeneration returns the highest generation that any segment gives a sign of.
func (s segments) highestGeneration() uint64 {
	highest := uint64(0)
	for _, read := range s {
		highest = max(highest, read.generation)
		if read.base != unreadableBase {
			highest = max(highest, read.base)
		}
	}
	return highest
}
