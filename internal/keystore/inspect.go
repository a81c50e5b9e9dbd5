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
	ErrNoDirectory      = errors.New("no such folder")
	ErrNotDirectory     = errors.New("not a folder")
	ErrEmptyDirectory   = errors.New("folder is empty: no member has started there, or its disk was wiped")
	ErrForeignDirectory = errors.New("folder holds no ring files of a control-plane member")
)

// Inspection is what a stopped member's data folder holds.
type Inspection struct {
	Files []SegmentInspection `json:"files"`
	// Generation is the newest whole generation, and Base the first of its life. 0: none.
	Generation uint64 `json:"generation"`
	Base       uint64 `json:"base"`
	// Damage says why a member would not use this state; the slots are then those of what can still be read.
	Damage *Damage `json:"damage,omitempty"`
	// LocalState and Membership are the member's own records, as they stand on the disk.
	LocalState json.RawMessage      `json:"self,omitempty"`
	Membership json.RawMessage      `json:"members,omitempty"`
	Registers  []RegisterInspection `json:"slots"`
	// Undecodable is how many records are whole by their checksum but are not slots.
	Undecodable int `json:"undecodable,omitempty"`
}

// SegmentInspection is what one ring file holds.
type SegmentInspection struct {
	Name       string       `json:"name"`
	State      SegmentState `json:"state"`
	Bytes      int64        `json:"bytes"`
	Used       int64        `json:"used"`
	Generation uint64       `json:"generation,omitempty"`
	Base       uint64       `json:"base,omitempty"`
	Records    int          `json:"records"`
}

// RegisterInspection is one key. Fields are the slot's JSON members but for its key and value, as they stand on the
// disk: ballots, promises and sequence.
type RegisterInspection struct {
	Key        string                     `json:"key"`
	Fields     map[string]json.RawMessage `json:"fields"`
	ValueBytes int                        `json:"valueBytes"`
	Value      json.RawMessage            `json:"value,omitempty"`
}

// DropValues takes the values of slots away, which may hold secrets.
func (i *Inspection) DropValues() {
	for position := range i.Registers {
		i.Registers[position].Value = nil
	}
}

const (
	keyField   = "key"
	valueField = "value"
)

// Inspect reads the data folder of a stopped member. It opens files for reading only, and makes none.
func Inspect(path string) (Inspection, error) {
	directory, err := openForReading(path)
	if err != nil {
		return Inspection{}, err
	}
	read, err := readSegments(directory, SegmentCount)
	if err != nil {
		return Inspection{}, err
	}
	if !read.isRecognized() {
		return Inspection{}, errors.Wrap(ErrForeignDirectory, path)
	}
	newest := read.newest()
	inspection := Inspection{Damage: read.damage(), Generation: newest.generation, Base: newest.base, Registers: []RegisterInspection{}}
	for _, file := range read {
		inspection.Files = append(inspection.Files, SegmentInspection{
			Name: file.name, State: file.state, Bytes: fileSize(path, file.name), Used: file.usedBytes,
			Generation: file.generation, Base: file.knownBase(), Records: len(file.payloads),
		})
	}
	inspection.addRegisters(newest)
	return inspection, nil
}

// openForReading returns a folder, or says why the path can't be one.
func openForReading(path string) (directoryReader, error) {
	information, err := os.Stat(path)
	if os.IsNotExist(err) {
		return nil, errors.Wrap(ErrNoDirectory, path)
	}
	if err != nil {
		return nil, err
	}
	if !information.IsDir() {
		return nil, errors.Wrap(ErrNotDirectory, path)
	}
	directory := &osDirectory{path: filepath.Clean(path)}
	names, err := directory.List()
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, errors.Wrap(ErrEmptyDirectory, path)
	}
	return directory, nil
}

// fileSize returns a file's length, 0 if there is none.
func fileSize(path, name string) int64 {
	information, err := os.Stat(filepath.Join(path, name))
	if err != nil {
		return 0
	}
	return information.Size()
}

// recognized tells whether any file was made by a journal. A file that is blank counts: a start that was cut short
// leaves no more; one that is only unreadable doesn't.
func (s segments) isRecognized() bool {
	_, ours := s.firstIn(SegmentBlank, SegmentReady, SegmentComplete, SegmentTorn, SegmentDamaged)
	return ours
}

// knownBase returns the base, or 0 where it can't be read.
func (s segment) knownBase() uint64 {
	if s.base == unreadableBase {
		return 0
	}
	return s.base
}

// addRegisters adds the newest record of each key in a file, in the order of the keys.
func (i *Inspection) addRegisters(file segment) {
	newest := map[string]RegisterInspection{}
	for _, payload := range file.payloads {
		register, err := inspectRegister(payload)
		if err != nil {
			i.Undecodable++
			continue
		}
		newest[register.Key] = register
	}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		i.Registers = append(i.Registers, newest[key])
	}
	i.LocalState, i.Membership = newest[localStateKey].Value, newest[localMembershipKey].Value
}

func inspectRegister(payload []byte) (RegisterInspection, error) {
	register := RegisterInspection{Fields: map[string]json.RawMessage{}}
	if err := json.Unmarshal(payload, &register.Fields); err != nil {
		return register, err
	}
	if err := json.Unmarshal(register.Fields[keyField], &register.Key); err != nil {
		return register, err
	}
	register.Value = register.Fields[valueField]
	register.ValueBytes = len(register.Value)
	delete(register.Fields, keyField)
	delete(register.Fields, valueField)
	return register, nil
}
