package keystore

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
)

// The reasons for which a path is not a member's data folder.
var (
	ErrNoFolder      = errors.New("no such folder")
	ErrNotFolder     = errors.New("not a folder")
	ErrEmptyFolder   = errors.New("folder is empty: no member has started there, or its disk was wiped")
	ErrForeignFolder = errors.New("folder holds no ring files of a control-plane member")
)

// Inspection is what a stopped member's data folder holds.
type Inspection struct {
	Files []FileInspection `json:"files"`
	// Generation is the newest whole generation, and Base the first of its life. 0: none.
	Generation uint64 `json:"generation"`
	Base       uint64 `json:"base"`
	// Damage says why a member would not use this state; the slots are then those of what can still be read.
	Damage *Damage `json:"damage,omitempty"`
	// Self and Members are the member's own records, as they stand on the disk.
	Self    json.RawMessage  `json:"self,omitempty"`
	Members json.RawMessage  `json:"members,omitempty"`
	Slots   []SlotInspection `json:"slots"`
	// Undecodable is how many records are whole by their checksum but are not slots.
	Undecodable int `json:"undecodable,omitempty"`
}

// FileInspection is what one ring file holds.
type FileInspection struct {
	Name       string    `json:"name"`
	State      FileState `json:"state"`
	Bytes      int64     `json:"bytes"`
	Used       int64     `json:"used"`
	Generation uint64    `json:"generation,omitempty"`
	Base       uint64    `json:"base,omitempty"`
	Records    int       `json:"records"`
}

// SlotInspection is one key. Fields are the slot's JSON members but for its key and value, as they stand on the
// disk: ballots, promises and sequence.
type SlotInspection struct {
	Key        string                     `json:"key"`
	Fields     map[string]json.RawMessage `json:"fields"`
	ValueBytes int                        `json:"valueBytes"`
	Value      json.RawMessage            `json:"value,omitempty"`
}

// DropValues takes the values of slots away, which may hold secrets.
func (i *Inspection) DropValues() {
	for position := range i.Slots {
		i.Slots[position].Value = nil
	}
}

const (
	keyField   = "key"
	valueField = "value"
)

// Inspect reads the data folder of a stopped member. It opens files for reading only, and makes none.
func Inspect(path string) (Inspection, error) {
	folder, err := openForReading(path)
	if err != nil {
		return Inspection{}, err
	}
	read, err := readRing(folder, RingFiles)
	if err != nil {
		return Inspection{}, err
	}
	if !read.recognized() {
		return Inspection{}, errors.Wrap(ErrForeignFolder, path)
	}
	newest := read.newest()
	inspection := Inspection{Damage: read.damage(), Generation: newest.generation, Base: newest.base, Slots: []SlotInspection{}}
	for _, file := range read {
		inspection.Files = append(inspection.Files, FileInspection{
			Name: file.name, State: file.state, Bytes: fileBytes(path, file.name), Used: file.used,
			Generation: file.generation, Base: file.knownBase(), Records: len(file.slots),
		})
	}
	inspection.addSlots(newest)
	return inspection, nil
}

// openForReading returns a folder, or says why the path can't be one.
func openForReading(path string) (folderReader, error) {
	information, err := os.Stat(path)
	if os.IsNotExist(err) {
		return nil, errors.Wrap(ErrNoFolder, path)
	}
	if err != nil {
		return nil, err
	}
	if !information.IsDir() {
		return nil, errors.Wrap(ErrNotFolder, path)
	}
	folder := &osFolder{path: filepath.Clean(path)}
	names, err := folder.List()
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, errors.Wrap(ErrEmptyFolder, path)
	}
	return folder, nil
}

// fileBytes returns a file's length, 0 if there is none.
func fileBytes(path, name string) int64 {
	information, err := os.Stat(filepath.Join(path, name))
	if err != nil {
		return 0
	}
	return information.Size()
}

// recognized tells whether any file was made by a journal. A file that is blank counts: a start that was cut short
// leaves no more; one that is only unreadable doesn't.
func (r ring) recognized() bool {
	_, ours := r.first(FileBlank, FileReady, FileWhole, FileTorn, FileDamaged)
	return ours
}

// knownBase returns the base, or 0 where it can't be read.
func (r ringFile) knownBase() uint64 {
	if r.base == unreadableBase {
		return 0
	}
	return r.base
}

// addSlots adds the newest record of each key in a file, in the order of the keys.
func (i *Inspection) addSlots(file ringFile) {
	newest := map[string]SlotInspection{}
	for _, payload := range file.slots {
		slot, err := inspectSlot(payload)
		if err != nil {
			i.Undecodable++
			continue
		}
		newest[slot.Key] = slot
	}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		i.Slots = append(i.Slots, newest[key])
	}
	i.Self, i.Members = newest[selfKey].Value, newest[membersKey].Value
}

func inspectSlot(payload []byte) (SlotInspection, error) {
	slot := SlotInspection{Fields: map[string]json.RawMessage{}}
	if err := json.Unmarshal(payload, &slot.Fields); err != nil {
		return slot, err
	}
	if err := json.Unmarshal(slot.Fields[keyField], &slot.Key); err != nil {
		return slot, err
	}
	slot.Value = slot.Fields[valueField]
	slot.ValueBytes = len(slot.Value)
	delete(slot.Fields, keyField)
	delete(slot.Fields, valueField)
	return slot, nil
}
