package keystore

import "fmt"

// DamageReason is the kind of damage found in a write-ahead log, see names.go.
type DamageReason string

// Damage is the error that the newest state of a write-ahead log may be missing. The remaining state must not be used:
// a member that voted on the basis of it could break a promise, or lose a value that it has accepted.
type Damage struct {
	Reason     DamageReason `json:"reason"`
	File       string       `json:"file"`
	Generation uint64       `json:"generation,omitempty"`
}

// Error describes the damage in one line.
func (d *Damage) Error() string {
	if d.Generation == 0 {
		return fmt.Sprintf("%s: %s", d.File, d.Reason)
	}
	return fmt.Sprintf("%s: %s (generation %d)", d.File, d.Reason, d.Generation)
}

// damage applies the rules of segments. It returns nil if the log is undamaged: the newest complete generation, if there is
// one, is then the member's state.
func (s segments) damage() *Damage {
	if missing, found := s.firstIn(SegmentMissing); found && s.inUse() {
		return &Damage{Reason: DamageFileMissing, File: missing.name}
	}
	newest := s.newest()
	if newest.state != SegmentComplete {
		return s.damageWithoutGeneration()
	}
	for _, segment := range s {
		if segment.state == SegmentDamaged && segment.base > newest.base {
			return &Damage{Reason: DamageStateDiscarded, File: segment.name}
		}
	}
	if blank, found := s.firstIn(SegmentBlank); found {
		return &Damage{Reason: DamageFileBlank, File: blank.name}
	}
	if damage := s.missingGeneration(newest); damage != nil {
		return damage
	}
	if damage := s.misplacedGeneration(newest); damage != nil {
		return damage
	}
	return s.damageOfNextOrNewest(newest)
}

// damageWithoutGeneration checks a log that has all segments and no complete generation. It is undamaged only if
// generation 1 was never complete: either all segments are blank or ready, or all are ready except for that of generation
// 1, which holds the remains of a write.
func (s segments) damageWithoutGeneration() *Damage {
	if damaged, found := s.firstIn(SegmentDamaged); found {
		return &Damage{Reason: DamageStateDiscarded, File: damaged.name}
	}
	remains, found := s.firstIn(SegmentTorn, SegmentUnreadable)
	if !found {
		return nil
	}
	if blank, found := s.firstIn(SegmentBlank); found {
		return &Damage{Reason: DamageFileBlank, File: blank.name}
	}
	for position, segment := range s {
		if segment.state == SegmentReady {
			continue
		}
		isFirst := position == 1%len(s) && (segment.state == SegmentUnreadable || segment.generation == 1)
		if !isFirst {
			return &Damage{
				Reason:     DamageGenerationMissing,
				File:       remains.name,
				Generation: max(remains.generation, 1),
			}
		}
	}
	return nil
}

// missingGeneration checks that those generations before the newest that must be complete are present (rule 3).
func (s segments) missingGeneration(newest segment) *Damage {
	for back := uint64(1); back+1 < uint64(len(s)) && newest.generation >= newest.base+back; back++ {
		generation := newest.generation - back
		if segment := s.forGeneration(generation); segment.state != SegmentComplete || segment.generation != generation {
			return &Damage{Reason: DamageGenerationMissing, File: segment.name, Generation: generation}
		}
	}
	return nil
}

// misplacedGeneration checks that every generation is in the segment it is written to, and that none is above the one that
// follows the newest complete generation (rule 3).
func (s segments) misplacedGeneration(newest segment) *Damage {
	for position, segment := range s {
		if !segment.hasGeneration() || segment.generation < newest.base {
			continue
		}
		if segment.generation%uint64(len(s)) != uint64(position) {
			return &Damage{Reason: DamageMisplaced, File: segment.name, Generation: segment.generation}
		}
		if segment.generation > newest.generation+1 {
			return &Damage{
				Reason:     DamageGenerationMissing,
				File:       s.forGeneration(segment.generation - 1).name,
				Generation: segment.generation - 1,
			}
		}
	}
	return nil
}

// damageOfNextOrNewest checks the segment that is written next, and the records of the newest generation itself.
func (s segments) damageOfNextOrNewest(newest segment) *Damage {
	next := s.forGeneration(newest.generation + 1)
	wasWritten := newest.generation+1 >= newest.base+uint64(len(s))
	if next.state == SegmentReady && wasWritten {
		return &Damage{Reason: DamageFileBlank, File: next.name}
	}
	if _, err := newest.decodeRegisters(); err != nil {
		return &Damage{Reason: DamageUndecodable, File: newest.name, Generation: newest.generation}
	}
	return nil
}
