package keystore

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

type Folder interface {
	Read(name string) ([]byte, error)
	Prepare(name string, size int64) error
	Write(name string, offset int64, content []byte) error
	Sync(name string) error
}

const (
	recordSlot byte = iota + 1
	recordBegin
	recordEnd
)

const frameBytes = 25

type Journal struct {
	folder     Folder
	files      int
	size       int64
	generation uint64
	index      uint64
	offset     int64
	broken     bool
	state      map[string]Slot
}

func fileName(position int) string { return fmt.Sprintf("ring-%d", position) }

func (j *Journal) name() string { return fileName(int(j.generation % uint64(j.files))) }

func OpenJournal(folder Folder, files int, size int64) (*Journal, error) {
	journal := &Journal{folder: folder, files: files, size: size, state: map[string]Slot{}}
	for position := 0; position < files; position++ {
		content, err := folder.Read(fileName(position))
		if err != nil {
			return nil, errors.Wrap(err, "ring file")
		}
		generation, whole, slots := replay(content)
		if whole && generation > journal.generation {
			journal.generation = generation
			journal.state = slots
		}
	}
	for position := 0; position < files; position++ {
		if err := folder.Prepare(fileName(position), size); err != nil {
			return nil, errors.Wrap(err, "ring file")
		}
	}
	journal.broken = true
	return journal, nil
}

func (j *Journal) State() map[string]Slot {
	copied := make(map[string]Slot, len(j.state))
	for key, slot := range j.state {
		copied[key] = slot
	}
	return copied
}

func (j *Journal) Append(slots []Slot) error {
	next := j.State()
	for _, slot := range slots {
		next[slot.Key] = slot
	}
	var content []byte
	index := j.index
	for _, slot := range slots {
		frame, err := encode(j.generation, index, recordSlot, slot)
		if err != nil {
			return err
		}
		content = append(content, frame...)
		index++
	}
	if j.broken || j.offset+int64(len(content)) > j.size {
		return j.rotate(next)
	}
	if err := j.put(content); err != nil {
		j.broken = true
		return err
	}
	j.index = index
	j.state = next
	return nil
}

func (j *Journal) rotate(next map[string]Slot) error {
	generation := j.generation + 1
	var content []byte
	index := uint64(0)
	add := func(kind byte, slot Slot) error {
		frame, err := encode(generation, index, kind, slot)
		content = append(content, frame...)
		index++
		return err
	}
	if err := add(recordBegin, Slot{}); err != nil {
		return err
	}
	for _, key := range slices.Sorted(maps.Keys(next)) {
		if err := add(recordSlot, next[key]); err != nil {
			return err
		}
	}
	if err := add(recordEnd, Slot{}); err != nil {
		return err
	}
	if int64(len(content)) > j.size {
		return errors.Errorf("live state of %d bytes does not fit a ring file of %d", len(content), j.size)
	}
	j.generation, j.offset, j.index, j.broken = generation, 0, index, true
	if err := j.put(content); err != nil {
		return err
	}
	j.broken = false
	j.state = next
	return nil
}

func (j *Journal) put(content []byte) error {
	if err := j.folder.Write(j.name(), j.offset, content); err != nil {
		return err
	}
	if err := j.folder.Sync(j.name()); err != nil {
		return err
	}
	j.offset += int64(len(content))
	return nil
}

func encode(generation, index uint64, kind byte, slot Slot) ([]byte, error) {
	payload, err := json.Marshal(slot)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, frameBytes, frameBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	binary.BigEndian.PutUint64(frame[8:], generation)
	binary.BigEndian.PutUint64(frame[16:], index)
	frame[24] = kind
	frame = append(frame, payload...)
	binary.BigEndian.PutUint32(frame[4:], crc32.ChecksumIEEE(frame[8:]))
	return frame, nil
}

func replay(content []byte) (generation uint64, whole bool, slots map[string]Slot) {
	slots = map[string]Slot{}
	for index := uint64(0); len(content) >= frameBytes; index++ {
		length := int(binary.BigEndian.Uint32(content))
		if length > len(content)-frameBytes {
			break
		}
		frame := content[:frameBytes+length]
		if binary.BigEndian.Uint32(frame[4:]) != crc32.ChecksumIEEE(frame[8:]) || binary.BigEndian.Uint64(frame[16:]) != index {
			break
		}
		kind := frame[24]
		if index == 0 {
			generation = binary.BigEndian.Uint64(frame[8:])
		}
		if (index == 0) != (kind == recordBegin) || binary.BigEndian.Uint64(frame[8:]) != generation {
			break
		}
		whole = whole || kind == recordEnd
		if kind == recordSlot {
			var slot Slot
			if json.Unmarshal(frame[frameBytes:], &slot) != nil {
				break
			}
			slots[slot.Key] = slot
		}
		content = content[len(frame):]
	}
	return generation, whole, slots
}
