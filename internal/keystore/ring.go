package keystore

import (
	"fmt"

	"github.com/pkg/errors"
)

// DamageReason says how a ring was found to lack something that it must hold.
type DamageReason string

// The kinds of damage.
const (
	// DamageFileMissing: a ring file is gone though others were in use.
	DamageFileMissing DamageReason = "file missing"
	// DamageFileBlank: a ring file holds nothing though the ring was in use, as when a lost file was made anew.
	DamageFileBlank DamageReason = "file blank"
	// DamageGenerationMissing: a generation that was whole before a later one was begun can't be found.
	DamageGenerationMissing DamageReason = "generation missing"
	// DamageMisplaced: a generation is in a file that it is never written to.
	DamageMisplaced DamageReason = "generation in the wrong file"
	// DamageUndecodable: a record is whole by its checksum but isn't a slot.
	DamageUndecodable DamageReason = "record not decodable"
	// DamageGivenUp: damage was found at an earlier start, and nothing has replaced the state since.
	DamageGivenUp DamageReason = "given up at an earlier start"
)

// Damage is the error that a ring's newest state may be missing. What is left of the state must not be used.
type Damage struct {
	Reason     DamageReason `json:"reason"`
	File       string       `json:"file"`
	Generation uint64       `json:"generation,omitempty"`
}

// Error describes the damage in a line.
func (d *Damage) Error() string {
	if d.Generation == 0 {
		return fmt.Sprintf("%s: %s", d.File, d.Reason)
	}
	return fmt.Sprintf("%s: %s (generation %d)", d.File, d.Reason, d.Generation)
}

// segments is what was read of all ring files, in their order.
//
// How a ring is written, and so what it can hold:
//
//  1. All files are made and synced, then their folder, and only then is each stamped. So a missing file beside one
//     that isn't blank was lost, and while all that exist are blank nothing was ever promised.
//  2. All stamps are synced before generation 1 is begun. So a blank file beside a generation was lost and made anew.
//  3. Generation g is written to file g modulo the number of files, and begun only once g-1 is whole and synced; a
//     failed attempt is repeated with the same number in the same file. So with n files and N the newest whole
//     generation, N-1 down to N-n+2 are whole, and only the file of N+1 may hold anything else: generation N+1-n (or,
//     if there never was one, a stamp) or the remains of attempts to write N+1. No start of a generation above N+1
//     can be there.
//  4. What was read at a start is synced before it is used, so it can't be lost later.
//  5. When damage is found, a mark with a new base is synced over the start of one file. A whole generation with that
//     base ends the damage; generations below the base are void and rule 3 doesn't ask for them. Damage marks and
//     stamps begin with bytes of their own, so even a torn one is told from a torn generation. The base is above
//     anything that was seen or can have been lost, and it isn't written to the marked file.
//
// An attempt draws a salt that is part of the index of each of its records. So the remains of one attempt at a
// generation never continue another.
//
// Not noticed: content of a file that existed and was synced is turned back to something older. Disks are assumed to
// keep what they synced.
type segments []segment

func segmentName(position int) string { return fmt.Sprintf("ring-%d", position) }

// directoryReader is the part of a Directory that changes nothing.
type directoryReader interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
}

// readSegments reads all ring files of a folder and changes nothing.
func readSegments(directory directoryReader, files int) (segments, error) {
	names, err := directory.List()
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	present := map[string]bool{}
	for _, name := range names {
		present[name] = true
	}
	read := make(segments, files)
	for position := range read {
		name := segmentName(position)
		if !present[name] {
			read[position] = segment{name: name, state: SegmentMissing}
			continue
		}
		content, err := directory.Read(name)
		if err != nil {
			return nil, errors.Wrap(err, "ring file")
		}
		read[position] = scanSegment(name, content)
	}
	return read, nil
}

// at returns the file that a generation is written to.
func (s segments) forGeneration(generation uint64) segment { return s[generation%uint64(len(s))] }

// newest returns the file of the newest whole generation; its state is SegmentMissing if there is none.
func (s segments) newest() segment {
	found := segment{state: SegmentMissing}
	for _, file := range s {
		if file.state == SegmentComplete && file.generation > found.generation {
			found = file
		}
	}
	return found
}

// first returns the first file in one of the states.
func (s segments) firstIn(states ...SegmentState) (segment, bool) {
	for _, file := range s {
		for _, state := range states {
			if file.state == state {
				return file, true
			}
		}
	}
	return segment{}, false
}

// inUse tells whether anything was ever written to a file of the ring.
func (s segments) inUse() bool {
	_, used := s.firstIn(SegmentReady, SegmentComplete, SegmentTorn, SegmentUnreadable, SegmentDamaged)
	return used
}

// damage applies the rules above; nil means that the newest whole generation, if any, is the member's state.
func (s segments) damage() *Damage {
	if missing, found := s.firstIn(SegmentMissing); found && s.inUse() {
		return &Damage{Reason: DamageFileMissing, File: missing.name}
	}
	newest := s.newest()
	if newest.state != SegmentComplete {
		return s.damageBeforeFirst()
	}
	for _, file := range s {
		if file.state == SegmentDamaged && file.base > newest.base {
			return &Damage{Reason: DamageGivenUp, File: file.name}
		}
	}
	if blank, found := s.firstIn(SegmentBlank); found {
		return &Damage{Reason: DamageFileBlank, File: blank.name}
	}
	if damage := s.missingGeneration(newest); damage != nil {
		return damage
	}
	return s.misplacedContent(newest)
}

// misplacedContent looks for what can't stand in any file beside the newest whole generation, and in that itself.
func (s segments) misplacedContent(newest segment) *Damage {
	for position, file := range s {
		if !file.hasGeneration() || file.generation < newest.base {
			continue
		}
		if file.generation%uint64(len(s)) != uint64(position) {
			return &Damage{Reason: DamageMisplaced, File: file.name, Generation: file.generation}
		}
		if file.generation > newest.generation+1 {
			return &Damage{Reason: DamageGenerationMissing, File: s.forGeneration(file.generation - 1).name, Generation: file.generation - 1}
		}
	}
	if next := s.forGeneration(newest.generation + 1); next.state == SegmentReady && newest.generation+1 >= newest.base+uint64(len(s)) {
		return &Damage{Reason: DamageFileBlank, File: next.name}
	}
	if _, err := newest.decodeRegisters(); err != nil {
		return &Damage{Reason: DamageUndecodable, File: newest.name, Generation: newest.generation}
	}
	return nil
}

// gap looks for the generations before the newest that must be whole (rule 3).
func (s segments) missingGeneration(newest segment) *Damage {
	for back := uint64(1); back+1 < uint64(len(s)) && newest.generation >= newest.base+back; back++ {
		generation := newest.generation - back
		if file := s.forGeneration(generation); file.state != SegmentComplete || file.generation != generation {
			return &Damage{Reason: DamageGenerationMissing, File: file.name, Generation: generation}
		}
	}
	return nil
}

// damageBeforeFirst judges a ring that has all its files and no whole generation: it is good only if generation 1 was
// never whole, so if nothing but the remains of generation 1 is there beside stamps, or only blank and stamped files.
func (s segments) damageBeforeFirst() *Damage {
	if segment, found := s.firstIn(SegmentDamaged); found {
		return &Damage{Reason: DamageGivenUp, File: segment.name}
	}
	remains, found := s.firstIn(SegmentTorn, SegmentUnreadable)
	if !found {
		return nil
	}
	if blank, found := s.firstIn(SegmentBlank); found {
		return &Damage{Reason: DamageFileBlank, File: blank.name}
	}
	for position, file := range s {
		if file.state == SegmentReady {
			continue
		}
		isFirst := position == 1%len(s) && (file.state == SegmentUnreadable || file.generation == 1)
		if !isFirst {
			return &Damage{Reason: DamageGenerationMissing, File: remains.name, Generation: max(remains.generation, 1)}
		}
	}
	return nil
}

// highest returns the highest generation that the ring gives any sign of.
func (s segments) highestGeneration() uint64 {
	highest := uint64(0)
	for _, file := range s {
		highest = max(highest, file.generation)
		if file.base != unreadableBase {
			highest = max(highest, file.base)
		}
	}
	return highest
}
