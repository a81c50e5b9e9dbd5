package keystore

import "fmt"

// DamageReason says how a write-ahead log was found to lack something that it must hold, see names.go.
type DamageReason string

// Damage is the error that the newest state of a write-ahead log may be missing. What is left of the state must not be
// used: a member that voted on it could forget a promise that it gave, or a value that it accepted.
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

// damage applies the rules of segments; nil means that the newest complete generation, if any, is the member's state.
func (s segments) damage() *Damage {
	if missing, found := s.firstIn(SegmentMissing); found && s.inUse() {
		return &Damage{Reason: DamageFileMissing, File: missing.name}
	}
	newest := s.newest()
	if newest.state != SegmentComplete {
		return s.damageWithoutGeneration()
	}
	for _, read := range s {
		if read.state == SegmentDamaged && read.base > newest.base {
			return &Damage{Reason: DamageStateDiscarded, File: read.name}
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

// damageWithoutGeneration judges a log that has all its segments and no complete generation: it is good only if generation 1 was
// never complete, so if nothing but the remains of generation 1 is there beside ready markers, or only blank and ready
// segments.
func (s segments) damageWithoutGeneration() *Damage {
	if marked, found := s.firstIn(SegmentDamaged); found {
		return &Damage{Reason: DamageStateDiscarded, File: marked.name}
	}
	remains, found := s.firstIn(SegmentTorn, SegmentUnreadable)
	if !found {
		return nil
	}
	if blank, found := s.firstIn(SegmentBlank); found {
		return &Damage{Reason: DamageFileBlank, File: blank.name}
	}
	for position, read := range s {
		if read.state == SegmentReady {
			continue
		}
		isFirst := position == 1%len(s) && (read.state == SegmentUnreadable || read.generation == 1)
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

// missingGeneration looks for the generations before the newest that must be complete (rule 3).
func (s segments) missingGeneration(newest segment) *Damage {
	for back := uint64(1); back+1 < uint64(len(s)) && newest.generation >= newest.base+back; back++ {
		generation := newest.generation - back
		if read := s.forGeneration(generation); read.state != SegmentComplete || read.generation != generation {
			return &Damage{Reason: DamageGenerationMissing, File: read.name, Generation: generation}
		}
	}
	return nil
}

// misplacedGeneration looks for generations that can't stand where they do beside the newest complete one (rule 3).
func (s segments) misplacedGeneration(newest segment) *Damage {
	for position, read := range s {
		if !read.hasGeneration() || read.generation < newest.base {
			continue
		}
		if read.generation%uint64(len(s)) != uint64(position) {
			return &Damage{Reason: DamageMisplaced, File: read.name, Generation: read.generation}
		}
		if read.generation > newest.generation+1 {
			return &Damage{
				Reason:     DamageGenerationMissing,
				File:       s.forGeneration(read.generation - 1).name,
				Generation: read.generation - 1,
			}
		}
	}
	return nil
}

// damageOfNextOrNewest looks at the segment that is written next, and at the records of the newest generation itself.
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
