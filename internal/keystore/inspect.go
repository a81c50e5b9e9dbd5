package keystore

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
)

// The errors for a path that is not a member's data directory.
var (
	ErrNoDirectory      = errors.New("no such directory")
	ErrNotDirectory     = errors.New("not a directory")
	ErrEmptyDirectory   = errors.New("directory is empty: no member has started there, or its disk was wiped")
	ErrForeignDirectory = errors.New("directory contains no ring files of a control-plane member")
)

// Inspection is the content of a stopped member's data directory.
type Inspection struct {
	Files []SegmentInspection `json:"files"`
	// Generation is the newest complete generation, 0 if there is none.
	Generation uint64 `json:"generation"`
	// Base is the first generation since the log was created, or since damage was found.
	Base uint64 `json:"base"`
	// Damage is the reason why a member would not use this state, if any. Registers then holds what can still be read.
	Damage *Damage `json:"damage,omitempty"`
	// LocalState and Membership are the member's own registers, as stored on disk.
	LocalState json.RawMessage      `json:"self,omitempty"`
	Membership json.RawMessage      `json:"members,omitempty"`
	Registers  []RegisterInspection `json:"slots"`
	// Undecodable is the number of records that are complete by their checksum but are not registers.
	Undecodable int `json:"undecodable,omitempty"`
}

// SegmentInspection is the content of one segment.
type SegmentInspection struct {
	Name  string       `json:"name"`
	State SegmentState `json:"state"`
	// Bytes is the length of the file, and Used that of its records.
	Bytes      int64  `json:"bytes"`
	Used       int64  `json:"used"`
	Generation uint64 `json:"generation,omitempty"`
	Base       uint64 `json:"base,omitempty"`
	// Records is the number of records that hold registers.
	Records int `json:"records"`
}

// RegisterInspection is the register of one key. Fields are its JSON fields except for key and value, as stored on
// disk: proposal numbers and sequence.
type RegisterInspection struct {
	Key        string                     `json:"key"`
	Fields     map[string]json.RawMessage `json:"fields"`
	ValueBytes int                        `json:"valueBytes"`
	Value      json.RawMessage            `json:"value,omitempty"`
}

// RedactValues removes the values of all registers, which may contain secrets.
func (i *Inspection) RedactValues() {
	for position := range i.Registers {
		i.Registers[position].Value = nil
	}
}

// Inspect reads the data directory of a stopped member. It opens files for reading only and creates none. It returns
// ErrNoDirectory, ErrNotDirectory, ErrEmptyDirectory or ErrForeignDirectory for a path that is no such directory.
func Inspect(path string) (Inspection, error) {
	directory, err := openForReading(path)
	if err != nil {
		return Inspection{}, err
	}
	found, err := readSegments(directory, SegmentCount)
	if err != nil {
		return Inspection{}, err
	}
	if !found.isRecognized() {
		return Inspection{}, errors.Wrap(ErrForeignDirectory, path)
	}
	newest := found.newest()
	inspection := Inspection{
		Damage:     found.damage(),
		Generation: newest.generation,
		Base:       newest.base,
		Registers:  []RegisterInspection{},
	}
	for _, segment := range found {
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

// openForReading returns the directory at a path, or the reason why it can't be a data directory.
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

// knownBase returns the base, or 0 if it can't be read.
func (s segment) knownBase() uint64 {
	if s.base == unreadableBase {
		return 0
	}
	return s.base
}

// addRegisters adds the newest register of each key in a segment, in the order of the keys.
func (i *Inspection) addRegisters(segment segment) {
	newest := map[string]RegisterInspection{}
	for _, payload := range segment.payloads {
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
