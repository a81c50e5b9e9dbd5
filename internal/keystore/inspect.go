package keystore

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
)

// The reasons for which a path is not a member's data directory.
var (
	ErrNoDirectory      = errors.New("no such folder")
	ErrNotDirectory     = errors.New("not a folder")
	ErrEmptyDirectory   = errors.New("folder is empty: no member has started there, or its disk was wiped")
	ErrForeignDirectory = errors.New("folder holds no ring files of a control-plane member")
)

// Inspection is what a stopped member's data directory holds.
type Inspection struct {
	Files []SegmentInspection `json:"files"`
	// Generation is the newest complete generation, 0 if there is none.
	Generation uint64 `json:"generation"`
	// Base is the first generation since the log was made, or since damage was found.
	Base uint64 `json:"base"`
	// Damage says why a member would not use this state; the registers are then those of what can still be read.
	Damage *Damage `json:"damage,omitempty"`
	// LocalState and Membership are the member's own registers, as they stand on the disk.
	LocalState json.RawMessage      `json:"self,omitempty"`
	Membership json.RawMessage      `json:"members,omitempty"`
	Registers  []RegisterInspection `json:"slots"`
	// Undecodable is how many records are complete by their checksum but are not registers.
	Undecodable int `json:"undecodable,omitempty"`
}

// SegmentInspection is what one segment holds.
type SegmentInspection struct {
	Name  string       `json:"name"`
	State SegmentState `json:"state"`
	// Bytes is the file's length, Used that of its records.
	Bytes      int64  `json:"bytes"`
	Used       int64  `json:"used"`
	Generation uint64 `json:"generation,omitempty"`
	Base       uint64 `json:"base,omitempty"`
	// Records is how many of them hold registers.
	Records int `json:"records"`
}

// RegisterInspection is one key. Fields are the register's JSON fields but for its key and value, as they stand on the
// disk: proposal numbers and sequence.
type RegisterInspection struct {
	Key        string                     `json:"key"`
	Fields     map[string]json.RawMessage `json:"fields"`
	ValueBytes int                        `json:"valueBytes"`
	Value      json.RawMessage            `json:"value,omitempty"`
}

// RedactValues takes the values of registers away, which may hold secrets.
func (i *Inspection) RedactValues() {
	for position := range i.Registers {
		i.Registers[position].Value = nil
	}
}

// Inspect reads the data directory of a stopped member. It opens files for reading only, and makes none. It returns
// ErrNoDirectory, ErrNotDirectory, ErrEmptyDirectory or ErrForeignDirectory for a path that is none.
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
	inspection := Inspection{
		Damage:     read.damage(),
		Generation: newest.generation,
		Base:       newest.base,
		Registers:  []RegisterInspection{},
	}
	for _, segment := range read {
		inspection.Files = append(inspection.Files, SegmentInspection{
			Name:       segment.name,
			State:      segment.state,
			Bytes:      fileSize(path, segment.name),
			Used:       segment.usedBytes,
			Generation: segment.generation,
			Base:       segment.knownBase(),
			Records:    len(segment.payloads),
		})
	}
	inspection.addRegisters(newest)
	return inspection, nil
}

// openForReading returns a directory, or says why the path can't be one.
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

// fileSize returns a file's length in bytes, 0 if there is none.
func fileSize(path, name string) int64 {
	information, err := os.Stat(filepath.Join(path, name))
	if err != nil {
		return 0
	}
	return information.Size()
}

// knownBase returns the base, or 0 where it can't be read.
func (s segment) knownBase() uint64 {
	if s.base == unreadableBase {
		return 0
	}
	return s.base
}

// addRegisters adds the newest record of each key in a segment, in the order of the keys.
func (i *Inspection) addRegisters(read segment) {
	newest := map[string]RegisterInspection{}
	for _, payload := range read.payloads {
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
	if err := json.Unmarshal(register.Fields[registerKeyField], &register.Key); err != nil {
		return register, err
	}
	register.Value = register.Fields[registerValueField]
	register.ValueBytes = len(register.Value)
	delete(register.Fields, registerKeyField)
	delete(register.Fields, registerValueField)
	return register, nil
}
